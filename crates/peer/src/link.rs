//! A link: the queue of messages for one instance and the session that carries them.
//!
//! Senders append encoded frames to a buffer, and one task swaps the buffer out and writes it. An
//! idle link therefore sends at once, and a busy one batches everything that was queued during its
//! last write.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use oleander_base::prelude::*;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::codec::{MAX_FRAME_BODY, encode_message};
use crate::core::EndpointCore;
use crate::counters::add;
use crate::error::{PeerError, PeerResult};
use crate::message::PeerMessage;
use crate::peering::{CLOSE_NORMAL, PeerSession};
use crate::stream::connection_lost;

/// Two connections that were established within this time of each other count as opened
/// simultaneously by both sides.
const CROSSING_WINDOW: Duration = Duration::from_secs(5);

/// The interval at which a superfluous connection is checked; it is closed once no call or stream
/// uses it.
const RETIRE_DELAY: Duration = Duration::from_secs(2);

/// The maximum wait for the peer to acknowledge the messages of a replaced connection.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// The time after which a link without messages and without a connection is removed.
const EMPTY_LINK_TTL: Duration = Duration::from_secs(60);

/// The backoff after a failed write or connection attempt; doubled up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(100);

const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// The message queue and the current session of one instance.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) to: InstanceId,
    queue: Mutex<LinkQueue>,
    wake: Notify,
    session: Mutex<Option<Arc<PeerSession>>>,
    dial: tokio::sync::Mutex<DialState>,
}

#[derive(Debug, Default)]
struct LinkQueue {
    buffer: BytesMut,
    messages: u64,
    retired: bool,
}

#[derive(Debug, Default)]
struct DialState {
    failure: Option<(Instant, PeerError)>,
}

/// The result of queuing a message on a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EnqueueOutcome {
    Queued,
    Full,
    /// The link is retired, and the message must be queued on a new one.
    Retired,
}

impl Link {
    pub(crate) fn new(to: InstanceId) -> Self {
        Self {
            to,
            queue: Mutex::new(LinkQueue::default()),
            wake: Notify::new(),
            session: Mutex::new(None),
            dial: tokio::sync::Mutex::new(DialState::default()),
        }
    }

    /// Appends a message unless the queue is full or the message exceeds the frame limit.
    pub(crate) fn enqueue(&self, core: &EndpointCore, message: &PeerMessage) -> EnqueueOutcome {
        let mut queue = self.queue.lock();
        if queue.retired {
            return EnqueueOutcome::Retired;
        }
        if queue.buffer.len() >= core.queue_limit {
            return EnqueueOutcome::Full;
        }
        let before = queue.buffer.len();
        let size = encode_message(message, &mut queue.buffer);
        if size > MAX_FRAME_BODY {
            queue.buffer.truncate(before);
            return EnqueueOutcome::Full;
        }
        queue.messages += 1;
        drop(queue);
        core.counters.add_sent(message.kind(), size);
        self.wake.notify_one();
        EnqueueOutcome::Queued
    }

    /// Returns the open session, if there is one.
    pub(crate) fn open_session(&self) -> Option<Arc<PeerSession>> {
        self.session.lock().clone().filter(|p| p.is_open())
    }

    /// Returns the open session, or opens one.
    ///
    /// Callers that wait for the same attempt share its error.
    pub(crate) async fn connect(&self, core: &Arc<EndpointCore>) -> PeerResult<Arc<PeerSession>> {
        if let Some(session) = self.open_session() {
            return Ok(session);
        }
        let started = Instant::now();
        let mut dial = self.dial.lock().await;
        if let Some(session) = self.open_session() {
            return Ok(session);
        }
        if let Some((at, error)) = &dial.failure
            && *at >= started
        {
            return Err(error.clone());
        }
        match core.dial_instance(self.to).await {
            Ok(session) => {
                dial.failure = None;
                Ok(self.open_session().unwrap_or(session))
            }
            Err(error) => {
                dial.failure = Some((Instant::now(), error.clone()));
                Err(error)
            }
        }
    }

    /// Makes a new session the current one; of two simultaneously opened ones, both sides keep the
    /// same.
    pub(crate) fn attach(&self, core: &Arc<EndpointCore>, new: &Arc<PeerSession>) {
        let mut slot = self.session.lock();
        let old = slot.take().filter(|old| old.is_open());
        let superfluous = match old {
            Some(old) if keeps_old(core.me, &old, new) => {
                *slot = Some(old);
                Some(Arc::clone(new))
            }
            old => {
                *slot = Some(Arc::clone(new));
                old
            }
        };
        drop(slot);
        if let Some(superfluous) = superfluous
            && superfluous.dialled
        {
            core.spawn(close_superfluous(superfluous));
        }
    }

