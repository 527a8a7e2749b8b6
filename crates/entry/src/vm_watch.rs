//! Reads the platform's VM list on behalf of all entry VMs of a data centre.
//!
//! The list lags, so it only adds entry VMs to look for and marks VMs as leaving; it never removes
//! a VM that answers. The readers of the records also read the list, and the backend servers that
//! it calls leaving are sent along with the records' digests.

use std::sync::Arc;
use std::time::Duration;

use oleander_peer::{ListedVm, PeerEndpoint};
use oleander_platform::{VmEntry, VmList, VmState};

use crate::node::EntryNode;
use crate::record_sync::RecordSync;

/// Interval between reads of the list.
const LIST_PERIOD: Duration = Duration::from_millis(1_000);

/// Reads the list while this VM is a reader, for as long as the process runs.
pub(crate) async fn run_vm_watch(
    list: Arc<dyn VmList>,
    record_sync: Arc<RecordSync>,
    node: Arc<EntryNode>,
    peers: PeerEndpoint,
) {
    loop {
        tokio::time::sleep(LIST_PERIOD).await;
        if !record_sync.is_reader() {
            continue;
        }
        match list.read().await {
            Ok(entries) => apply_list(&entries, &record_sync, &node, &peers),
            Err(error) => log::debug!("cannot read the VM list: {error}"),
        }
    }
}

fn apply_list(
    entries: &[VmEntry],
    record_sync: &RecordSync,
    node: &EntryNode,
    peers: &PeerEndpoint,
) {
    let view = node.view();
    let leaving: Vec<&VmEntry> = entries
        .iter()
        .filter(|vm| vm.state == VmState::Leaving)
        .collect();
    let is_listed = |address: std::net::SocketAddr| {
        leaving.iter().any(|vm| {
            vm.address == address.ip() && vm.port.is_none_or(|port| port == address.port())
        })
    };
    let backends = view
        .records
        .backends
        .iter()
        .filter(|(_, record)| is_listed(record.address));
    record_sync.on_listed_leaving(backends.map(|(backend, _)| *backend).collect());
    let is_backend = |vm: &VmEntry| {
        let mut records = view.records.backends.values();
        vm.port.is_some()
            && records.any(|record| {
                Some(record.address.port()) == vm.port && record.address.ip() == vm.address
            })
    };
    let listed: Vec<ListedVm> = entries
        .iter()
        .filter(|vm| !is_backend(vm))
        .map(|vm| ListedVm {
            address: vm.address,
            port: vm.port,
            leaving: vm.state == VmState::Leaving,
        })
        .collect();
    peers.observe_vm_list(&listed);
}
