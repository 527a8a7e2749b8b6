//! Tests of the choice of a pool's dispatcher.

use std::net::{Ipv4Addr, SocketAddr};

use oleander_base::prelude::*;
use oleander_decide::{DispatcherCandidate, choose_dispatcher};

fn candidate(number: u8, weight: f64) -> DispatcherCandidate {
    let address = SocketAddr::from((Ipv4Addr::new(10, 0, 0, number), 4400));
    let instance = InstanceId {
        address,
        incarnation: u64::from(number) * 77,
    };
    DispatcherCandidate { instance, weight }
}

fn pool(number: u32) -> PoolId {
    PoolId {
        centre: CentreId(number / 8),
        model: ModelId(number % 8),
    }
}

#[test]
fn pools_are_spread_by_weight() {
    let candidates = [candidate(1, 1.0), candidate(2, 1.0), candidate(3, 2.0)];
    let mut counts = [0u32; 3];
    for number in 0..4_000 {
        let chosen = choose_dispatcher(pool(number), &candidates).unwrap();
        let index = candidates.iter().position(|c| c.instance == chosen);
        counts[index.unwrap()] += 1;
    }
    assert!((900..1_100).contains(&counts[0]), "{counts:?}");
    assert!((900..1_100).contains(&counts[1]), "{counts:?}");
    assert!((1_850..2_150).contains(&counts[2]), "{counts:?}");
}

#[test]
fn a_lost_instance_moves_only_its_own_pools() {
    let before = [candidate(1, 1.0), candidate(2, 1.0), candidate(3, 1.0)];
    let after = [before[0], before[2]];
    for number in 0..1_000 {
        let old = choose_dispatcher(pool(number), &before).unwrap();
        let new = choose_dispatcher(pool(number), &after).unwrap();
        assert!(old == new || old == before[1].instance);
    }
}

#[test]
fn no_instance_is_chosen_without_weight() {
    assert_eq!(choose_dispatcher(pool(1), &[candidate(1, 0.0)]), None);
    assert_eq!(choose_dispatcher(pool(1), &[]), None);
}
