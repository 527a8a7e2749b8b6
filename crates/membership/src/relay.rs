//! The choice of relays, the members of a data centre that probe other data centres.
//!
//! Relays are chosen by weighted rendezvous hashing, so that all members make the same choice
//! without coordination, larger VMs are chosen more often, and a membership change moves few roles.

use oleander_base::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::claim::Claim;

/// Returns the `count` highest-ranked members of `claims`, the highest first. Members that accept
/// new work rank above all others.
pub(crate) fn choose_relays<'a>(
    claims: impl Iterator<Item = &'a Claim>,
    count: usize,
) -> Vec<InstanceId> {
    let mut ranked: Vec<_> = claims
        .map(|claim| (claim.takes_work(), score(claim), claim.instance))
        .collect();
    ranked.sort_by(|a, b| {
        let by_work = b.0.cmp(&a.0);
        by_work.then(b.1.total_cmp(&a.1)).then(a.2.cmp(&b.2))
    });
    ranked.truncate(count);
    ranked
        .into_iter()
        .map(|(_, _, instance)| instance)
        .collect()
}

fn score(claim: &Claim) -> f64 {
    let key = claim.instance.incarnation.to_le_bytes();
    let hash = xxh3_64_with_seed(&key, claim.centre.0.into());
    let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    f64::from(claim.weight.max(1)) / -uniform.ln()
}
