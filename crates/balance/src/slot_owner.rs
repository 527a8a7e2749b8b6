//! Which gateways own the slots of a brittle backend server.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A gateway that may own slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerCandidate<'a> {
    /// Its name.
    pub name: &'a str,
    /// How much it can pass on; see [`crate::passing_capacity`].
    pub capacity: u32,
}

impl OwnerCandidate<'_> {
    /// Returns its rank for a backend server; the smallest is the first. By weighted rendezvous hashing,
    /// gateways own slots in proportion to their capacity.
    fn rank(&self, backend: u64) -> f64 {
        let hash = xxh3_64_with_seed(self.name.as_bytes(), backend);
        let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        -uniform.ln() / f64::from(1_u32 << self.capacity.min(31))
    }
}

/// Returns the first owner of a backend server's slots and the standby one, as far as there are so many
/// gateways; `backend` is the hash of the backend server's id.
pub fn slot_owners<'a>(
    candidates: impl Iterator<Item = OwnerCandidate<'a>>,
    backend: u64,
) -> [Option<&'a str>; 2] {
    let mut owners: [Option<(f64, &'a str)>; 2] = [None, None];
    for candidate in candidates {
        let ranked = (candidate.rank(backend), candidate.name);
        let place = owners
            .iter()
            .position(|owner| owner.is_none_or(|owner| ranked < owner));
        match place {
            Some(0) => owners = [Some(ranked), owners[0]],
            Some(_) => owners[1] = Some(ranked),
            None => {}
        }
    }
    owners.map(|owner| owner.map(|(_, name)| name))
}
