//! Announces this gateway to the others under a lease in the key-value store.

use std::rc::Rc;
use std::time::Duration;

use serde::Serialize;
use tokio::time::sleep;

use crate::core::GatewayCore;
use crate::port::GatewayEntry;
use crate::prelude::*;
use crate::store_client::{StoreClient, StoreError};

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

/// Keeps the announcement for as long as the process runs.
pub(crate) async fn run_lease(core: Rc<GatewayCore>) {
    let mut client = StoreClient::open(core.settings().store, Rc::clone(&core.metrics));
    let mut lease = None;
    loop {
        if core.shutdown.is_stopping() {
            if let Some(held) = lease {
                // If this call fails, the lease expires by itself.
                let _ = client
                    .call(&core.port.release_request(held), CALL_TIMEOUT)
                    .await;
            }
            return;
        }
        client.set_address(core.settings().store);
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
        tokio::select! {
            () = sleep(Duration::from_micros(pause as u64)) => {}
            () = core.stop_notify.notified() => {}
        }
    }
}

async fn announce(core: &GatewayCore, client: &mut StoreClient) -> Result<u64, StoreError> {
    let settings = core.settings();
    let ttl = LEASE_TTL.max(settings.store_min_ttl);
    let body = client
        .call(&core.port.lease_request(ttl), CALL_TIMEOUT)
        .await?;
    let lease = core
        .port
        .decode_lease(&body)
        .map_err(|error| StoreError::Answer(error.to_string()))?;
    let entry = GatewayEntry {
        control: settings.control,
        gossip: Some(settings.gossip),
        centre: std::sync::Arc::clone(&settings.centre),
    };
    let request = core.port.announce_request(&settings.name, &entry, lease);
    client.call(&request, CALL_TIMEOUT).await?;
    core.log.change(
        "announced",
        LeaseFields {
            lease,
            ttl_ms: ttl.as_millis_f64(),
        },
    );
    Ok(lease)
}

async fn renew(core: &GatewayCore, client: &mut StoreClient, lease: u64) -> Result<(), StoreError> {
    client
        .call(&core.port.renew_request(lease), CALL_TIMEOUT)
        .await?;
    Ok(())
}
