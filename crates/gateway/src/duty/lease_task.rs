//! Obtains and renews the lease of the duties in the key-value store.
//!
//! The holder is the gateway that wrote the holder's key; the key disappears with its lease. If the outcome of
//! a write is unknown, the write is not repeated: the key is read, and the random value in it compared.
//! A renewal counts only if the key is read after it and is still this process's, so that this gateway stops
//! being the holder also if an operator removes the key.

use std::rc::Rc;
use std::time::Duration;

use oleander_balance::{next_duty_check, passing_capacity};
use oleander_platform::{HeldLease, LeaseId, boot_time};
use serde::Serialize;
use tokio::time::sleep;

use super::lease::HeldDuty;
use super::token::FencingToken;
use crate::core::GatewayCore;
use crate::port::{DutyChange, DutyEntry, DutyKey, DutyWrite};
use crate::prelude::*;
use crate::settings::ProviderSettings;
use crate::store_client::{StoreClient, StoreError, StorePurpose, StoreReply};

/// The part of the lease's time that one call of the store may take, as a divisor.
const CALL_SHARE: u64 = 3;

/// The part of the lease's time between two tries of a renewal that failed, as a divisor.
const RETRY_SHARE: u64 = 12;

/// The time between two checks whether the settings of a deployment without duties now name one.
const SETTINGS_INTERVAL: Span = Span::from_secs(1);

/// The pause until the next check of the holder's key above which the connection to the store is closed meanwhile.
const MAX_IDLE: Span = Span::from_secs(5);

/// How long a gateway that gave the duties up does not try to take them again, in times of the lease's time.
const RESIGNED_TERMS: u64 = 3;

/// The revision of a key that does not exist.
const ABSENT: Revision = Revision(0);

#[derive(Debug, Serialize)]
struct TakenFields {
    token: FencingToken,
    era: StoreEra,
    lease: u64,
    /// When the provider may be called first.
    acts_in_ms: f64,
}

#[derive(Debug, Serialize)]
struct LostFields<'a> {
    token: FencingToken,
    reason: &'a str,
    held_ms: f64,
}

#[derive(Debug, Serialize)]
struct RefusedFields<'a> {
    reason: &'a str,
}

/// Keeps this gateway a candidate for the duties, or their holder, for as long as the process runs.
pub(crate) async fn run_duty_lease(core: Rc<GatewayCore>) {
    let mut task = LeaseTask {
        client: StoreClient::open(Rc::clone(&core)),
        process: core.random_number(),
        tries: 0,
        last_problem: String::new(),
        core,
    };
    let mut pause = SETTINGS_INTERVAL.min(task.candidate_pause());
    loop {
        tokio::select! {
            () = sleep(Duration::from(pause)) => {}
            () = task.core.stop_notify.notified() => {}
        }
        if task.core.shutdown.is_stopping() {
            task.give_up("the gateway stops").await;
            return;
        }
        pause = task.step().await;
    }
}

struct LeaseTask {
    core: Rc<GatewayCore>,
    client: StoreClient,
    /// Names this process in the values that it writes.
    process: u64,
    tries: u64,
    last_problem: String,
}

impl LeaseTask {
    /// Does what is due and returns the time until the next step.
    async fn step(&mut self) -> Span {
        let settings = self.core.settings();
        let has_duty =
            |provider: &&ProviderSettings| provider.reports_usage || provider.scales_backends;
        let Some(provider) = settings.provider.as_ref().filter(has_duty) else {
            self.give_up("the settings name no duty").await;
            return SETTINGS_INTERVAL;
        };
        let time_to_live = provider.lease_time.max(settings.store_min_ttl);
        let Some(held) = self.core.duties.lease.last_held() else {
            self.core.duties.lease.take_resignation();
            return self.look_for_vacancy(time_to_live).await;
        };
        if held.era != self.core.store_era() {
            self.lose("the store came back from a copy");
            // This gateway knows which reports it has sent, so it is the best next holder.
            return Span::ZERO;
        }
        if !held.lease.is_held(boot_time()) {
            let reason = format!("it was not renewed in time; {}", self.last_problem);
            self.lose(&reason);
            return self.candidate_pause();
        }
        if let Some(reason) = self.core.duties.lease.take_resignation() {
            self.give_up(reason).await;
            return Span(RESIGNED_TERMS * time_to_live.0);
        }
        let due_in = held.lease.renewal_due().since(boot_time());
        if due_in > Span::ZERO {
            return due_in;
        }
        self.renew(held).await
    }

