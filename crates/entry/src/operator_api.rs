//! The operators' view of this entry VM, and the changes that they make through it.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use oleander_base::monotonic_now;
use oleander_operator::{
    ApiFuture, ChangeDone, ChangeRefusal, FleetScreen, MetricDescriptor, MetricPoint, OperatorApi,
    RecordChange, RecordLine,
};
use oleander_peer::PeerEndpoint;

use crate::changes::unix_ms;
use crate::metric_table::{METRICS, metric_points};
use crate::node::EntryNode;
use crate::record_sync::RecordSync;
use crate::status::ReceivedStatus;

use crate::screen_builder::ScreenBuilder;

/// Implements the operators' API for one entry VM.
pub(crate) struct EntryOperatorApi {
    node: Arc<EntryNode>,
    records: Arc<RecordSync>,
    peers: PeerEndpoint,
}

impl std::fmt::Debug for EntryOperatorApi {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EntryOperatorApi")
            .field("node", &self.node)
            .finish_non_exhaustive()
    }
}

impl EntryOperatorApi {
    /// Creates the API of a process.
    pub(crate) fn new(node: Arc<EntryNode>, records: Arc<RecordSync>, peers: PeerEndpoint) -> Self {
        Self {
            node,
            records,
            peers,
        }
    }
}

impl OperatorApi for EntryOperatorApi {
    fn screen(&self) -> FleetScreen {
        self.node.statuses.mark_watched();
        let view = self.node.view();
        let seen = self.all_statuses();
        let screen = ScreenBuilder {
            now: monotonic_now(),
            view: &view,
            seen: &seen,
        };
        FleetScreen {
            at_unix_ms: unix_ms(),
            shown_by: self.node.settings.instance.name.clone(),
            revision: self.records.known_revision().0,
            policy: self.node.settings.dispatch.policy.to_string(),
            customers: screen.customers(),
            classes: screen.classes(),
            pools: screen.pools(),
            backends: screen.backends(),
            entries: screen.entries(&self.peers.members()),
            centres: screen.centres(&self.peers.members()),
            stops: screen.stops(),
            faults: self.records.faults(),
            changes: screen.changes(),
        }
    }

    fn dump_text(&self) -> String {
        let now = monotonic_now();
        let node = &self.node;
        let count = node.tickets.count();
        let mut text = format!("instance {} stage {:?}\n", node.me, node.life.stage());
        text.push_str(&format!(
            "tickets pending {} slots held {}\n",
            count.pending, count.held
        ));
        text.push_str(&format!("answers kept {}\n", node.answers.len()));
        text.push_str("\n[members]\n");
        text.push_str(&self.peers.members().dump());
        text.push_str("\n[records]\n");
        text.push_str(&self.records.dump());
        text.push_str("\n[pools]\n");
        text.push_str(&node.dispatchers.dump(now));
        text.push_str("\n[last decisions]\n");
        for entry in node.journal.latest(DUMP_DECISIONS) {
            let line = serde_json::to_string(&entry).unwrap_or_default();
            text.push_str(&line);
            text.push('\n');
        }
        text
    }

    fn dump_json(&self) -> String {
        let status = self.node.own_status();
        let journal = self.node.journal.latest(DUMP_DECISIONS);
        let dump = serde_json::json!({
            "status": status,
            "members": self.peers.members().dump().lines().collect::<Vec<_>>(),
            "records": self.records.lines(),
            "decisions": journal,
        });
        dump.to_string()
    }

    fn journal(&self, after: u64, limit: usize) -> String {
        self.node.journal.lines(after, limit)
    }

    fn metric_descriptors(&self) -> &'static [MetricDescriptor] {
        METRICS
    }

    fn metric_points(&self, name: &str) -> Vec<MetricPoint> {
        metric_points(&self.node, &self.peers, name)
    }

    fn records(&self) -> Vec<RecordLine> {
        self.records.lines()
    }

    fn check(&self, change: RecordChange) -> Result<(), ChangeRefusal> {
        self.records.check(&change)
    }

    fn change(&self, change: RecordChange) -> ApiFuture<Result<ChangeDone, ChangeRefusal>> {
        let records = Arc::clone(&self.records);
        Box::pin(async move { records.change(change).await })
    }
}

/// Number of decisions in a dump.
const DUMP_DECISIONS: usize = 200;

impl EntryOperatorApi {
    fn all_statuses(&self) -> Vec<ReceivedStatus> {
        let mut seen = self.node.statuses.recent();
        seen.retain(|seen| seen.status.instance != self.node.me);
        seen.push(ReceivedStatus {
            status: self.node.own_status(),
            received: monotonic_now(),
        });
        seen
    }
}

/// Reads a process counter as a metric value.
pub(crate) fn read_counter(counter: &std::sync::atomic::AtomicU64) -> f64 {
    counter.load(Ordering::Relaxed) as f64
}
