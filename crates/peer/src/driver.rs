//! The membership driver, which passes time and datagrams to the state machine and executes its
//! actions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use log::{info, warn};
use oleander_base::prelude::*;
use oleander_membership::{MemberState, MemberView, Membership, MembershipAction};
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::core::EndpointCore;
use crate::counters::add;
use crate::link::Link;
use crate::peering::PeerSession;

/// The maximum interval between two membership ticks.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(50);

/// The minimum interval between two published views.
const MIN_VIEW_INTERVAL: Span = Span::from_millis(20);

/// The minimum interval between two membership ticks.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(2);

/// A datagram that the peer ignores; it only elicits a transport acknowledgement.
const KEEP_ALIVE: &[u8] = &[0];

/// The interval between two keep-alives on connections that carry calls or streams.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(5);

/// The time within which the transport of a member that is declared gone must answer a keep-alive
/// for its connection to stay open.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(500);

impl EndpointCore {
    /// Returns the time on this endpoint's clock.
    pub(crate) fn now(&self) -> MonoTime {
        MonoTime(Span::from(self.settings.origin.elapsed()).0)
    }

    pub(crate) fn is_current(&self) -> bool {
        let last = MonoTime(self.last_tick.load(Ordering::Acquire));
        let gap = self.now().since(last);
        gap <= self.settings.membership.pause_threshold && self.view.borrow().is_current()
    }

    /// Passes an input to membership, publishes a changed view and executes the actions.
    ///
    /// A view that changes again soon after it was published waits for a later input, so that
    /// frequent membership changes do not cause a view for each.
    pub(crate) fn drive(self: &Arc<Self>, input: impl FnOnce(&mut Membership, MonoTime)) {
        let mut membership = self.membership.lock();
        let now = self.now();
        input(&mut membership, now);
        let actions = membership.take_actions();
        let view = self.view_if_due(&membership, now);
        drop(membership);
        if let Some(view) = view {
            self.publish(view);
        }
        for action in actions {
            self.execute(action);
        }
    }

    fn view_if_due(&self, membership: &Membership, now: MonoTime) -> Option<Arc<MemberView>> {
        let last = MonoTime(self.last_view.load(Ordering::Acquire));
        let changed = membership.version() != self.view.borrow().version;
        if !changed || now.since(last) < MIN_VIEW_INTERVAL {
            return None;
        }
        self.last_view.store(now.0, Ordering::Release);
        Some(Arc::new(membership.view()))
    }

    fn publish(self: &Arc<Self>, new: Arc<MemberView>) {
        let mut gone = Vec::new();
        self.view.send_if_modified(|view| {
            if view.version >= new.version {
                return false;
            }
            gone = newly_gone(view, &new);
            *view = new;
            true
        });
        for instance in gone {
            let link = self.links.read().get(&instance).cloned();
            if let Some(link) = link {
                self.spawn(close_if_silent(Arc::clone(self), link));
            }
        }
    }

    fn execute(self: &Arc<Self>, action: MembershipAction) {
        match action {
            MembershipAction::Send { to, datagram } => self.send_datagram(to, datagram.into()),
            MembershipAction::Dial { address } => {
                self.spawn(dial_address(Arc::clone(self), address));
            }
            MembershipAction::Resumed { paused } => {
                info!("this process was paused for {paused}");
                self.handler.on_resumed(paused.into());
            }
            MembershipAction::Superseded => {
                if !self.departing.load(Ordering::Acquire) {
                    warn!("another instance answers at {}", self.me.address);
                    self.handler.on_superseded();
                }
            }
        }
    }

    fn send_datagram(self: &Arc<Self>, to: InstanceId, datagram: Bytes) {
        let link = self.link(to);
        if let Some(session) = link.open_session() {
            self.write_datagram(&session, datagram);
            return;
        }
        let core = Arc::clone(self);
        self.spawn(async move {
            if let Ok(session) = link.connect(&core).await {
                core.write_datagram(&session, datagram);
            }
        });
    }

    fn write_datagram(&self, session: &PeerSession, datagram: Bytes) {
        let size = datagram.len();
        if session.connection.send_datagram(datagram).is_ok() {
            self.counters.add_probe_sent(size);
        }
    }

    /// Processes a datagram that was received on a connection.
    pub(crate) fn on_datagram(self: &Arc<Self>, session: &PeerSession, datagram: &[u8]) {
        self.counters.add_probe_received(datagram.len());
        if datagram == KEEP_ALIVE {
            return;
        }
        let mut decoded = true;
        self.drive(|membership, now| {
            decoded = membership.receive(session.remote, datagram, now);
        });
        if !decoded {
            add(&self.counters.malformed, 1);
        }
    }

    /// Reports to membership which instance, if any, answered at an address that was dialled.
    pub(crate) fn on_dial_result(self: &Arc<Self>, address: SocketAddr, found: Option<InstanceId>) {
        self.drive(|membership, now| membership.on_dial_result(address, found, now));
    }

    /// Requests a probe of an instance that may have failed.
    pub(crate) fn probe_now(self: &Arc<Self>, instance: InstanceId) {
        self.drive(|membership, now| membership.probe_now(instance, now));
    }

    fn send_keep_alives(&self) {
        for session in self.sessions.lock().iter() {
            if session.active.load(Ordering::Relaxed) > 0 {
                self.write_datagram(session, Bytes::from_static(KEEP_ALIVE));
            }
        }
    }
}

/// Runs membership ticks and sends keep-alives until the endpoint closes.
pub(crate) async fn run_ticks(core: Arc<EndpointCore>) {
    let timeout = Duration::from(core.settings.membership.probe_timeout);
    let period = (timeout / 4).clamp(MIN_TICK_INTERVAL, MAX_TICK_INTERVAL);
    let mut ticks = interval(period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut since_keep_alive = Duration::ZERO;
    while !core.is_closed() {
        ticks.tick().await;
        let now = core.now();
        core.drive(|membership, now| membership.tick(now));
        core.last_tick.store(now.0, Ordering::Release);
        since_keep_alive += period;
        if since_keep_alive >= KEEP_ALIVE_INTERVAL {
            since_keep_alive = Duration::ZERO;
            core.send_keep_alives();
        }
    }
}

/// Passes new views to the handler in order; a view that is replaced before it is read is skipped.
pub(crate) async fn forward_views(core: Arc<EndpointCore>) {
    let mut views = core.view.subscribe();
    while !core.is_closed() && views.changed().await.is_ok() {
        let view = views.borrow_and_update().clone();
        core.handler.on_view(&view);
    }
}

async fn dial_address(core: Arc<EndpointCore>, address: SocketAddr) {
    if core.dial(address).await.is_err() {
        core.on_dial_result(address, None);
    }
}

/// Closes the link of a member that is declared gone, unless its transport still responds.
///
/// The member may have been declared gone by mistake, and closing the link would abort its streams.
async fn close_if_silent(core: Arc<EndpointCore>, link: Arc<Link>) {
    if let Some(session) = link.open_session() {
        let received = || session.connection.stats().udp_rx.datagrams;
        let before = received();
        core.write_datagram(&session, Bytes::from_static(KEEP_ALIVE));
        sleep(SILENCE_TIMEOUT).await;
        if session.is_open() && received() > before {
            return;
        }
    }
    link.close(&core);
    core.remove_link(&link);
}

fn newly_gone(old: &MemberView, new: &MemberView) -> Vec<InstanceId> {
    new.members
        .values()
        .filter(|member| member.state == MemberState::Gone)
        .filter(|member| old.state(member.instance) != MemberState::Gone)
        .map(|member| member.instance)
        .collect()
}