    /// Detaches a closed session and returns whether it was the current one.
    pub(crate) fn detach(&self, closed: &Arc<PeerSession>) -> bool {
        let mut slot = self.session.lock();
        let was_current = slot.as_ref().is_some_and(|p| Arc::ptr_eq(p, closed));
        if was_current {
            *slot = None;
        }
        was_current
    }

    /// Retires the link permanently, drops its messages and closes its session.
    pub(crate) fn close(&self, core: &EndpointCore) {
        self.discard_queue(core, true);
        if let Some(session) = self.session.lock().take() {
            session.connection.close(CLOSE_NORMAL, b"gone");
        }
        self.wake.notify_one();
    }

    fn take_queue(&self) -> (Bytes, u64) {
        let mut queue = self.queue.lock();
        let messages = std::mem::take(&mut queue.messages);
        (queue.buffer.split().freeze(), messages)
    }

    fn discard_queue(&self, core: &EndpointCore, retire: bool) {
        let mut queue = self.queue.lock();
        add(&core.counters.dropped, queue.messages);
        queue.buffer.clear();
        queue.messages = 0;
        queue.retired |= retire;
    }

    /// Retires the link if no message is queued and no session is open; returns whether the link is
    /// retired.
    fn retire_if_empty(&self) -> bool {
        let mut queue = self.queue.lock();
        if queue.messages == 0 && self.open_session().is_none() {
            queue.retired = true;
        }
        queue.retired
    }

    fn is_retired(&self) -> bool {
        self.queue.lock().retired
    }
}

/// Writes a link's messages until the link is retired.
pub(crate) async fn run_writer(core: Arc<EndpointCore>, link: Arc<Link>) {
    let mut backoff = MIN_BACKOFF;
    let mut current = None;
    while !link.is_retired() {
        if timeout(EMPTY_LINK_TTL, link.wake.notified()).await.is_err() {
            if link.retire_if_empty() {
                break;
            }
            continue;
        }
        if write_queue(&core, &link, &mut current).await.is_ok() {
            backoff = MIN_BACKOFF;
        } else {
            link.discard_queue(&core, false);
            sleep(core.jitter(backoff)).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }
    core.remove_link(&link);
}

async fn write_queue(
    core: &Arc<EndpointCore>,
    link: &Link,
    current: &mut Option<Arc<PeerSession>>,
) -> PeerResult<()> {
    if link.queue.lock().messages == 0 {
        return Ok(());
    }
    let session = link.connect(core).await?;
    if let Some(old) = current.replace(Arc::clone(&session))
        && !Arc::ptr_eq(&old, &session)
    {
        drain(&old).await;
    }
    let mut sender = session.sender.lock().await;
    loop {
        let (bytes, messages) = link.take_queue();
        if messages == 0 {
            return Ok(());
        }
        if let Err(error) = sender.write_chunk(bytes).await {
            // The message stream cannot be reopened on this connection after the peer stopped it.
            session.connection.close(CLOSE_NORMAL, b"stream");
            add(&core.counters.dropped, messages);
            return Err(connection_lost(link.to, &error));
        }
    }
}

/// Finishes the message stream of a replaced connection and waits until the peer has received it,
/// so that messages keep their order.
async fn drain(old: &PeerSession) {
    let mut sender = old.sender.lock().await;
    let _ = sender.finish();
    let _ = timeout(DRAIN_TIMEOUT, sender.stopped()).await;
}

/// Returns whether an old session stays current in place of a new one.
///
/// Of two sessions that both sides opened simultaneously, the one of the smaller instance ID stays;
/// otherwise the new session replaces the old one.
fn keeps_old(me: InstanceId, old: &PeerSession, new: &PeerSession) -> bool {
    let simultaneous = new.since.duration_since(old.since) < CROSSING_WINDOW;
    simultaneous && old.dialler(me) < new.dialler(me)
}

async fn close_superfluous(session: Arc<PeerSession>) {
    while session.is_open() {
        sleep(RETIRE_DELAY).await;
        if session.active.load(Ordering::Relaxed) == 0 {
            session.connection.close(CLOSE_NORMAL, b"superfluous");
        }
    }
}
