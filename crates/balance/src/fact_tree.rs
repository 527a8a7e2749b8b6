//! From whom each gateway gets the facts of the key-value store.
//!
//! One gateway reads the store for the fleet. It passes what changed on to one gateway of each data
//! centre, its head, and below a head the gateways of the data centre form a tree in which none has
//! more than a few children. So the calls of the store do not grow with the fleet, and neither do the
//! bytes that one gateway sends. Every gateway computes the tree by itself from the announcements;
//! as long as those differ, a few gateways may read the store at the same time, which is allowed. The places near the root go to the
//! gateways with the most capacity (docs/PLATFORM.md, "Between gateways").

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64;

/// The number of gateways that one gateway passes facts on to within its data centre.
pub const TREE_CHILDREN: usize = 4;

/// The processor share that counts as one unit of capacity, in cores.
const CAPACITY_CORES: f64 = 0.05;

/// The link rate that counts as one unit of capacity, in Mbit/s.
const CAPACITY_MBPS: f64 = 5.0;

/// A gateway that has a place in the tree.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TreeMember<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its data centre.
    pub centre: &'a str,
    /// How much it can pass on; see [`passing_capacity`].
    pub capacity: u32,
}

impl TreeMember<'_> {
    fn order(&self) -> (Reverse<u32>, u64, &str) {
        (
            Reverse(self.capacity),
            xxh3_64(self.name.as_bytes()),
            self.name,
        )
    }
}

/// Returns how much a gateway can pass on, in powers of two of its scarcer resource, so that similar
/// machines count as equal and share the work by the hash of their names.
pub fn passing_capacity(cores: Option<f64>, link_mbps: Option<f64>) -> u32 {
    let cores = cores.map_or(f64::MAX, |cores| cores / CAPACITY_CORES);
    let link = link_mbps.map_or(f64::MAX, |mbps| mbps / CAPACITY_MBPS);
    let units = cores.min(link).clamp(1.0, f64::from(u16::MAX));
    (units as u32).ilog2()
}

/// Returns the names of the gateways that a gateway queries for facts: the first one, and the one in its
/// place if the first fails. The gateway that reads the store for the fleet has none.
pub fn fact_sources<'a>(members: &[TreeMember<'a>], own: TreeMember<'a>) -> Vec<&'a str> {
    let mut ranked: Vec<TreeMember<'a>> = members.to_vec();
    ranked.retain(|member| member.name != own.name);
    ranked.push(own);
    ranked.sort_unstable_by(|a, b| a.order().cmp(&b.order()));
    let reader = ranked[0];
    if reader.name == own.name {
        return Vec::new();
    }
    let near: Vec<&TreeMember<'a>> = ranked
        .iter()
        .filter(|member| member.centre == own.centre)
        .collect();
    let rank = near.iter().position(|member| member.name == own.name);
    let parent = rank.and_then(|rank| Some(near[rank.checked_sub(1)? / TREE_CHILDREN]));
    let candidates = [
        parent,
        near.first().copied(),
        Some(&reader),
        substitute(&ranked),
    ];
    let mut sources: Vec<&str> = Vec::with_capacity(2);
    for candidate in candidates.into_iter().flatten() {
        let is_new = candidate.name != own.name && !sources.contains(&candidate.name);
        if is_new && sources.len() < 2 {
            sources.push(candidate.name);
        }
    }
    sources
}

/// Returns the gateway that reads the store if the first one fails, in another data centre than that one if
/// there is another.
fn substitute<'m, 'a>(ranked: &'m [TreeMember<'a>]) -> Option<&'m TreeMember<'a>> {
    let is_far = |member: &&TreeMember<'_>| member.centre != ranked[0].centre;
    ranked.iter().find(is_far).or_else(|| ranked.get(1))
}
