//! Announces this gateway to the others under a lease in the key-value store.

use std::rc::Rc;
use std::time::Duration;

use oleander_balance::passing_capacity;
use serde::Serialize;
use tokio::time::sleep;

use crate::core::GatewayCore;
use crate::port::GatewayEntry;
use crate::prelude::*;
use crate::store_client::{StoreClient, StoreError, StorePurpose};

/// The time to live of the lease, after which the announcement of a crashed gateway disappears.
const LEASE_TTL: Span = Span::from_secs(12);

/// The time between two renewals.
const RENEW_INTERVAL: Span = Span::from_millis(4_000);

/// The pause after a failed call. A random factor makes it up to twice as long.
const RETRY_DELAY: Span = Span::from_millis(600);

/// The timeout of one call.
const CALL_TIMEOUT: Span = Span::from_millis(1_500);

#[derive(Debug, Serialize)]
struct LeaseFields {
    lease: u64,
    ttl_ms: f64,
}

/// A lease, with the era of the store that granted it.
#[derive(Debug, Clone, Copy)]
struct HeldLease {
    id: u64,
    era: StoreEra,
}

impl HeldLease {
    /// Returns whether the store may still know the lease. In a later era its id may name another
    /// holder's lease.
    fn is_current(self, core: &GatewayCore) -> bool {
        self.era == core.store_era()
    }
}

/// Keeps the announcement for as long as the process runs.
pub(crate) async fn run_lease(core: Rc<GatewayCore>) {
    let mut client = StoreClient::open(Rc::clone(&core));
    let mut lease: Option<HeldLease> = None;
    loop {
        lease = lease.filter(|held| held.is_current(&core));
        if core.shutdown.is_stopping() {
            if let Some(held) = lease {
                // If this call fails, the lease expires by itself.
                let request = core.port.release_request(held.id);
                let _ = client
                    .call(StorePurpose::Release, &request, CALL_TIMEOUT)
                    .await;
            }
            return;
        }
        let result = match lease {
            None => announce(&core, &mut client).await.map(|new| {
                lease = Some(new);
            }),
            Some(held) => renew(&core, &mut client, held).await,
        };
        let pause = match result {
            Ok(()) => RENEW_INTERVAL.0 as f64,
            Err(error) => {
                if matches!(error, StoreError::Status(404)) {
                    lease = None;
                }
                RETRY_DELAY.0 as f64 * (1.0 + core.random())
            }
        };
        // A stop that began during the call has woken no one, and the process may end before the pause does.
        if core.shutdown.is_stopping() {
            continue;
        }
        tokio::select! {
            () = sleep(Duration::from_micros(pause as u64)) => {}
            () = core.stop_notify.notified() => {}
        }
    }
}

async fn announce(core: &GatewayCore, client: &mut StoreClient) -> Result<HeldLease, StoreError> {
    let settings = core.settings();
    let ttl = LEASE_TTL.max(settings.store_min_ttl);
    let granted = client
        .call(
            StorePurpose::Grant,
            &core.port.lease_request(ttl),
            CALL_TIMEOUT,
        )
        .await?;
    let lease = core
        .port
        .decode_lease(&granted.body)
        .map_err(|error| StoreError::Answer(error.to_string()))?;
    let entry = GatewayEntry {
        control: settings.control,
        gossip: Some(settings.gossip),
        frontend: Some(settings.frontend),
        centre: std::sync::Arc::clone(&settings.centre),
        capacity: passing_capacity(settings.cores, settings.link_mbps),
        leases_slots: true,
    };
    let request = core.port.announce_request(&settings.name, &entry, lease);
    let announced = client
        .call(StorePurpose::Announce, &request, CALL_TIMEOUT)
        .await?;
    if announced.era != granted.era {
        return Err(StoreError::EraChanged);
    }
    core.log.change(
        "announced",
        LeaseFields {
            lease,
            ttl_ms: ttl.as_millis_f64(),
        },
    );
    Ok(HeldLease {
        id: lease,
        era: granted.era,
    })
}

async fn renew(
    core: &GatewayCore,
    client: &mut StoreClient,
    lease: HeldLease,
) -> Result<(), StoreError> {
    let reply = client
        .call(
            StorePurpose::Renew,
            &core.port.renew_request(lease.id),
            CALL_TIMEOUT,
        )
        .await?;
    if reply.era == lease.era {
        Ok(())
    } else {
        Err(StoreError::EraChanged)
    }
}
