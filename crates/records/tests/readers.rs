//! Selection of the readers of a data centre and of their substitutes.

mod common;

use std::net::SocketAddr;

use common::seeded;
use oleander_base::prelude::*;
use oleander_records::{ReaderLimits, ReaderRole};
use proptest::prelude::*;

fn instances(count: u16) -> Vec<InstanceId> {
    let instance = |port| InstanceId {
        address: SocketAddr::from(([10, 0, 0, 1], port)),
        incarnation: u64::from(port) * 7,
    };
    (1..=count).map(instance).collect()
}

proptest! {
    #![proptest_config(seeded())]

    #[test]
    fn two_read_and_a_loss_reassigns_only_its_own_role(count in 3..20_u16, lost in 0..20_usize) {
        let live = instances(count);
        let centre = CentreId::from_name("c");
        let role = ReaderRole::choose(centre, &live);
        let mut reversed = live.clone();
        reversed.reverse();
        prop_assert_eq!(&ReaderRole::choose(centre, &reversed), &role);
        prop_assert_eq!(role.readers().len(), 2);
        let lost = live[lost % live.len()];
        let left: Vec<_> = live.iter().copied().filter(|other| *other != lost).collect();
        let after = ReaderRole::choose(centre, &left);
        let kept = role.readers().iter().filter(|reader| **reader != lost);
        for reader in kept {
            prop_assert!(after.readers().contains(reader));
        }
    }

    #[test]
    fn without_contact_all_instances_are_substitutes_one_at_a_time(count in 3..20_u16) {
        let live = instances(count);
        let role = ReaderRole::choose(CentreId::from_name("c"), &live);
        let limits = ReaderLimits::default();
        let readers_after = |last_contact: Span| {
            let reads = |instance: &&InstanceId| role.is_reader(instance, last_contact, &limits);
            live.iter().filter(reads).copied().collect::<Vec<_>>()
        };
        prop_assert_eq!(readers_after(Span::ZERO).len(), 2);
        let mut seen = FastSet::default();
        for turn in 0..u64::from(count) {
            let last_contact = limits.contact_timeout + Span(limits.substitute_turn.0 * turn);
            let readers = readers_after(last_contact);
            prop_assert_eq!(readers.len(), 3);
            seen.extend(readers);
        }
        prop_assert_eq!(seen.len(), live.len());
    }
}

#[test]
fn an_instance_missing_from_the_list_reads_for_itself() {
    let live = instances(3);
    let role = ReaderRole::choose(CentreId::from_name("c"), &live[..2]);
    assert!(role.is_reader(&live[2], Span::ZERO, &ReaderLimits::default()));
}
