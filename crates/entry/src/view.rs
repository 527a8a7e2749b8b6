//! The fleet as one entry VM sees it: records and members, indexed for look-ups.
//!
//! A view is immutable and replaced as a whole whenever a record or a member changes, so that
//! requests read it without a lock and never see a partial change.

use std::net::SocketAddr;
use std::sync::Arc;

use oleander_base::prelude::*;
use oleander_decide::{
    BackendView, ClassView, CustomerView, DispatcherCandidate, PoolKind, choose_dispatcher,
};
use oleander_records::{BackendKind, BackendRecord, RecordSet, StopTarget};

use crate::dispatch::PoolView;

/// A reachable entry VM, reduced to what routing needs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetMember {
    /// The id of the instance.
    pub instance: InstanceId,
    /// Its data centre.
    pub centre: CentreId,
    /// Its weight relative to the other entry VMs.
    pub weight: f64,
    /// Whether it may take roles; a leaving VM may not.
    pub takes_roles: bool,
}

/// The route to a pool that serves a model or a plain service.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolRoute {
    /// The pool.
    pub pool: PoolId,
    /// The kind of its backend servers.
    pub kind: PoolKind,
    /// Its backend servers, ordered by id.
    pub backends: Vec<BackendId>,
    /// The entry VM that dispatches it, if there is one.
    pub dispatcher: Option<InstanceId>,
}

/// The records and members at one point in time.
#[derive(Debug)]
pub struct FleetView {
    /// The records in force.
    pub records: Arc<RecordSet>,
    /// The reachable entry VMs, this one included.
    pub members: Vec<FleetMember>,
    /// Backend servers that must not get new work.
    pub leaving: FastSet<BackendId>,
    pools: FastMap<PoolId, PoolRoute>,
    by_model: FastMap<ModelId, Vec<PoolId>>,
}

impl FleetView {
    /// Builds a view and its indexes.
    pub fn new(
        records: Arc<RecordSet>,
        members: Vec<FleetMember>,
        listed_leaving: &FastSet<BackendId>,
    ) -> Self {
        let mut leaving = listed_leaving.clone();
        leaving.extend(stopped_backends(&records));
        let mut view = Self {
            records,
            members,
            leaving,
            pools: FastMap::default(),
            by_model: FastMap::default(),
        };
        view.add_pools();
        view.choose_dispatchers();
        view
    }

    /// Returns the pools of a model, ordered by data centre.
    pub fn pools_of(&self, model: ModelId) -> &[PoolId] {
        self.by_model.get(&model).map_or(&[], Vec::as_slice)
    }

    /// Returns the route to a pool.
    pub fn pool(&self, id: PoolId) -> Option<&PoolRoute> {
        self.pools.get(&id)
    }

    /// Returns the pools that a backend server belongs to.
    pub fn pools_with(&self, backend: BackendId) -> Vec<PoolId> {
        let Some(record) = self.backend(backend) else {
            return Vec::new();
        };
        let centre = CentreId::from_name(&record.centre);
        let pool = |name: &String| PoolId {
            centre,
            model: ModelId::from_name(name),
        };
        record.serves.iter().map(pool).collect()
    }

    /// Returns the routes to all pools, in no particular order.
    pub fn pools(&self) -> impl Iterator<Item = &PoolRoute> {
        self.pools.values()
    }

    /// Returns the record of a backend server.
    pub fn backend(&self, backend: BackendId) -> Option<&BackendRecord> {
        self.records.backends.get(&backend)
    }

    /// Returns the address of a backend server.
    pub fn address(&self, backend: BackendId) -> Option<SocketAddr> {
        Some(self.backend(backend)?.address)
    }

    /// Returns whether a pool has a backend server that may get new work.
    pub fn has_usable_backend(&self, id: PoolId) -> bool {
        let usable = |route: &PoolRoute| route.backends.iter().any(|b| !self.leaving.contains(b));
        self.pool(id).is_some_and(usable)
    }

    /// Returns whether a planned stop of an entry VM or of its data centre is on record.
    pub fn is_stopping(&self, address: SocketAddr, centre: CentreId) -> bool {
        self.records.stops.values().any(|stop| match &stop.target {
            StopTarget::Entry(stopped) => *stopped == address,
            StopTarget::Centre(name) => CentreId::from_name(name) == centre,
            StopTarget::Backend(_) => false,
        })
    }

    /// Returns the inputs for the policy of a pool.
    pub fn pool_view(&self, id: PoolId) -> Option<PoolView> {
        let route = self.pool(id)?;
        let backends = route
            .backends
            .iter()
            .filter_map(|backend| self.backend_view(*backend));
        let classes = self
            .records
            .classes
            .iter()
            .map(|(class, record)| ClassView {
                class: *class,
                first_token_target: Span::from_millis(record.first_token_target_ms),
                token_gap_target: Span::from_millis(record.token_gap_target_ms),
                minimum_share: record.minimum_share,
            });
        let customers = self
            .records
            .customers
            .iter()
            .map(|(customer, record)| CustomerView {
                customer: *customer,
                weight: record.share,
            });
        Some(PoolView {
            kind: route.kind,
            backends: backends.collect(),
            classes: classes.collect(),
            customers: customers.collect(),
        })
    }

    fn backend_view(&self, backend: BackendId) -> Option<BackendView> {
        let record = self.backend(backend)?;
        Some(BackendView {
            backend,
            slots: record.slots,
            speed: record.speed,
            leaving: self.leaving.contains(&backend),
            reachable: true,
        })
    }

    fn add_pools(&mut self) {
        for (backend, record) in &self.records.backends {
            let centre = CentreId::from_name(&record.centre);
            let kind = match record.kind {
                BackendKind::Engine => PoolKind::Engines,
                BackendKind::Service => PoolKind::Services,
            };
            for name in &record.serves {
                let pool = PoolId {
                    centre,
                    model: ModelId::from_name(name),
                };
                let route = self.pools.entry(pool).or_insert_with(|| PoolRoute {
                    pool,
                    kind,
                    backends: Vec::new(),
                    dispatcher: None,
                });
                route.backends.push(*backend);
            }
        }
        for pool in self.pools.keys() {
            self.by_model.entry(pool.model).or_default().push(*pool);
        }
        for pools in self.by_model.values_mut() {
            pools.sort_unstable();
        }
    }

    fn choose_dispatchers(&mut self) {
        for route in self.pools.values_mut() {
            let centre = route.pool.centre;
            let candidates = candidates(&self.members, centre);
            route.dispatcher = choose_dispatcher(route.pool, &candidates);
        }
    }
}

/// Returns the entry VMs that may dispatch a data centre's pools.
fn candidates(members: &[FleetMember], centre: CentreId) -> Vec<DispatcherCandidate> {
    members
        .iter()
        .filter(|member| member.centre == centre && member.takes_roles)
        .map(|member| DispatcherCandidate {
            instance: member.instance,
            weight: member.weight,
        })
        .collect()
}

fn stopped_backends(records: &RecordSet) -> Vec<BackendId> {
    let mut stopped = Vec::new();
    for stop in records.stops.values() {
        match &stop.target {
            StopTarget::Backend(name) => stopped.push(BackendId::from_name(name)),
            StopTarget::Centre(name) => {
                let inside = records
                    .backends
                    .iter()
                    .filter(|(_, record)| record.centre == *name);
                stopped.extend(inside.map(|(backend, _)| *backend));
            }
            StopTarget::Entry(_) => {}
        }
    }
    stopped
}
