//! The records in force at this entry VM.

use std::sync::Arc;

use bytes::Bytes;
use oleander_base::prelude::*;
use oleander_operator::{ChangeRefusal, FaultLine, RecordChange, RecordLine};
use oleander_peer::PeerEndpoint;
use oleander_records::RecordSet;

use crate::node::EntryNode;

/// Interim.
pub struct RecordFeed {
    node: Arc<EntryNode>,
    peers: PeerEndpoint,
}

impl RecordFeed {
    /// Interim.
    pub fn new(node: Arc<EntryNode>, peers: PeerEndpoint) -> Self {
        Self { node, peers }
    }
    /// Interim.
    pub fn set(&self, records: RecordSet) {
        self.node.set_records(Arc::new(records));
        self.node.life.enter(crate::life::LifeStage::Ready);
        self.peers.serve();
    }
    /// Interim.
    pub fn on_gossip(&self, _from: InstanceId, _bytes: &[u8]) {}
    /// Interim.
    pub fn delta_after(&self, _after: &[u8]) -> Bytes {
        Bytes::new()
    }
    /// Interim.
    pub fn snapshot(&self) -> Bytes {
        Bytes::new()
    }
    /// Interim.
    pub fn faults(&self) -> Vec<FaultLine> {
        Vec::new()
    }
    /// Interim.
    pub fn dump(&self) -> String {
        String::new()
    }
    /// Interim.
    pub fn lines(&self) -> Vec<RecordLine> {
        Vec::new()
    }
    /// Interim.
    pub fn check(&self, _change: &RecordChange) -> Result<(), ChangeRefusal> {
        Ok(())
    }
    /// Interim.
    pub async fn change(&self, _change: RecordChange) -> Result<u64, ChangeRefusal> {
        Ok(0)
    }
}
