//! The choice of backend servers that show whether a gateway is cut off from all.

use crate::BackendKey;

/// A backend server that may be probed.
#[derive(Debug, Clone, Copy)]
pub struct ProbeCandidate {
    /// The backend server.
    pub key: BackendKey,
    /// Whether it is in the gateway's own data centre.
    pub is_near: bool,
    /// Whether it has failed lately.
    pub has_failed: bool,
    /// A random number that orders equal ones.
    pub order: u64,
}

/// Picks backend servers to probe, those first that have not failed lately.
///
/// Half of them are in the gateway's own data centre, as far as there are any: those are what a gateway
/// reaches whose data centre is cut off from the others. The other half shows an outage of the own
/// data centre.
pub fn pick_probes(mut candidates: Vec<ProbeCandidate>, count: usize) -> Vec<BackendKey> {
    candidates.sort_unstable_by_key(|candidate| (candidate.has_failed, candidate.order));
    let near = candidates.iter().filter(|candidate| candidate.is_near);
    let mut keys: Vec<BackendKey> = near
        .map(|candidate| candidate.key)
        .take(count.div_ceil(2))
        .collect();
    for candidate in &candidates {
        if keys.len() < count && !keys.contains(&candidate.key) {
            keys.push(candidate.key);
        }
    }
    keys
}
