//! The promises of membership, under faults, with seeds.

mod common;

use common::{Faults, Mesh};
use oleander_base::prelude::*;
use oleander_membership::{
    Claim, Health, ListedVm, MemberState, Membership, MembershipSettings, Phase, SelfDescription,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const LONG: Span = Span::from_secs(300);

fn settled(mesh: &mut Mesh, what: &str) -> Span {
    mesh.run_until(LONG, Mesh::is_settled)
        .unwrap_or_else(|| panic!("{what}: not settled\n{}", mesh.dump()))
}

fn reaches(mesh: &mut Mesh, subject: usize, state: MemberState) -> Span {
    mesh.run_until(LONG, |mesh| mesh.all_see(subject, state))
        .unwrap_or_else(|| panic!("{subject} is not seen {state}\n{}", mesh.dump()))
}

#[test]
fn a_fleet_finds_itself_from_one_seed() {
    let mut mesh = Mesh::new(1);
    mesh.start_fleet(&["a", "b", "c"], 5);
    settled(&mut mesh, "start");
    for node in &mesh.nodes {
        let view = node.membership.view();
        assert_eq!(view.centres.len(), 3);
        assert!(view.centres.values().all(|c| c.visible && c.live == 5));
        assert!(node.membership.has_joined());
    }
}

#[test]
fn a_dead_member_is_gone_within_seconds_and_stays_so() {
    let mut times = Vec::new();
    for seed in 0..20 {
        let mut mesh = Mesh::new(seed);
        mesh.start_fleet(&["a"], 8);
        settled(&mut mesh, "start");
        mesh.nodes[3].running = false;
        let first = mesh.run_until(LONG, |mesh| mesh.state(0, 3) == MemberState::Gone);
        times.push(first.expect("a dead member goes"));
        reaches(&mut mesh, 3, MemberState::Gone);
        mesh.run(Span::from_secs(20));
        assert!(mesh.all_see(3, MemberState::Gone));
    }
    times.sort_unstable();
    println!("gone after {} (median), {} (largest)", times[10], times[19]);
    assert!(times[10] <= Span::from_secs(3), "median {}", times[10]);
    assert!(times[19] <= Span::from_secs(6), "largest {}", times[19]);
}

#[test]
fn leaving_is_known_everywhere_at_once_and_can_be_taken_back() {
    let mut mesh = Mesh::new(7);
    mesh.start_fleet(&["a", "b", "c", "d"], 4);
    settled(&mut mesh, "start");
    let now = mesh.now;
    mesh.nodes[6].membership.leave(now);
    mesh.after(6);
    let took = reaches(&mut mesh, 6, MemberState::Leaving);
    assert!(took <= Span::from_secs(3), "{took}");
    let now = mesh.now;
    mesh.nodes[6].membership.serve(now);
    mesh.after(6);
    reaches(&mut mesh, 6, MemberState::Live);
    let now = mesh.now;
    mesh.nodes[6].membership.depart(now);
    mesh.after(6);
    mesh.nodes[6].running = false;
    let took = reaches(&mut mesh, 6, MemberState::Gone);
    assert!(took <= Span::from_secs(3), "{took}");
}

#[test]
fn data_centres_that_lose_each_other_come_back() {
    let mut mesh = Mesh::new(11);
    mesh.start_fleet(&["a", "b", "c"], 4);
    settled(&mut mesh, "start");
    for node in &mut mesh.nodes[4..8] {
        node.group = 1;
    }
    for subject in 4..8 {
        let cut = mesh.run_until(LONG, |mesh| {
            (0..4).all(|viewer| mesh.state(viewer, subject) == MemberState::Unreachable)
                && mesh.state(4, 0) == MemberState::Unreachable
        });
        assert!(cut.is_some(), "not cut off\n{}", mesh.dump());
    }
    mesh.run(Span::from_secs(120));
    for viewer in 0..4 {
        assert!((0..4).all(|s| s == viewer || mesh.state(viewer, s) == MemberState::Live));
        let view = mesh.nodes[viewer].membership.view();
        assert!(!view.centres[&CentreId::from_name("b")].visible);
        assert!(view.centres[&CentreId::from_name("c")].visible);
    }
    mesh.nodes.iter_mut().for_each(|node| node.group = 0);
    let took = settled(&mut mesh, "heal");
    assert!(took <= Span::from_secs(60), "{took}");
}

#[test]
fn a_fleet_cut_into_single_members_finds_itself_again() {
    let mut mesh = Mesh::new(12);
    mesh.start_fleet(&["a", "b"], 4);
    settled(&mut mesh, "start");
    for (group, node) in mesh.nodes.iter_mut().enumerate() {
        node.group = group as u32;
    }
    mesh.run(Span::from_secs(1_200));
    assert_eq!(mesh.state(0, 1), MemberState::Gone);
    let sent = mesh.sent;
    mesh.run(Span::from_secs(10));
    assert!(mesh.sent - sent < 8 * 60, "{} datagrams", mesh.sent - sent);
    mesh.nodes.iter_mut().for_each(|node| node.group = 0);
    settled(&mut mesh, "heal");
}

#[test]
fn an_address_belongs_to_its_new_instance() {
    for seed in 0..10 {
        let mut mesh = Mesh::new(seed);
        mesh.start_fleet(&["a", "b"], 4);
        settled(&mut mesh, "start");
        mesh.faults.delay = 40;
        mesh.run(Span::from_secs(2));
        mesh.faults.delay = 0;
        mesh.nodes[2].running = false;
        let new = mesh.start(2, "a", &[0]);
        settled(&mut mesh, "replacement");
        mesh.run(Span::from_secs(30));
        assert!(mesh.all_see(2, MemberState::Gone), "{}", mesh.dump());
        assert!(mesh.all_see(new, MemberState::Live), "{}", mesh.dump());
    }
}

#[test]
fn a_paused_member_wakes_up_stale_and_returns() {
    let mut mesh = Mesh::new(21);
    mesh.start_fleet(&["a"], 5);
    settled(&mut mesh, "start");
    mesh.nodes[1].paused = true;
    mesh.run(Span::from_secs(60));
    assert_eq!(mesh.state(0, 1), MemberState::Gone);
    mesh.nodes[1].paused = false;
    let now = mesh.now;
    mesh.nodes[1].membership.tick(now);
    assert!(!mesh.nodes[1].membership.view().is_current());
    mesh.after(1);
    assert_eq!(mesh.nodes[1].resumes, 1);
    let current = mesh.run_until(LONG, |m| m.nodes[1].membership.view().is_current());
    assert!(current.is_some_and(|took| took < Span::from_secs(2)));
    settled(&mut mesh, "return");
    assert_eq!(mesh.nodes[1].resumes, 1);
}

#[test]
fn a_member_that_runs_late_gives_others_more_time() {
    let suspected_after = |late: Span| {
        let mut mesh = Mesh::new(23);
        mesh.start_fleet(&["a"], 2);
        settled(&mut mesh, "start");
        mesh.nodes[1].running = false;
        for _ in 0..20 {
            mesh.now = mesh.now + late;
            let now = mesh.now;
            mesh.nodes[0].membership.tick(now);
            mesh.after(0);
        }
        let start = mesh.now;
        mesh.run_until(LONG, |m| m.state(0, 1) == MemberState::Gone);
        mesh.now.since(start)
    };
    let prompt = suspected_after(Span::from_millis(50));
    let late = suspected_after(Span::from_millis(150));
    assert!(late > prompt, "{late} and {prompt}");
    assert!(late < Span::from_secs(30), "{late}");
}

#[test]
fn a_paused_member_that_hears_nobody_goes_on_alone_after_a_bound() {
    let mut mesh = Mesh::new(22);
    mesh.start_fleet(&["a"], 3);
    settled(&mut mesh, "start");
    mesh.nodes[1].paused = true;
    mesh.run(Span::from_secs(10));
    mesh.nodes[1].paused = false;
    mesh.nodes[1].group = 9;
    let now = mesh.now;
    mesh.nodes[1].membership.tick(now);
    assert!(!mesh.nodes[1].membership.view().is_current());
    let took = mesh.run_until(LONG, |m| m.nodes[1].membership.view().is_current());
    assert!(took >= Some(Span::from_secs(4)), "{took:?}");
}

#[test]
fn the_list_adds_and_marks_but_does_not_kill() {
    let mut mesh = Mesh::new(31);
    mesh.start(0, "a", &[]);
    mesh.start(1, "a", &[]);
    mesh.start(2, "a", &[]);
    let vm = |node: u8, leaving| ListedVm {
        address: common::address(node).ip(),
        port: None,
        leaving,
    };
    let now = mesh.now;
    let list = [vm(0, false), vm(1, false), vm(2, false), vm(9, false)];
    mesh.nodes[0].membership.observe_list(&list, now);
    settled(&mut mesh, "list");
    let now = mesh.now;
    mesh.nodes[0].membership.observe_list(&[vm(2, true)], now);
    mesh.after(0);
    let took = reaches(&mut mesh, 2, MemberState::Leaving);
    assert!(took <= Span::from_secs(1), "{took}");
    assert_eq!(mesh.state(2, 2), MemberState::Leaving);
    mesh.run(Span::from_secs(20));
    assert_eq!(mesh.state(0, 1), MemberState::Live);
}

#[test]
fn the_oldest_revision_of_each_data_centre_is_known_everywhere() {
    let mut mesh = Mesh::new(41);
    mesh.start_fleet(&["a", "b"], 4);
    settled(&mut mesh, "start");
    for index in 0..8 {
        let revision = if index == 5 { Revision(6) } else { Revision(9) };
        let now = mesh.now;
        mesh.nodes[index].membership.set_revision(revision, now);
    }
    let expected = |mesh: &Mesh, b: u64| {
        mesh.nodes.iter().all(|node| {
            let view = node.membership.view();
            let oldest = |name| view.centres[&CentreId::from_name(name)].oldest_revision;
            oldest("a") == Some(Revision(9)) && oldest("b") == Some(Revision(b))
        })
    };
    let took = mesh.run_until(LONG, |mesh| expected(mesh, 6));
    assert!(took.is_some_and(|t| t < Span::from_secs(10)), "{took:?}");
    let now = mesh.now;
    mesh.nodes[5].membership.set_revision(Revision(9), now);
    let took = mesh.run_until(LONG, |mesh| expected(mesh, 9));
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

/// What members act on; a claim that is final has no further state.
fn meaning(claim: &Claim) -> (Health, Option<(u32, Phase)>, Revision) {
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
    fn after_any_faults_the_running_are_live_and_the_dead_are_gone(
        seed in any::<u64>(),
        loss in 0.0..0.5_f64,
        duplication in 0.0..0.5_f64,
        delay in 0..30_u64,
        kills in proptest::collection::btree_set(0..9_usize, 0..4),
        restarted in any::<bool>(),
    ) {
        let mut mesh = Mesh::new(seed);
        mesh.start_fleet(&["a", "b", "c"], 3);
        mesh.faults = Faults { loss, duplication, delay };
        mesh.run(Span::from_secs(20));
        for index in &kills {
            mesh.nodes[*index].running = false;
            if restarted {
                let number = (index / 3 * 20 + index % 3) as u8;
                let centre = ["a", "b", "c"][index / 3];
                mesh.start(number, centre, &[0, 1, 20]);
            }
        }
        mesh.run(Span::from_secs(20));
        mesh.faults = Faults::default();
        let survivors: Vec<_> = (0..3).filter(|c| {
            mesh.nodes.iter().any(|n| n.running && n.me.centre == CentreId::from_name(["a", "b", "c"][*c]))
        }).collect();
        prop_assume!(survivors.len() == 3);
        settled(&mut mesh, "calm");
        mesh.run(Span::from_secs(10));
        prop_assert!(mesh.is_settled(), "{}", mesh.dump());
    }

    #[test]
    fn claims_join_to_the_same_in_any_order(
        a in any_claim(),
        b in any_claim(),
        c in any_claim(),
    ) {
        prop_assert_eq!(meaning(&a.joined(&b)), meaning(&b.joined(&a)));
        let left = a.joined(&b).joined(&c);
        let right = a.joined(&b.joined(&c));
        prop_assert_eq!(meaning(&left), meaning(&right));
        prop_assert_eq!(a.joined(&a), a);
        prop_assert_eq!(left.joined(&b), left);
    }

    #[test]
    fn any_bytes_are_refused_or_harmless(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
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
