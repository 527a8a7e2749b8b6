//! Applies changes of records and members to roles, tickets and slots.
//!
//! First the view is replaced as a whole; then pools are taken over or dropped, and tickets and
//! held slots are reassigned to the pools' new dispatchers.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use oleander_base::monotonic_now;
use oleander_base::prelude::*;
use oleander_records::RecordSet;

use crate::node::{EntryNode, ViewInputs};
use crate::view::{FleetMember, FleetView};

impl EntryNode {
    /// Puts a new set of records into force.
    pub fn set_records(&self, records: Arc<RecordSet>) {
        self.rebuild(|_| {}, Some(records));
    }

    /// Applies a new membership.
    pub fn set_members(&self, members: Vec<FleetMember>) {
        self.rebuild(|inputs| inputs.members = members, None);
    }

    /// Applies the set of backend servers that the platform's VM list calls leaving.
    pub fn set_listed_leaving(&self, leaving: FastSet<BackendId>) {
        self.rebuild(|inputs| inputs.listed_leaving = leaving, None);
    }

    /// Replaces the view, then updates pools, tickets and slots to match it.
    fn rebuild(&self, change: impl FnOnce(&mut ViewInputs), records: Option<Arc<RecordSet>>) {
        let mut inputs = self.inputs.lock();
        change(&mut inputs);
        let old = self.view.load_full();
        let records = records.unwrap_or_else(|| Arc::clone(&old.records));
        let new = Arc::new(FleetView::new(
            records,
            inputs.members.clone(),
            &inputs.listed_leaving,
        ));
        self.view.store(Arc::clone(&new));
        let now = monotonic_now();
        self.update_pools(&new, now);
        self.reassign_tickets(&old, &new, now);
        self.drop_members(&old, &new, now);
    }

    /// Takes over and drops pools, and updates the pools that stay.
    fn update_pools(&self, view: &FleetView, now: MonoTime) {
        for id in self.dispatchers.ids() {
            let mine = view
                .pool(id)
                .is_some_and(|route| route.dispatcher == Some(self.me));
            if !mine && self.dispatchers.drop_pool(id) {
                self.changes.record(
                    format!("pool {id} is dispatched elsewhere now"),
                    "the live entry VMs changed",
                );
            }
        }
        let mine = view
            .pools()
            .filter(|route| route.dispatcher == Some(self.me));
        for id in mine.map(|route| route.pool) {
            let Some(pool_view) = view.pool_view(id) else {
                continue;
            };
            if self.dispatchers.take_over(id, &pool_view, now) {
                self.changes.record(
                    format!("pool {id} is dispatched here now"),
                    "the live entry VMs changed",
                );
            } else {
                self.deliver(self.dispatchers.set_view(id, &pool_view, now));
            }
        }
    }

    /// Offers pending tickets and reports held slots to new dispatchers.
    fn reassign_tickets(&self, old: &FleetView, new: &FleetView, now: MonoTime) {
        for id in self.tickets.pools() {
            let Some(dispatcher) = new.pool(id).and_then(|route| route.dispatcher) else {
                continue;
            };
            let before = old.pool(id).and_then(|route| route.dispatcher);
            if before != Some(dispatcher) {
                self.send_held(dispatcher, self.tickets.held_in(id, now), now);
            }
            let tickets = self.tickets.repoint(id, dispatcher, now);
            if !tickets.is_empty() {
                let count = tickets.len() as u64;
                self.counters
                    .process
                    .repointed
                    .fetch_add(count, Ordering::Relaxed);
                self.send_offer(dispatcher, tickets, now);
            }
        }
    }

    /// Removes members that are gone from the pools that are dispatched here.
    fn drop_members(&self, old: &FleetView, new: &FleetView, now: MonoTime) {
        let is_kept = |instance: InstanceId| new.members.iter().any(|m| m.instance == instance);
        for member in old
            .members
            .iter()
            .filter(|member| !is_kept(member.instance))
        {
            self.deliver(self.dispatchers.instance_gone(member.instance, now));
        }
    }

    /// Drops every pool that is dispatched here, then takes over the pools that still belong here;
    /// these are rebuilt from the tickets and slots that the entry VMs hold.
    ///
    /// A process that was paused calls this, since other VMs may have taken over its pools.
    pub fn drop_all_pools(&self) {
        for id in self.dispatchers.ids() {
            self.dispatchers.drop_pool(id);
        }
        self.rebuild(|_| {}, None);
    }
}
