//! Calls, each on a stream of its own, with a timeout and a verdict.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use oleander_base::prelude::*;
use tokio::time::timeout;

use crate::codec::{decode_reply, encode_call};
use crate::core::{EndpointCore, unreachable};
use crate::error::{PeerError, PeerResult};
use crate::message::{PeerCall, PeerReply};
use crate::stream::{ActiveGuard, check_size, connection_lost, read_frame};

/// Sends a call and waits for its reply within a time limit.
pub(crate) async fn run_call(
    core: &Arc<EndpointCore>,
    to: InstanceId,
    call: &PeerCall,
    time_limit: Duration,
) -> PeerResult<PeerReply> {
    let sent = AtomicBool::new(false);
    let result = timeout(time_limit, exchange(core, to, call, &sent)).await;
    result.unwrap_or_else(|_| {
        let verdict = if sent.load(Ordering::Relaxed) {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        };
        Err(PeerError::Timeout { to, verdict })
    })
}

async fn exchange(
    core: &Arc<EndpointCore>,
    to: InstanceId,
    call: &PeerCall,
    sent: &AtomicBool,
) -> PeerResult<PeerReply> {
    let session = core.connect(to).await?;
    let _active = ActiveGuard::new(&session.active);
    let bytes = check_size(encode_call(call))?;
    let opened = session.connection.open_bi().await;
    let (mut send, mut receive) = opened.map_err(|e| unreachable(to.address, &e))?;
    sent.store(true, Ordering::Relaxed);
    send.write_chunk(bytes)
        .await
        .map_err(|e| connection_lost(to, &e))?;
    let _ = send.finish();
    let (frame, _) = read_frame(to, &mut receive).await?;
    match decode_reply(&frame) {
        Ok(PeerReply::Unsupported) => Err(PeerError::Unsupported { to }),
        Ok(PeerReply::Refused(reason)) => Err(PeerError::Refused { to, reason }),
        Ok(reply) => Ok(reply),
        Err(_) => Err(PeerError::Malformed { peer: to }),
    }
}
