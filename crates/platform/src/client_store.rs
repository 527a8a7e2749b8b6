//! Implements the platform's traits for the HTTP client.

use std::time::Duration;

use bytes::Bytes;
use oleander_base::prelude::*;

use crate::budget::CallKind;
use crate::client::{MAX_VALUE_BYTES, PlatformClient};
use crate::store::{
    BoxFuture, Expected, KeyValueStore, LeaseGrant, LeaseId, ListPage, StoreEntry, StoreError,
    VmEntry, VmList, WatchBatch,
};
use crate::wire::{
    DeleteBody, EmptyBody, GetAnswer, GetBody, GrantAnswer, GrantBody, LeaseBody, ListAnswer,
    ListBody, PutBody, VmsAnswer, WatchAnswer, WatchBody, WirePath, WireValue, WriteAnswer,
};

impl KeyValueStore for PlatformClient {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<StoreEntry>, StoreError>> {
        Box::pin(async move {
            let body = GetBody {
                key: key.to_owned(),
            };
            let plan = self.plan(WirePath::GET, CallKind::Read);
            let answer: GetAnswer = self.call(plan, &body).await?;
            Ok(answer.entry.map(Into::into))
        })
    }

    fn list<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
    ) -> BoxFuture<'a, Result<ListPage, StoreError>> {
        Box::pin(async move {
            let body = ListBody {
                prefix: prefix.to_owned(),
                after: after.map(str::to_owned),
            };
            let plan = self.plan(WirePath::LIST, CallKind::Read);
            let answer: ListAnswer = self.call(plan, &body).await?;
            Ok(answer.into())
        })
    }

    fn put<'a>(
        &'a self,
        key: &'a str,
        expected: Expected,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> BoxFuture<'a, Result<Revision, StoreError>> {
        Box::pin(async move {
            if value.len() > MAX_VALUE_BYTES {
                return Err(StoreError::TooLarge {
                    size: value.len(),
                    limit: MAX_VALUE_BYTES,
                });
            }
            let body = PutBody {
                key: key.to_owned(),
                expected: expected.into(),
                value: WireValue(value),
                lease: lease.map(|lease| lease.0),
            };
            let plan = self.plan(WirePath::PUT, CallKind::Write);
            let answer: WriteAnswer = self.call(plan, &body).await?;
            Ok(answer.revision)
        })
    }

    fn delete<'a>(
        &'a self,
        key: &'a str,
        expected: Expected,
    ) -> BoxFuture<'a, Result<Revision, StoreError>> {
        Box::pin(async move {
            let body = DeleteBody {
                key: key.to_owned(),
                expected: expected.into(),
            };
            let plan = self.plan(WirePath::DELETE, CallKind::Write);
            let answer: WriteAnswer = self.call(plan, &body).await?;
            Ok(answer.revision)
        })
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'a, Result<WatchBatch, StoreError>> {
        Box::pin(async move {
            let body = WatchBody {
                prefix: prefix.to_owned(),
                after,
                wait_ms: wait.as_millis() as u64,
            };
            let mut plan = self.plan(WirePath::WATCH, CallKind::Read);
            plan.timeout += wait;
            let answer: WatchAnswer = self.call(plan, &body).await?;
            Ok(answer.into())
        })
    }

    fn grant_lease(&self, time_to_live: Duration) -> BoxFuture<'_, Result<LeaseGrant, StoreError>> {
        Box::pin(async move {
            let body = GrantBody {
                ttl_ms: time_to_live.as_millis() as u64,
            };
            let plan = self.lease_plan(WirePath::GRANT);
            let answer: GrantAnswer = self.call(plan, &body).await?;
            Ok(answer.into())
        })
    }

    fn renew_lease(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StoreError>> {
        Box::pin(async move {
            let body = LeaseBody { lease: lease.0 };
            let plan = self.lease_plan(WirePath::RENEW);
            let EmptyBody {} = self.call(plan, &body).await?;
            Ok(())
        })
    }

    fn revoke_lease(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StoreError>> {
        Box::pin(async move {
            let body = LeaseBody { lease: lease.0 };
            let plan = self.lease_plan(WirePath::REVOKE);
            let EmptyBody {} = self.call(plan, &body).await?;
            Ok(())
        })
    }
}

impl VmList for PlatformClient {
    fn read(&self) -> BoxFuture<'_, Result<Vec<VmEntry>, StoreError>> {
        Box::pin(async move {
            let plan = self.plan(WirePath::VMS, CallKind::Read);
            let answer: VmsAnswer = self.call(plan, &EmptyBody {}).await?;
            Ok(answer.vms.into_iter().map(Into::into).collect())
        })
    }
}