    /// Renews the lease and returns the time until the next step.
    async fn renew(&mut self, held: HeldDuty) -> Span {
        let sent = boot_time();
        match self.try_renew(held).await {
            Ok(None) => {
                let mut renewed = held;
                renewed.lease.renew(sent);
                self.last_problem.clear();
                self.core.duties.lease.set(Some(renewed));
                renewed.lease.renewal_due().since(boot_time())
            }
            Ok(Some(reason)) => {
                self.lose(reason);
                match held.era == self.core.store_era() {
                    true => self.candidate_pause(),
                    false => Span::ZERO,
                }
            }
            Err(error) => {
                self.last_problem = error.to_string();
                let usual = held.lease.time_to_live.0 / RETRY_SHARE;
                let pause = usual as f64 * (0.5 + self.core.random());
                // If no further try succeeds, the next step after the end of the lease logs the loss.
                Span(pause as u64).min(held.lease.expires_at().since(boot_time()))
            }
        }
    }

    /// Renews the lease; returns why it is lost, if it is.
    async fn try_renew(&mut self, held: HeldDuty) -> Result<Option<&'static str>, StoreError> {
        let limit = Span(held.lease.time_to_live.0 / CALL_SHARE);
        let request = self.core.port.renew_request(held.lease.lease.0);
        let renewed = self.client.call(StorePurpose::Renew, &request, limit).await;
        let renewed = match renewed {
            Err(StoreError::Status(404)) => return Ok(Some("the store does not know the lease")),
            renewed => renewed?,
        };
        let entry = match self.read_holder(limit).await? {
            Some((entry, era)) if era == renewed.era => entry,
            Some(_) => return Err(StoreError::EraChanged),
            None => return Ok(Some("the holder's key is gone")),
        };
        if renewed.era != held.era {
            return Ok(Some("the store came back from a copy"));
        }
        if entry.revision != held.lease.fencing || !self.is_own(&entry) {
            return Ok(Some("another gateway is the holder"));
        }
        Ok(None)
    }

    /// Takes the duties if nobody holds them; returns the time until the next step.
    async fn look_for_vacancy(&mut self, time_to_live: Span) -> Span {
        let limit = Span(time_to_live.0 / CALL_SHARE);
        let result = match self.read_holder(limit).await {
            Ok(None) => self.acquire(time_to_live).await,
            Ok(Some((entry, _))) if self.is_own(&entry) => {
                match self.remove_stale(&entry, limit).await {
                    Ok(()) => self.acquire(time_to_live).await,
                    Err(error) => Err(error),
                }
            }
            Ok(Some(_)) => Ok(()),
            Err(error) => Err(error),
        };
        match result {
            Ok(()) => self.last_problem.clear(),
            Err(error) => self.refuse(&error.to_string()),
        }
        if let Some(held) = self.core.duties.lease.held() {
            return held.lease.renewal_due().since(boot_time());
        }
        let pause = self.candidate_pause();
        if pause > MAX_IDLE {
            self.client.close();
        }
        pause
    }

    /// Writes the holder's key under a new lease, if the key is still absent.
    async fn acquire(&mut self, time_to_live: Span) -> Result<(), StoreError> {
        let limit = Span(time_to_live.0 / CALL_SHARE);
        let sent = boot_time();
        let request = self.core.port.lease_request(time_to_live);
        let granted = self
            .client
            .call(StorePurpose::Grant, &request, limit)
            .await?;
        let lease = self.core.port.decode_lease(&granted.body);
        let lease = lease.map_err(|error| StoreError::Answer(error.to_string()))?;
        let written = self.write_holder(lease, granted.era, limit).await;
        let fencing = match written {
            Ok(fencing) => fencing,
            Err(error) => {
                self.release(lease, granted.era).await;
                return Err(error);
            }
        };
        let held = HeldDuty {
            lease: HeldLease {
                lease: LeaseId(lease),
                fencing,
                time_to_live,
                sent,
            },
            era: granted.era,
            since: boot_time(),
            acts_from: boot_time() + time_to_live,
        };
        if !held.lease.is_held(boot_time()) {
            self.refuse("the store took too long to grant the lease");
            self.release(lease, granted.era).await;
            return Ok(());
        }
        self.core.duties.lease.set(Some(held));
        let fields = TakenFields {
            token: held.token(),
            era: held.era,
            lease,
            acts_in_ms: time_to_live.as_millis_f64(),
        };
        self.core.log.change("duty-taken", fields);
        Ok(())
    }

    /// Writes the holder's key and returns the revision of the write.
    async fn write_holder(
        &mut self,
        lease: u64,
        era: StoreEra,
        limit: Span,
    ) -> Result<Revision, StoreError> {
        self.tries += 1;
        let name = std::sync::Arc::clone(&self.core.settings().name);
        let value = format!("{name} {:016x} {}", self.process, self.tries);
        let request = self.core.port.duty_change_request(&DutyChange {
            conditions: &[(DutyKey::Holder, ABSENT)],
            writes: &[DutyWrite {
                key: DutyKey::Holder,
                value: value.as_bytes(),
                lease: Some(lease),
            }],
            removes: &[],
        });
        let written = self
            .client
            .call(StorePurpose::DutyWrite, &request, limit)
            .await;
        match written {
            Ok(reply) => self.revision_of(&reply, era),
            Err(StoreError::Status(status)) if status < 500 => Err(StoreError::Status(status)),
            // The write may have taken effect, or may do so later.
            Err(error) => match self.read_holder(limit).await? {
                Some((entry, read_era)) if entry.value == value.as_bytes() && read_era == era => {
                    Ok(entry.revision)
                }
                _ => Err(error),
            },
        }
    }

    fn revision_of(&self, reply: &StoreReply, era: StoreEra) -> Result<Revision, StoreError> {
        if reply.era != era {
            return Err(StoreError::EraChanged);
        }
        let revision = self.core.port.decode_duty_change(&reply.body);
        revision.map_err(|error| StoreError::Answer(error.to_string()))
    }

    /// Reads the holder's key; `None` if it does not exist.
    async fn read_holder(
        &mut self,
        limit: Span,
    ) -> Result<Option<(DutyEntry, StoreEra)>, StoreError> {
        let request = self.core.port.duty_read_request(DutyKey::Holder);
        let read = self
            .client
            .call(StorePurpose::DutyRead, &request, limit)
            .await;
        let reply = match read {
            Err(StoreError::Status(404)) => return Ok(None),
            read => read?,
        };
        let entry = self.core.port.decode_duty_entry(&reply.body);
        let entry = entry.map_err(|error| StoreError::Answer(error.to_string()))?;
        Ok(Some((entry, reply.era)))
    }

    /// Returns whether this process wrote the holder's key.
    fn is_own(&self, entry: &DutyEntry) -> bool {
        let mark = format!(" {:016x} ", self.process);
        let value = String::from_utf8_lossy(&entry.value);
        value.contains(&mark)
    }

    /// Removes a key that this process wrote although it is not the holder: its lease was not renewed in time
    /// and the store still has it, or the write took effect after it had been given up.
    async fn remove_stale(&mut self, entry: &DutyEntry, limit: Span) -> Result<(), StoreError> {
        self.refuse("the key of this process has outlived its holding");
        let request = self.core.port.duty_change_request(&DutyChange {
            conditions: &[(DutyKey::Holder, entry.revision)],
            writes: &[],
            removes: &[DutyKey::Holder],
        });
        self.client
            .call(StorePurpose::DutyWrite, &request, limit)
            .await?;
        Ok(())
    }

    /// Ends the lease in the store as well, if this gateway has one, so that another gateway can take the duties at
    /// once.
    async fn give_up(&mut self, reason: &str) {
        let Some(held) = self.core.duties.lease.last_held() else {
            return;
        };
        self.lose(reason);
        self.release(held.lease.lease.0, held.era).await;
    }

    /// Ends a lease, unless the store's era has changed: the id may then name another holder's lease.
    async fn release(&mut self, lease: u64, era: StoreEra) {
        if era != self.core.store_era() {
            return;
        }
        let limit = self.core.settings().store_min_ttl.max(Span::from_secs(1));
        let request = self.core.port.release_request(lease);
        // If this call fails, the lease expires by itself.
        let _ = self
            .client
            .call(StorePurpose::Release, &request, limit)
            .await;
    }

    fn lose(&mut self, reason: &str) {
        let Some(held) = self.core.duties.lease.last_held() else {
            return;
        };
        self.core.duties.lease.set(None);
        let fields = LostFields {
            token: held.token(),
            reason,
            held_ms: boot_time().since(held.since).as_millis_f64(),
        };
        self.core.log.change("duty-lost", fields);
    }

    /// Logs why the duties were not taken, once for each reason in a row.
    fn refuse(&mut self, reason: &str) {
        if self.last_problem != reason {
            reason.clone_into(&mut self.last_problem);
            self.core
                .log
                .change("duty-refused", RefusedFields { reason });
        }
    }

    fn candidate_pause(&self) -> Span {
        let settings = self.core.settings();
        let own = passing_capacity(settings.cores, settings.link_mbps);
        let others = self.core.view.borrow().other_capacities(&settings.name);
        // Gateways that are not known yet count as machines like this one.
        let like_own = match others.is_empty() {
            true => self.core.gateway_count(),
            false => 1,
        };
        let capacities = others.into_iter().chain(std::iter::repeat_n(own, like_own));
        next_duty_check(own, capacities, self.core.random())
    }
}
