//! Convergence and failure detection of the membership protocol under seeded network faults.

mod common;

use common::{NetworkFaults, SimFleet};
use oleander_base::prelude::*;
use oleander_membership::{
    Claim, Health, ListedVm, MemberState, Membership, MembershipSettings, Phase, SelfDescription,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const MAX_WAIT: Span = Span::from_secs(300);

fn converge(fleet: &mut SimFleet, what: &str) -> Span {
    fleet
        .run_until(MAX_WAIT, SimFleet::has_converged)
        .unwrap_or_else(|| panic!("{what}: not converged\n{}", fleet.dump()))
}

fn wait_for_state(fleet: &mut SimFleet, target: usize, state: MemberState) -> Span {
    fleet
        .run_until(MAX_WAIT, |fleet| fleet.all_see(target, state))
        .unwrap_or_else(|| panic!("{target} is not seen as {state}\n{}", fleet.dump()))
}

#[test]
fn a_fleet_joins_through_one_seed() {
    let mut fleet = SimFleet::new(1);
    fleet.start_fleet(&["a", "b", "c"], 5);
    converge(&mut fleet, "start");
    for node in &fleet.nodes {
        let view = node.membership.view();
        assert_eq!(view.centres.len(), 3);
        assert!(view.centres.values().all(|c| c.visible && c.live == 5));
        assert!(node.membership.has_joined());
    }
}

#[test]
fn a_failed_member_is_gone_within_seconds_and_stays_gone() {
    let mut times = Vec::new();
    for seed in 0..20 {
        let mut fleet = SimFleet::new(seed);
        fleet.start_fleet(&["a"], 8);
        converge(&mut fleet, "start");
        fleet.nodes[3].running = false;
        let first = fleet.run_until(MAX_WAIT, |fleet| fleet.state(0, 3) == MemberState::Gone);
        times.push(first.expect("a dead member goes"));
        wait_for_state(&mut fleet, 3, MemberState::Gone);
        fleet.run(Span::from_secs(20));
        assert!(fleet.all_see(3, MemberState::Gone));
    }
    times.sort_unstable();
    println!("gone after {} (median), {} (largest)", times[10], times[19]);
    assert!(times[10] <= Span::from_secs(3), "median {}", times[10]);
    assert!(times[19] <= Span::from_secs(6), "largest {}", times[19]);
}

#[test]
fn a_leave_is_known_everywhere_at_once_and_can_be_cancelled() {
    let mut fleet = SimFleet::new(7);
    fleet.start_fleet(&["a", "b", "c", "d"], 4);
    converge(&mut fleet, "start");
    let now = fleet.now;
    fleet.nodes[6].membership.leave(now);
    fleet.run_actions(6);
    let took = wait_for_state(&mut fleet, 6, MemberState::Leaving);
    assert!(took <= Span::from_secs(3), "{took}");
    let now = fleet.now;
    fleet.nodes[6].membership.serve(now);
    fleet.run_actions(6);
    wait_for_state(&mut fleet, 6, MemberState::Live);
    let now = fleet.now;
    fleet.nodes[6].membership.depart(now);
    fleet.run_actions(6);
    fleet.nodes[6].running = false;
    let took = wait_for_state(&mut fleet, 6, MemberState::Gone);
    assert!(took <= Span::from_secs(3), "{took}");
}

#[test]
fn data_centres_reconnect_after_a_partition() {
    let mut fleet = SimFleet::new(11);
    fleet.start_fleet(&["a", "b", "c"], 4);
    converge(&mut fleet, "start");
    for node in &mut fleet.nodes[4..8] {
        node.partition = 1;
    }
    for target in 4..8 {
        let cut = fleet.run_until(MAX_WAIT, |fleet| {
            (0..4).all(|observer| fleet.state(observer, target) == MemberState::Unreachable)
                && fleet.state(4, 0) == MemberState::Unreachable
        });
        assert!(cut.is_some(), "not cut off\n{}", fleet.dump());
    }
    fleet.run(Span::from_secs(120));
    for observer in 0..4 {
        assert!((0..4).all(|s| s == observer || fleet.state(observer, s) == MemberState::Live));
        let view = fleet.nodes[observer].membership.view();
        assert!(!view.centres[&CentreId::from_name("b")].visible);
        assert!(view.centres[&CentreId::from_name("c")].visible);
    }
    fleet.nodes.iter_mut().for_each(|node| node.partition = 0);
    let took = converge(&mut fleet, "heal");
    assert!(took <= Span::from_secs(60), "{took}");
}

#[test]
fn a_fleet_of_isolated_members_reconverges() {
    let mut fleet = SimFleet::new(12);
    fleet.start_fleet(&["a", "b"], 4);
    converge(&mut fleet, "start");
    for (partition, node) in fleet.nodes.iter_mut().enumerate() {
        node.partition = partition as u32;
    }
    fleet.run(Span::from_secs(1_200));
    assert_eq!(fleet.state(0, 1), MemberState::Gone);
    let sent = fleet.sent;
    fleet.run(Span::from_secs(10));
    assert!(
        fleet.sent - sent < 8 * 60,
        "{} datagrams",
        fleet.sent - sent
    );
    fleet.nodes.iter_mut().for_each(|node| node.partition = 0);
    converge(&mut fleet, "heal");
}

#[test]
fn a_new_instance_replaces_the_old_one_at_its_address() {
    for seed in 0..10 {
        let mut fleet = SimFleet::new(seed);
        fleet.start_fleet(&["a", "b"], 4);
        converge(&mut fleet, "start");
        fleet.network_faults.delay = 40;
        fleet.run(Span::from_secs(2));
        fleet.network_faults.delay = 0;
        fleet.nodes[2].running = false;
        let new = fleet.start(2, "a", &[0]);
        converge(&mut fleet, "replacement");
        fleet.run(Span::from_secs(30));
        assert!(fleet.all_see(2, MemberState::Gone), "{}", fleet.dump());
        assert!(fleet.all_see(new, MemberState::Live), "{}", fleet.dump());
    }
}

#[test]
fn a_paused_member_resumes_with_a_stale_view_and_returns() {
    let mut fleet = SimFleet::new(21);
    fleet.start_fleet(&["a"], 5);
    converge(&mut fleet, "start");
    fleet.nodes[1].paused = true;
    fleet.run(Span::from_secs(60));
    assert_eq!(fleet.state(0, 1), MemberState::Gone);
    fleet.nodes[1].paused = false;
    let now = fleet.now;
    fleet.nodes[1].membership.tick(now);
    assert!(!fleet.nodes[1].membership.view().is_current());
    fleet.run_actions(1);
    assert_eq!(fleet.nodes[1].resume_count, 1);
    let current = fleet.run_until(MAX_WAIT, |m| m.nodes[1].membership.view().is_current());
    assert!(current.is_some_and(|took| took < Span::from_secs(2)));
    converge(&mut fleet, "return");
    assert_eq!(fleet.nodes[1].resume_count, 1);
}

#[test]
fn a_member_that_runs_late_extends_its_timeouts() {
    let time_to_gone = |late: Span| {
        let mut fleet = SimFleet::new(23);
        fleet.start_fleet(&["a"], 2);
        converge(&mut fleet, "start");
        fleet.nodes[1].running = false;
        for _ in 0..20 {
            fleet.now = fleet.now + late;
            let now = fleet.now;
            fleet.nodes[0].membership.tick(now);
            fleet.run_actions(0);
        }
        let start = fleet.now;
        fleet.run_until(MAX_WAIT, |m| m.state(0, 1) == MemberState::Gone);
        fleet.now.since(start)
    };
    let prompt = time_to_gone(Span::from_millis(50));
    let late = time_to_gone(Span::from_millis(150));
    assert!(late > prompt, "{late} and {prompt}");
    assert!(late < Span::from_secs(30), "{late}");
}

#[test]
fn a_paused_member_without_peers_becomes_current_after_the_stale_timeout() {
    let mut fleet = SimFleet::new(22);
    fleet.start_fleet(&["a"], 3);
    converge(&mut fleet, "start");
    fleet.nodes[1].paused = true;
    fleet.run(Span::from_secs(10));
    fleet.nodes[1].paused = false;
    fleet.nodes[1].partition = 9;
    let now = fleet.now;
    fleet.nodes[1].membership.tick(now);
    assert!(!fleet.nodes[1].membership.view().is_current());
    let took = fleet.run_until(MAX_WAIT, |m| m.nodes[1].membership.view().is_current());
    assert!(took >= Some(Span::from_secs(4)), "{took:?}");
}

#[test]
fn the_vm_list_adds_and_marks_members_but_removes_none() {
    let mut fleet = SimFleet::new(31);
    fleet.start(0, "a", &[]);
    fleet.start(1, "a", &[]);
    fleet.start(2, "a", &[]);
    let vm = |node: u8, leaving| ListedVm {
        address: common::address(node).ip(),
        port: None,
        leaving,
    };
    let now = fleet.now;
    let list = [vm(0, false), vm(1, false), vm(2, false), vm(9, false)];
    fleet.nodes[0].membership.observe_list(&list, now);
    converge(&mut fleet, "list");
    let now = fleet.now;
    fleet.nodes[0].membership.observe_list(&[vm(2, true)], now);
    fleet.run_actions(0);
    let took = wait_for_state(&mut fleet, 2, MemberState::Leaving);
    assert!(took <= Span::from_secs(1), "{took}");
    assert_eq!(fleet.state(2, 2), MemberState::Leaving);
    fleet.run(Span::from_secs(20));
    assert_eq!(fleet.state(0, 1), MemberState::Live);
}

#[test]
fn the_oldest_revision_of_each_data_centre_is_known_everywhere() {
    let mut fleet = SimFleet::new(41);
    fleet.start_fleet(&["a", "b"], 4);
    converge(&mut fleet, "start");
    for index in 0..8 {
        let revision = if index == 5 { Revision(6) } else { Revision(9) };
        let now = fleet.now;
        fleet.nodes[index].membership.set_revision(revision, now);
    }
    let expected = |fleet: &SimFleet, b: u64| {
        fleet.nodes.iter().all(|node| {
            let view = node.membership.view();
            let oldest = |name| view.centres[&CentreId::from_name(name)].oldest_revision;
            oldest("a") == Some(Revision(9)) && oldest("b") == Some(Revision(b))
        })
    };
    let took = fleet.run_until(MAX_WAIT, |fleet| expected(fleet, 6));
    assert!(took.is_some_and(|t| t < Span::from_secs(10)), "{took:?}");
    let now = fleet.now;
    fleet.nodes[5].membership.set_revision(Revision(9), now);
    let took = fleet.run_until(MAX_WAIT, |fleet| expected(fleet, 9));
    assert!(took.is_some_and(|t| t < Span::from_secs(10)), "{took:?}");
}

fn any_claim() -> impl Strategy<Value = Claim> {
    let health = prop_oneof![
        Just(Health::Alive),
        Just(Health::Suspect),
        Just(Health::Gone),
        Just(Health::Final)
    ];
    let phase = prop_oneof![
        Just(Phase::Joining),
        Just(Phase::Live),
        Just(Phase::Leaving)
    ];
    (0..4_u32, phase, health, 0..4_u64).prop_map(|(sequence, phase, health, revision)| Claim {
        instance: InstanceId {
            address: common::address(1),
            incarnation: 5,
        },
        centre: CentreId::from_name("a"),
        sequence,
        phase,
        health,
        weight: 100,
        revision: Revision(revision),
    })
}

/// Returns the parts of a claim that members act on; a final claim has no sequence or phase.
fn canonical_state(claim: &Claim) -> (Health, Option<(u32, Phase)>, Revision) {
    let state = (claim.health != Health::Final).then_some((claim.sequence, claim.phase));
    (claim.health, state, claim.revision)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 32,
        rng_seed: RngSeed::Fixed(6),
        ..ProptestConfig::default()
    })]

    #[test]
    fn after_any_faults_running_members_are_live_and_failed_ones_gone(
        seed in any::<u64>(),
        loss in 0.0..0.5_f64,
        duplication in 0.0..0.5_f64,
        delay in 0..30_u64,
        killed in proptest::collection::btree_set(0..9_usize, 0..4),
        restarted in any::<bool>(),
    ) {
        let mut fleet = SimFleet::new(seed);
        fleet.start_fleet(&["a", "b", "c"], 3);
        fleet.network_faults = NetworkFaults { loss, duplication, delay };
        fleet.run(Span::from_secs(20));
        for index in &killed {
            fleet.nodes[*index].running = false;
            if restarted {
                let number = (index / 3 * 20 + index % 3) as u8;
                let centre = ["a", "b", "c"][index / 3];
                fleet.start(number, centre, &[0, 1, 20]);
            }
        }
        fleet.run(Span::from_secs(20));
        fleet.network_faults = NetworkFaults::default();
        let survivors: Vec<_> = (0..3).filter(|c| {
            fleet.nodes.iter().any(|n| n.running && n.me.centre == CentreId::from_name(["a", "b", "c"][*c]))
        }).collect();
        prop_assume!(survivors.len() == 3);
        converge(&mut fleet, "calm");
        fleet.run(Span::from_secs(10));
        prop_assert!(fleet.has_converged(), "{}", fleet.dump());
    }

    #[test]
    fn claims_join_to_the_same_in_any_order(
        a in any_claim(),
        b in any_claim(),
        c in any_claim(),
    ) {
        prop_assert_eq!(canonical_state(&a.joined(&b)), canonical_state(&b.joined(&a)));
        let left = a.joined(&b).joined(&c);
        let right = a.joined(&b.joined(&c));
        prop_assert_eq!(canonical_state(&left), canonical_state(&right));
        prop_assert_eq!(a.joined(&a), a);
        prop_assert_eq!(left.joined(&b), left);
    }

    #[test]
    fn arbitrary_datagrams_keep_the_invariants(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let description = |number| SelfDescription {
            instance: InstanceId { address: common::address(number), incarnation: 3 },
            centre: CentreId::from_name("a"),
            weight: 1,
        };
        let settings = MembershipSettings::default();
        let mut membership = Membership::new(settings, description(1), Vec::new(), 0, MonoTime(0));
        let mut versioned = vec![1];
        versioned.extend_from_slice(&bytes);
        for datagram in [&bytes, &versioned] {
            membership.receive(description(2).instance, datagram, MonoTime(5));
            membership.tick(MonoTime(10));
            prop_assert!(membership.verify().is_ok(), "{}", membership.dump());
        }
    }
}
