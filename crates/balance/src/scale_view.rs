//! The backend servers of a service by data centre and their load, from which their number is planned.

use std::sync::Arc;

use oleander_base::FastMap;
use oleander_base::prelude::*;

use crate::fleet_table::{BackendPhase, FleetMember, FleetTable};

/// The share of its time that a backend server may read prompts before it counts as full. Its streams
/// then get the rest of its time, and so a fifth of their usual pace.
const FULL_READ_SHARE: f64 = 0.8;

/// The age of the last load report from which a backend server is taken to have no requests of other
/// gateways: each answer brings a report, and gossip takes a few seconds to spread it in a large fleet.
const IDLE_AFTER: Span = Span::from_secs(10);

/// The number of backend servers, of all services, up to which gossip tells of all that have requests within
/// [`IDLE_AFTER`]: a gateway gets about 6 messages with 50 reports a second, 3,000 reports in 10 s.
const GOSSIP_COVERAGE: usize = 500;

/// The backend servers of one kind in one data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct KindCount {
    /// Those that take requests.
    pub serving: u32,
    /// Those that are registered and do not drain, whether or not they can be reached.
    pub present: u32,
    /// Those that drain.
    pub draining: u32,
}

/// A service's backend servers in one data centre.
#[derive(Debug, Clone, PartialEq)]
pub struct CentreView {
    /// The data centre.
    pub centre: Arc<str>,
    /// The backend servers that stay until they are given back.
    pub normal: KindCount,
    /// The backend servers that the operator may take away at short notice.
    pub preemptible: KindCount,
    /// The requests that run or wait there.
    pub load: f64,
    /// Whether a backend server there has reported its load lately, here or at another gateway.
    pub is_heard: bool,
}

/// A service's backend servers.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ServiceView {
    /// Its data centres, in the order of their names.
    pub centres: Vec<CentreView>,
    /// The mean number of slots of a backend server, 0 if there is none.
    pub slots: f64,
    /// The requests of this gateway that run or wait.
    pub own_running: f64,
}

impl ServiceView {
    /// Returns the requests that run or wait.
    pub fn load(&self) -> f64 {
        self.centres.iter().map(|view| view.load).sum()
    }

    /// Raises the load to the requests of as many full backend servers as the reading of prompts needs, if that
    /// is more than the requests that run or wait; `busy` backend servers are busy with reading all the time.
    pub fn count_reading(&mut self, busy: f64) {
        let load = self.load();
        let reading = busy / FULL_READ_SHARE * self.slots;
        if load <= 0.0 || reading <= load {
            return;
        }
        for view in &mut self.centres {
            view.load *= reading / load;
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct MemberLoad {
    /// The requests known to be there.
    known: f64,
    /// Whether other gateways may have requests there that are not known.
    is_partial: bool,
}

impl CentreView {
    /// Returns the view of a data centre without backend servers.
    pub fn empty(centre: Arc<str>) -> Self {
        Self {
            centre,
            normal: KindCount::default(),
            preemptible: KindCount::default(),
            load: 0.0,
            is_heard: false,
        }
    }

    fn count_mut(&mut self, is_preemptible: bool) -> &mut KindCount {
        if is_preemptible {
            &mut self.preemptible
        } else {
            &mut self.normal
        }
    }

    fn add(&mut self, member: &FleetMember, now: MonoTime) {
        let is_draining = is_draining(member);
        let is_serving = takes_requests(member, now);
        let count = self.count_mut(member.entry.is_preemptible);
        count.draining += u32::from(is_draining);
        count.present += u32::from(!is_draining);
        count.serving += u32::from(is_serving);
        self.is_heard |= member.state.has_report(now);
    }
}

/// Returns a service's backend servers by data centre.
pub fn view_service(fleet: &FleetTable, service: &str, now: MonoTime) -> ServiceView {
    let keys = fleet.service_keys(service).iter();
    let members: Vec<&FleetMember> = keys.filter_map(|key| fleet.get(*key)).collect();
    if members.is_empty() {
        return ServiceView::default();
    }
    let assumed = mean_report(&members, now);
    let is_covered = fleet.members().count() <= GOSSIP_COVERAGE;
    let mut by_centre: FastMap<&Arc<str>, CentreView> = FastMap::default();
    for member in &members {
        let centre = &member.entry.centre;
        let view = by_centre
            .entry(centre)
            .or_insert_with(|| CentreView::empty(Arc::clone(centre)));
        view.add(member, now);
        let load = member_load(member, is_covered, now);
        view.load += if load.is_partial {
            load.known.max(assumed)
        } else {
            load.known
        };
    }
    let slots = members.iter().map(|member| member.state.usable_slots());
    let own = members.iter().map(|member| member.state.own_running);
    let own_running = own.map(f64::from).sum();
    let mut centres: Vec<CentreView> = by_centre.into_values().collect();
    centres.sort_unstable_by(|a, b| a.centre.cmp(&b.centre));
    ServiceView {
        centres,
        slots: slots.map(f64::from).sum::<f64>() / members.len() as f64,
        own_running,
    }
}

/// Returns the mean load of the backend servers that have a valid report.
///
/// It is assumed for those whose report has just expired. They usually have less, because each answer would
/// have brought a report, but a load that is missed would give back backend servers that are needed.
fn mean_report(members: &[&FleetMember], now: MonoTime) -> f64 {
    let reported = members.iter().filter(|member| member.state.has_report(now));
    let (count, sum) = reported.fold((0.0, 0.0), |(count, sum), member| {
        (count + 1.0, sum + member.state.running(0.0, now))
    });
    if count > 0.0 { sum / count } else { 0.0 }
}

fn member_load(member: &FleetMember, is_covered: bool, now: MonoTime) -> MemberLoad {
    let is_idle = is_covered && member.state.fresh_report(IDLE_AFTER, now).is_none();
    let is_unknown = !member.state.has_report(now) && !is_idle;
    MemberLoad {
        known: member.state.running(0.0, now),
        is_partial: is_unknown && takes_requests(member, now),
    }
}

fn is_draining(member: &FleetMember) -> bool {
    member.entry.phase == BackendPhase::Draining || member.state.is_leaving()
}

fn takes_requests(member: &FleetMember, now: MonoTime) -> bool {
    let is_reachable = member.lapsed_at.is_none() && member.state.down_since(now).is_none();
    is_reachable && !is_draining(member)
}
