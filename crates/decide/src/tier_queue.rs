//! The queue of one tier: earliest deadline first among the customers whose turn is due.
//!
//! Each customer has a lane of tickets ordered by deadline. The lanes are ordered by "earliest
//! eligible virtual deadline first" (Stoica and Abdel-Wahab, 1995), with the real deadline in place
//! of the virtual one. Each lane has a tag that grows by the work granted to it, divided by its
//! weight; the virtual time grows as that of an ideally fair server. A lane is eligible if its tag
//! is at most one window ahead of the virtual time, and the eligible lane with the earliest
//! deadline is served first. The order is thus by deadline while customers keep to their shares,
//! and by share when one customer floods the tier.
//!
//! Tickets that can no longer meet their deadline are kept separately in order of arrival and
//! served after all others of the tier. Otherwise a short overload would leave the tier serving
//! only tickets that are already too late.
//!
//! Invariants: `by_age` contains every ticket; each ticket that is not parked is in exactly one of
//! a lane and `late`; a lane with tickets is in exactly one of `eligible` and `ineligible`.

use std::collections::{BTreeMap, BTreeSet};

use oleander_base::prelude::*;

use crate::pool_queue::{QueuedTicket, TicketKey};
use crate::queue_time::QueueTime;

/// Tag units per unit of work at weight 1.
const TAG_SCALE: f64 = 1_000.0;

/// The smallest effective weight, so that a record cannot block a customer entirely.
const WEIGHT_FLOOR: f64 = 0.001;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LaneState {
    Idle,
    Eligible(QueueTime),
    Ineligible(u64),
}

/// The customer and work of a ticket, needed to remove it from its lane by deadline alone.
#[derive(Debug, Clone, Copy)]
struct LaneTicket {
    customer: CustomerId,
    work: u32,
}

#[derive(Debug)]
struct CustomerLane {
    tickets: BTreeSet<(QueueTime, TicketKey)>,
    work: u64,
    tag: u64,
    weight: f64,
    state: LaneState,
}

/// The tickets of one tier.
#[derive(Debug)]
pub(crate) struct TierQueue {
    window: u64,
    virtual_time: u64,
    active_weight: f64,
    lanes: FastMap<CustomerId, CustomerLane>,
    eligible: BTreeSet<(QueueTime, CustomerId)>,
    ineligible: BTreeSet<(u64, CustomerId)>,
    by_due: BTreeMap<(QueueTime, TicketKey), LaneTicket>,
    late: BTreeSet<(QueueTime, TicketKey)>,
    by_age: BTreeSet<(QueueTime, TicketKey)>,
    by_class: BTreeMap<ClassId, BTreeSet<(QueueTime, TicketKey)>>,
    by_expiry: BTreeSet<(QueueTime, TicketKey)>,
    work: u64,
}

impl TierQueue {
    /// Creates an empty queue; `window` is in units of work at weight 1.
    pub(crate) fn open(window: f64) -> Self {
        Self {
            window: (window * TAG_SCALE) as u64,
            virtual_time: 0,
            active_weight: 0.0,
            lanes: FastMap::default(),
            eligible: BTreeSet::new(),
            ineligible: BTreeSet::new(),
            by_due: BTreeMap::new(),
            late: BTreeSet::new(),
            by_age: BTreeSet::new(),
            by_class: BTreeMap::new(),
            by_expiry: BTreeSet::new(),
            work: 0,
        }
    }

    /// Sets the fairness window, in units of work at weight 1.
    pub(crate) fn set_window(&mut self, window: f64) {
        self.window = (window * TAG_SCALE) as u64;
    }

    /// Returns the number of queued tickets.
    pub(crate) fn len(&self) -> usize {
        self.by_age.len()
    }

