//! The texts of usage reports in the key-value store, which are written before they are sent.
//!
//! Every write is conditional on the revision of this gateway's holder key, so that a late write of an earlier
//! holder has no effect. The text of a window is written once and never changed, so that all holders send the same.

use std::rc::Rc;
use std::sync::Arc;

use super::lease::HeldDuty;
use crate::core::GatewayCore;
use crate::port::{DutyChange, DutyEntry, DutyKey, DutyWrite};
use crate::prelude::*;
use crate::store_client::{StoreClient, StoreError, StorePurpose, StoreReply};

/// The timeout of one call.
const CALL_TIMEOUT: Span = Span::from_millis(1_000);

/// The revision of a key that does not exist.
const ABSENT: Revision = Revision(0);

/// The store of the intents, as one holder sees it.
#[derive(Debug)]
pub(super) struct IntentStore {
    core: Rc<GatewayCore>,
    client: StoreClient,
    held: HeldDuty,
}

/// The intents that a new holder finds.
#[derive(Debug, Default)]
pub(super) struct FoundIntents {
    /// The first window for which the intents of this era are complete, if it is known.
    pub(super) first: Option<u64>,
    /// The revision of the key that names it. The key may be from an earlier era.
    pub(super) start_revision: Revision,
    /// The windows with their texts.
    pub(super) intents: Vec<(u64, Arc<str>)>,
}

impl IntentStore {
    pub(super) fn open(core: Rc<GatewayCore>, held: HeldDuty) -> Self {
        Self {
            client: StoreClient::open(Rc::clone(&core)),
            core,
            held,
        }
    }

    /// Reads all intents.
    pub(super) async fn read_all(&mut self) -> Result<FoundIntents, StoreError> {
        let mut found = FoundIntents::default();
        let mut after: Option<String> = None;
        loop {
            let request = self.core.port.usage_list_request(after.as_deref());
            let reply = self.call(StorePurpose::DutyRead, &request).await?;
            let page = self.core.port.decode_usage_page(&reply.body);
            let page = page.map_err(|error| StoreError::Answer(error.to_string()))?;
            for entry in page.entries {
                self.add_found(&mut found, &entry);
            }
            after = page.next_after;
            if after.is_none() {
                return Ok(found);
            }
        }
    }

    fn add_found(&self, found: &mut FoundIntents, entry: &DutyEntry) {
        let text = String::from_utf8_lossy(&entry.value);
        match entry.key {
            DutyKey::UsageIntent(window) => found.intents.push((window, Arc::from(&*text))),
            DutyKey::UsageStart => {
                found.start_revision = entry.revision;
                let start = text.split_once(' ');
                let start = start.and_then(|(era, first)| Some((era, first.parse().ok()?)));
                let era = self.held.era.to_string();
                found.first = start.and_then(|(known, first)| (known == era).then_some(first));
            }
            DutyKey::Holder => {}
        }
    }

    /// Writes that the intents of this era are complete from a window on.
    pub(super) async fn write_start(
        &mut self,
        first: u64,
        known: Revision,
    ) -> Result<(), StoreError> {
        let text = format!("{} {first}", self.held.era);
        let change = DutyChange {
            conditions: &[
                (DutyKey::Holder, self.held.lease.fencing),
                (DutyKey::UsageStart, known),
            ],
            writes: &[DutyWrite {
                key: DutyKey::UsageStart,
                value: text.as_bytes(),
                lease: None,
            }],
            removes: &[],
        };
        self.change(&change).await
    }

    /// Writes the text of a window and removes old ones. Returns the text that is in the store then.
    pub(super) async fn write(
        &mut self,
        window: u64,
        text: &Arc<str>,
        old: &[u64],
    ) -> Result<Arc<str>, StoreError> {
        let key = DutyKey::UsageIntent(window);
        let removes: Vec<DutyKey> = old.iter().copied().map(DutyKey::UsageIntent).collect();
        let change = DutyChange {
            conditions: &[(DutyKey::Holder, self.held.lease.fencing), (key, ABSENT)],
            writes: &[DutyWrite {
                key,
                value: text.as_bytes(),
                lease: None,
            }],
            removes: &removes,
        };
        match self.change(&change).await {
            Ok(()) => Ok(Arc::clone(text)),
            // An earlier try may have taken effect, or this gateway is not the holder any more.
            Err(StoreError::Status(412)) => self.read(key).await,
            Err(error) => Err(error),
        }
    }

    async fn read(&mut self, key: DutyKey) -> Result<Arc<str>, StoreError> {
        let request = self.core.port.duty_read_request(key);
        let reply = self.call(StorePurpose::DutyRead, &request).await?;
        let entry = self.core.port.decode_duty_entry(&reply.body);
        let entry = entry.map_err(|error| StoreError::Answer(error.to_string()))?;
        Ok(Arc::from(&*String::from_utf8_lossy(&entry.value)))
    }

    async fn change(&mut self, change: &DutyChange<'_>) -> Result<(), StoreError> {
        let request = self.core.port.duty_change_request(change);
        self.call(StorePurpose::DutyWrite, &request).await?;
        Ok(())
    }

    async fn call(
        &mut self,
        purpose: StorePurpose,
        request: &crate::port::StoreRequest,
    ) -> Result<StoreReply, StoreError> {
        let reply = self.client.call(purpose, request, CALL_TIMEOUT).await?;
        if reply.era == self.held.era {
            Ok(reply)
        } else {
            Err(StoreError::EraChanged)
        }
    }
}
