//! The choice of a pool's dispatcher by weighted rendezvous hashing.
//!
//! Every entry VM ranks the live instances by the same score. Entry VMs that see the same instances
//! therefore agree on the dispatcher without any message, and the change of one instance moves only
//! the pools that it loses or gains. The score `-weight / ln(u)` with `u` uniform in (0, 1) gives
//! each instance pools in proportion to its weight (Schindelhauer and Schomaker, "Weighted
//! Distributed Hash Tables", 2005).

use oleander_base::prelude::*;

/// An instance that may become a dispatcher, with its weight.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DispatcherCandidate {
    /// The instance.
    pub instance: InstanceId,
    /// Its weight relative to the others; an instance of weight 0 is never chosen.
    pub weight: f64,
}

/// Returns the dispatcher of a pool, or none if no instance has a positive weight.
pub fn choose_dispatcher(pool: PoolId, candidates: &[DispatcherCandidate]) -> Option<InstanceId> {
    candidates
        .iter()
        .filter(|candidate| candidate.weight > 0.0)
        .map(|candidate| (score(pool, candidate), candidate.instance))
        .max_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1)))
        .map(|(_, instance)| instance)
}

fn score(pool: PoolId, candidate: &DispatcherCandidate) -> f64 {
    let uniform = unit_interval(mix(pool, candidate.instance));
    -candidate.weight / uniform.ln()
}

/// Hashes with fixed constants, because processes of different builds must agree.
fn mix(pool: PoolId, instance: InstanceId) -> u64 {
    let key = (u64::from(pool.centre.0) << 32) | u64::from(pool.model.0);
    let mut state = splitmix64(key);
    state = splitmix64(state ^ instance.incarnation);
    state = splitmix64(state ^ u64::from(instance.address.port()));
    match instance.address.ip() {
        std::net::IpAddr::V4(ip) => splitmix64(state ^ u64::from(u32::from(ip))),
        std::net::IpAddr::V6(ip) => {
            let bits = u128::from(ip);
            splitmix64(splitmix64(state ^ (bits >> 64) as u64) ^ bits as u64)
        }
    }
}

/// Hashes a value with the finaliser of SplitMix64.
pub fn splitmix64(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Maps a hash into the open interval (0, 1).
pub(crate) fn unit_interval(hash: u64) -> f64 {
    ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}
