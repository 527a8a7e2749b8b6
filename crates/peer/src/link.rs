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

use crate::codec::{FRAME_LIMIT, encode_message};
use crate::core::EndpointCore;
use crate::counters::add;
use crate::error::{PeerError, PeerResult};
use crate::message::PeerMessage;
use crate::peering::{CLOSE_NORMAL, Peering};
use crate::stream::lost;

/// Two connections that were opened within this time of each other crossed on the way.
const CROSSING_WINDOW: Duration = Duration::from_secs(5);

/// A superfluous connection is closed after this time, and only while nothing uses it.
const RETIRE_DELAY: Duration = Duration::from_secs(2);

/// The longest wait for a connection that is given up to deliver what it holds.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// A link without messages and without a connection is removed after this time.
const EMPTY_LINK_LIFE: Duration = Duration::from_secs(60);

/// The wait after a failed attempt to open a connection; doubled up to [`LONGEST_BACKOFF`].
const FIRST_BACKOFF: Duration = Duration::from_millis(100);

const LONGEST_BACKOFF: Duration = Duration::from_secs(2);

/// The way to one instance.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) to: InstanceId,
    queue: Mutex<LinkQueue>,
    wake: Notify,
    peering: Mutex<Option<Arc<Peering>>>,
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
pub(crate) enum Enqueued {
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
            peering: Mutex::new(None),
            dial: tokio::sync::Mutex::new(DialState::default()),
        }
    }

    /// Appends a message, unless the queue is full.
    pub(crate) fn enqueue(&self, core: &EndpointCore, message: &PeerMessage) -> Enqueued {
        let mut queue = self.queue.lock();
        if queue.retired {
            return Enqueued::Retired;
        }
        if queue.buffer.len() >= core.queue_limit {
            return Enqueued::Full;
        }
        let before = queue.buffer.len();
        let size = encode_message(message, &mut queue.buffer);
        if size > FRAME_LIMIT {
            queue.buffer.truncate(before);
            return Enqueued::Full;
        }
        queue.messages += 1;
        drop(queue);
        core.counters.add_sent(message.kind(), size);
        self.wake.notify_one();
        Enqueued::Queued
    }

    /// Returns the open connection, if there is one.
    pub(crate) fn open_peering(&self) -> Option<Arc<Peering>> {
        self.peering.lock().clone().filter(|p| p.is_open())
    }

    /// Returns the open connection, or opens one.
    ///
    /// Callers that wait for the same attempt share its failure.
    pub(crate) async fn connect(&self, core: &Arc<EndpointCore>) -> PeerResult<Arc<Peering>> {
        if let Some(peering) = self.open_peering() {
            return Ok(peering);
        }
        let asked = Instant::now();
        let mut dial = self.dial.lock().await;
        if let Some(peering) = self.open_peering() {
            return Ok(peering);
        }
        if let Some((at, error)) = &dial.failure
            && *at >= asked
        {
            return Err(error.clone());
        }
        match core.dial_instance(self.to).await {
            Ok(peering) => {
                dial.failure = None;
                Ok(self.open_peering().unwrap_or(peering))
            }
            Err(error) => {
                dial.failure = Some((Instant::now(), error.clone()));
                Err(error)
            }
        }
    }

    /// Takes over a new connection; of two that crossed, both sides keep the same one.
    pub(crate) fn adopt(&self, core: &Arc<EndpointCore>, new: &Arc<Peering>) {
        let mut slot = self.peering.lock();
        let old = slot.take().filter(|old| old.is_open());
        let loser = match old {
            Some(old) if is_preferred(core.me, &old, new) => {
                *slot = Some(old);
                Some(Arc::clone(new))
            }
            old => {
                *slot = Some(Arc::clone(new));
                old
            }
        };
        drop(slot);
        if let Some(loser) = loser
            && loser.dialled
        {
            core.spawn(retire(loser));
        }
    }

    /// Lets a closed connection go; returns whether it was the one in use.
    pub(crate) fn forget(&self, closed: &Arc<Peering>) -> bool {
        let mut slot = self.peering.lock();
        let used = slot.as_ref().is_some_and(|p| Arc::ptr_eq(p, closed));
        if used {
            *slot = None;
        }
        used
    }

    /// Closes the link for good, after its instance has gone.
    pub(crate) fn close(&self, core: &EndpointCore) {
        self.drop_queue(core, true);
        if let Some(peering) = self.peering.lock().take() {
            peering.connection.close(CLOSE_NORMAL, b"gone");
        }
        self.wake.notify_one();
    }

    fn take_queue(&self) -> (Bytes, u64) {
        let mut queue = self.queue.lock();
        let messages = std::mem::take(&mut queue.messages);
        (queue.buffer.split().freeze(), messages)
    }

    fn drop_queue(&self, core: &EndpointCore, retire: bool) {
        let mut queue = self.queue.lock();
        add(&core.counters.dropped, queue.messages);
        queue.buffer.clear();
        queue.messages = 0;
        queue.retired |= retire;
    }

    /// Retires the link if nothing waits and no connection stands.
    fn retire_if_empty(&self) -> bool {
        let mut queue = self.queue.lock();
        if queue.messages == 0 && self.open_peering().is_none() {
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
    let mut backoff = FIRST_BACKOFF;
    let mut current = None;
    while !link.is_retired() {
        if timeout(EMPTY_LINK_LIFE, link.wake.notified())
            .await
            .is_err()
        {
            if link.retire_if_empty() {
                break;
            }
            continue;
        }
        if write_queue(&core, &link, &mut current).await.is_ok() {
            backoff = FIRST_BACKOFF;
        } else {
            link.drop_queue(&core, false);
            sleep(core.jitter(backoff)).await;
            backoff = (backoff * 2).min(LONGEST_BACKOFF);
        }
    }
    core.remove_link(&link);
}

async fn write_queue(
    core: &Arc<EndpointCore>,
    link: &Link,
    current: &mut Option<Arc<Peering>>,
) -> PeerResult<()> {
    if link.queue.lock().messages == 0 {
        return Ok(());
    }
    let peering = link.connect(core).await?;
    if let Some(old) = current.replace(Arc::clone(&peering))
        && !Arc::ptr_eq(&old, &peering)
    {
        drain(&old).await;
    }
    let mut sender = peering.sender.lock().await;
    loop {
        let (bytes, messages) = link.take_queue();
        if messages == 0 {
            return Ok(());
        }
        if let Err(error) = sender.write_chunk(bytes).await {
            // A stream that the peer gave up cannot be opened again on the same connection.
            peering.connection.close(CLOSE_NORMAL, b"stream");
            add(&core.counters.dropped, messages);
            return Err(lost(link.to, &error));
        }
    }
}

/// Waits until the peer has what was written to a connection before another one is used, so that
/// messages keep their order.
async fn drain(old: &Peering) {
    let mut sender = old.sender.lock().await;
    let _ = sender.finish();
    let _ = timeout(DRAIN_TIMEOUT, sender.stopped()).await;
}

/// Returns whether an old connection stays in place of a new one.
fn is_preferred(me: InstanceId, old: &Peering, new: &Peering) -> bool {
    let crossed = new.since.duration_since(old.since) < CROSSING_WINDOW;
    crossed && old.dialler(me) < new.dialler(me)
}

async fn retire(peering: Arc<Peering>) {
    while peering.is_open() {
        sleep(RETIRE_DELAY).await;
        if peering.active.load(Ordering::Relaxed) == 0 {
            peering.connection.close(CLOSE_NORMAL, b"superfluous");
        }
    }
}