    /// Returns whether no ticket is queued.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_age.is_empty()
    }

    /// Returns the total work of all queued tickets.
    pub(crate) fn work(&self) -> u64 {
        self.work
    }

    /// Returns the work expected to be served before a new ticket of a customer.
    ///
    /// This is the work of the whole tier or, if the customer has queued less than its share, the
    /// work that the tier does while the customer's own tickets are served. One customer's flood
    /// therefore does not make another's tickets look hopeless.
    pub(crate) fn work_before(&self, customer: CustomerId) -> u64 {
        let Some(lane) = self.lanes.get(&customer) else {
            return 0;
        };
        let others = self.active_weight / lane.weight;
        self.work.min((lane.work as f64 * others) as u64)
    }

    /// Returns the classes that have queued tickets.
    pub(crate) fn classes(&self) -> impl Iterator<Item = ClassId> + '_ {
        self.by_class.keys().copied()
    }

    /// Returns the most recently arrived ticket.
    pub(crate) fn newest(&self) -> Option<TicketKey> {
        self.by_age.last().map(|(_, key)| *key)
    }

    /// Returns the arrival time of the most recently arrived ticket.
    pub(crate) fn newest_arrival(&self) -> Option<QueueTime> {
        self.by_age.last().map(|(arrived, _)| *arrived)
    }

    /// Returns the oldest ticket of a class, with its arrival time.
    pub(crate) fn oldest_of(&self, class: ClassId) -> Option<(QueueTime, TicketKey)> {
        self.by_class.get(&class)?.first().copied()
    }

    /// Returns the ticket whose patience ends first, with that time.
    pub(crate) fn first_expiry(&self) -> Option<(QueueTime, TicketKey)> {
        self.by_expiry.first().copied()
    }

    /// Returns the tickets that can no longer meet their deadline, oldest first.
    pub(crate) fn late(&self) -> impl Iterator<Item = TicketKey> + '_ {
        self.late.iter().map(|(_, key)| *key)
    }

    /// Returns the tickets that can still meet their deadline, latest deadline first.
    pub(crate) fn latest_due(&self) -> impl Iterator<Item = TicketKey> + '_ {
        self.by_due.keys().rev().map(|(_, key)| *key)
    }

    /// Adds a ticket.
    pub(crate) fn insert(&mut self, entry: &QueuedTicket, weight: f64) {
        let age = (entry.arrived, entry.key);
        self.by_age.insert(age);
        self.by_expiry.insert((entry.expires, entry.key));
        let class = entry.ticket.class;
        self.by_class.entry(class).or_default().insert(age);
        self.work += u64::from(entry.work);
        self.add_to_lane(entry, weight);
    }

    /// Removes a ticket.
    pub(crate) fn remove(&mut self, entry: &QueuedTicket) {
        let age = (entry.arrived, entry.key);
        if !self.by_age.remove(&age) {
            return;
        }
        self.by_expiry.remove(&(entry.expires, entry.key));
        if let Some(set) = self.by_class.get_mut(&entry.ticket.class) {
            set.remove(&age);
            if set.is_empty() {
                self.by_class.remove(&entry.ticket.class);
            }
        }
        self.work -= u64::from(entry.work);
        self.park(entry);
    }

    /// Removes a ticket from the service order while it stays queued.
    pub(crate) fn park(&mut self, entry: &QueuedTicket) {
        if self.late.remove(&(entry.arrived, entry.key)) {
            return;
        }
        let due = (entry.due, entry.key);
        if let Some(ticket) = self.by_due.remove(&due) {
            self.remove_from_lane(ticket, due);
        }
    }

    /// Puts a parked ticket back into the service order.
    pub(crate) fn unpark(&mut self, entry: &QueuedTicket, weight: f64) {
        self.add_to_lane(entry, weight);
    }

    /// Moves tickets whose deadline is before `late_before` behind all others.
    pub(crate) fn demote_late(
        &mut self,
        late_before: QueueTime,
        arrived: impl Fn(TicketKey) -> QueueTime,
    ) {
        while let Some((&due, &ticket)) = self.by_due.first_key_value() {
            if due.0 >= late_before {
                return;
            }
            self.by_due.pop_first();
            self.remove_from_lane(ticket, due);
            self.late.insert((arrived(due.1), due.1));
        }
    }

    /// Returns the ticket to serve next.
    pub(crate) fn pick(&mut self) -> Option<TicketKey> {
        self.update_eligible_lanes();
        if let Some((_, customer)) = self.eligible.first() {
            let lane = &self.lanes[customer];
            return lane.tickets.first().map(|(_, key)| *key);
        }
        self.late.first().map(|(_, key)| *key)
    }

    /// Charges granted work to a customer's share.
    pub(crate) fn charge(&mut self, customer: CustomerId, work: u32) {
        let cost = f64::from(work) * TAG_SCALE;
        let virtual_time = self.virtual_time;
        let Some(lane) = self.lanes.get_mut(&customer) else {
            return;
        };
        let weight = lane.weight;
        lane.tag = lane.tag.max(virtual_time) + (cost / weight) as u64;
        let share = match lane.state {
            LaneState::Idle => self.active_weight + weight,
            LaneState::Eligible(_) | LaneState::Ineligible(_) => self.active_weight,
        };
        self.virtual_time += (cost / share.max(WEIGHT_FLOOR)) as u64;
        self.update_lane(customer);
    }

    /// Sets a customer's weight.
    pub(crate) fn set_weight(&mut self, customer: CustomerId, weight: f64) {
        let Some(lane) = self.lanes.get_mut(&customer) else {
            return;
        };
        let weight = weight.max(WEIGHT_FLOOR);
        if lane.state != LaneState::Idle {
            self.active_weight += weight - lane.weight;
        }
        lane.weight = weight;
    }

    /// Removes lanes that are empty and not ahead of the virtual time.
    pub(crate) fn remove_idle_lanes(&mut self) {
        let virtual_time = self.virtual_time;
        self.lanes
            .retain(|_, lane| lane.state != LaneState::Idle || lane.tag > virtual_time);
    }

    /// Returns the name and size of each index, for the verifier.
    pub(crate) fn index_sizes(&self) -> [(&'static str, usize); 5] {
        let lanes = self.lanes.values().map(|lane| lane.tickets.len());
        let classes = self.by_class.values().map(BTreeSet::len);
        [
            ("age", self.by_age.len()),
            ("expiry", self.by_expiry.len()),
            ("class", classes.sum()),
            ("service order", lanes.sum::<usize>() + self.late.len()),
            ("deadline", self.by_due.len() + self.late.len()),
        ]
    }

    /// Returns the number of lanes with tickets and the number of eligible and ineligible lanes.
    pub(crate) fn lane_sizes(&self) -> (usize, usize) {
        let busy = self.lanes.values().filter(|lane| !lane.tickets.is_empty());
        (busy.count(), self.eligible.len() + self.ineligible.len())
    }

    fn add_to_lane(&mut self, entry: &QueuedTicket, weight: f64) {
        let customer = entry.ticket.customer;
        let due = (entry.due, entry.key);
        let virtual_time = self.virtual_time;
        let lane = self.lanes.entry(customer).or_insert_with(|| CustomerLane {
            tickets: BTreeSet::new(),
            work: 0,
            tag: virtual_time,
            weight: weight.max(WEIGHT_FLOOR),
            state: LaneState::Idle,
        });
        lane.tag = match lane.state {
            LaneState::Idle => lane.tag.max(virtual_time),
            LaneState::Eligible(_) | LaneState::Ineligible(_) => lane.tag,
        };
        lane.tickets.insert(due);
        lane.work += u64::from(entry.work);
        let work = entry.work;
        self.by_due.insert(due, LaneTicket { customer, work });
        self.update_lane(customer);
    }

    fn remove_from_lane(&mut self, ticket: LaneTicket, due: (QueueTime, TicketKey)) {
        if let Some(lane) = self.lanes.get_mut(&ticket.customer) {
            lane.tickets.remove(&due);
            lane.work -= u64::from(ticket.work);
            self.update_lane(ticket.customer);
        }
    }

    /// Recomputes a lane's state from its tag and its first ticket.
    fn update_lane(&mut self, customer: CustomerId) {
        let eligible_until = self.virtual_time.saturating_add(self.window);
        let Some(lane) = self.lanes.get_mut(&customer) else {
            return;
        };
        let state = match lane.tickets.first() {
            None => LaneState::Idle,
            Some((due, _)) if lane.tag <= eligible_until => LaneState::Eligible(*due),
            Some(_) => LaneState::Ineligible(lane.tag),
        };
        if state == lane.state {
            return;
        }
        match lane.state {
            LaneState::Idle => self.active_weight += lane.weight,
            LaneState::Eligible(due) => {
                self.eligible.remove(&(due, customer));
            }
            LaneState::Ineligible(tag) => {
                self.ineligible.remove(&(tag, customer));
            }
        }
        match state {
            LaneState::Idle => self.active_weight = (self.active_weight - lane.weight).max(0.0),
            LaneState::Eligible(due) => {
                self.eligible.insert((due, customer));
            }
            LaneState::Ineligible(tag) => {
                self.ineligible.insert((tag, customer));
            }
        }
        lane.state = state;
    }

    /// Makes those lanes eligible that the virtual time has caught up with, and at least one lane.
    fn update_eligible_lanes(&mut self) {
        if self.eligible.is_empty()
            && let Some((tag, _)) = self.ineligible.first()
        {
            self.virtual_time = self.virtual_time.max(tag.saturating_sub(self.window));
        }
        let eligible_until = self.virtual_time.saturating_add(self.window);
        while let Some(&(tag, customer)) = self.ineligible.first() {
            if tag > eligible_until {
                return;
            }
            self.update_lane(customer);
        }
    }
}
