//! A link: the queue of messages for one instance, and the connection that carries them.
//!
//! Senders append encoded frames to a buffer; one task swaps the buffer out and writes it. An idle
//! link therefore sends at once, and a busy one sends everything that gathered during its last
//! write in one go.

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

/// Two connections that were opened within this time of each other crossed on the way.
const CROSSING_WINDOW: Duration = Duration::from_secs(5);

/// A superfluous connection is closed after this time, and only while nothing uses it.
const RETIRE_DELAY: Duration = Duration::from_secs(2);

/// The longest wait for a connection that is given up to deliver what it holds.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// A link without messages and without a connection is removed after this time.
const EMPTY_LINK_TTL: Duration = Duration::from_secs(60);

/// The wait after a failed attempt to open a connection; doubled up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(100);

const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// The way to one instance.
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

/// What became of a message that was handed to a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EnqueueOutcome {
    Queued,
    Full,
    /// The link is no longer in use; take a new one.
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

    /// Appends a message, unless the queue is full.
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

    /// Returns the open connection, if there is one.
    pub(crate) fn open_session(&self) -> Option<Arc<PeerSession>> {
        self.session.lock().clone().filter(|p| p.is_open())
    }

    /// Returns the open connection, or opens one.
    ///
    /// Callers that wait for the same attempt share its failure.
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

    /// Takes over a new connection; of two that crossed, both sides keep the same one.
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

    /// Lets a closed connection go; returns whether it was the one in use.
    pub(crate) fn detach(&self, closed: &Arc<PeerSession>) -> bool {
        let mut slot = self.session.lock();
        let was_current = slot.as_ref().is_some_and(|p| Arc::ptr_eq(p, closed));
        if was_current {
            *slot = None;
        }
        was_current
    }

    /// Closes the link for good, after its instance has gone.
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

    /// Retires the link if nothing waits and no connection stands.
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
            // A stream that the peer gave up cannot be opened again on the same connection.
            session.connection.close(CLOSE_NORMAL, b"stream");
            add(&core.counters.dropped, messages);
            return Err(connection_lost(link.to, &error));
        }
    }
}

/// Waits until the peer has what was written to a connection before another one is used, so that
/// messages keep their order.
async fn drain(old: &PeerSession) {
    let mut sender = old.sender.lock().await;
    let _ = sender.finish();
    let _ = timeout(DRAIN_TIMEOUT, sender.stopped()).await;
}

/// Returns whether an old connection stays in place of a new one.
fn keeps_old(me: InstanceId, old: &PeerSession, new: &PeerSession) -> bool {
    let crossed = new.since.duration_since(old.since) < CROSSING_WINDOW;
    crossed && old.dialler(me) < new.dialler(me)
}

async fn close_superfluous(session: Arc<PeerSession>) {
    while session.is_open() {
        sleep(RETIRE_DELAY).await;
        if session.active.load(Ordering::Relaxed) == 0 {
            session.connection.close(CLOSE_NORMAL, b"superfluous");
        }
    }
}
