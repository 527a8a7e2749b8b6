//! Tests of the tiered policy in single situations; decisions are compared as text.

mod common;

use common::{backend, classes, config, instance, release, text, ticket};
use oleander_base::prelude::*;
use oleander_base::{EndKind, EngineRole, LoadReport, LoadedModel, PrefixHash};
use oleander_decide::{
    BackendView, CustomerView, Decision, DecisionNotice, HeldGrant, PoolConfig, PoolPolicy,
    ProgressNotice, TieredPool,
};

struct Fixture {
    policy: TieredPool,
    now: MonoTime,
    out: Vec<Decision>,
}

impl Fixture {
    fn open(backends: &[BackendView]) -> Self {
        let mut fixture = Self {
            policy: TieredPool::open(config()),
            now: MonoTime(1_000_000),
            out: Vec::new(),
        };
        let now = fixture.now;
        fixture
            .policy
            .set_classes(&classes(), &[], now, &mut fixture.out);
        fixture.policy.set_backends(backends, now, &mut fixture.out);
        fixture
    }

    fn offer(&mut self, ticket: Ticket) {
        self.policy
            .offer(ticket, instance(0), self.now, &mut self.out);
    }

    fn offers(&mut self, serials: std::ops::Range<u64>, class: u8) {
        for serial in serials {
            self.offer(ticket(serial, class));
        }
    }

    fn release(&mut self, serial: u64, backend: u32, end: EndKind) {
        let tokens = if end == EndKind::Finished { 30 } else { 0 };
        let notice = release(serial, backend, end, tokens);
        self.policy.release(&notice, self.now, &mut self.out);
    }

    /// Serves requests one at a time, so that the policy has samples of times and lengths.
    fn warm_up(&mut self, first: u64, count: u64) {
        for serial in first..first + count {
            self.offers(serial..serial + 1, 0);
            self.advance(100);
            let backend = u32::from(self.text().ends_with("on 1\n"));
            self.release(serial, backend, EndKind::Finished);
        }
    }

    fn advance(&mut self, millis: u64) {
        self.now = self.now + Span::from_millis(millis);
        self.policy.tick(self.now, &mut self.out);
        self.policy.verify().unwrap();
    }

    fn text(&mut self) -> String {
        self.policy.verify().unwrap();
        text(&std::mem::take(&mut self.out))
    }
}

fn report(models: &[LoadedModel], running: u32, age_ms: u64) -> LoadReport {
    LoadReport {
        age: Span::from_millis(age_ms),
        running,
        waiting: 0,
        batch_limit: 0,
        tokens_per_second: 0.0,
        cache_used: 0.0,
        role: EngineRole::Full,
        models: models.to_vec(),
        leaving: false,
    }
}

#[test]
fn tiers_go_first_and_a_reoffered_ticket_keeps_its_place() {
    let mut fixture = Fixture::open(&[backend(1, 1)]);
    fixture.offers(0..1, 0);
    fixture.offers(1..2, 1);
    fixture.offers(2..3, 0);
    let mut moved = ticket(3, 0);
    moved.waited = Span::from_millis(300);
    fixture.offer(moved.clone());
    fixture.offer(moved);
    let mut granted = String::new();
    for serial in [0, 3, 2, 1] {
        granted += &fixture.text();
        fixture.release(serial, 1, EndKind::Finished);
    }
    assert_eq!(
        granted,
        "grant 0 on 1\ngrant 3 on 1\ngrant 2 on 1\ngrant 1 on 1\n"
    );
}

#[test]
fn a_repeated_offer_repeats_the_grant_to_the_new_owner() {
    let mut fixture = Fixture::open(&[backend(1, 1)]);
    fixture.offers(0..1, 0);
    let now = fixture.now;
    fixture
        .policy
        .offer(ticket(0, 0), instance(2), now, &mut fixture.out);
    assert_eq!(fixture.out[1].to, instance(2));
    assert_eq!(fixture.text(), "grant 0 on 1\ngrant 0 on 1\n");
}

#[test]
fn a_full_queue_sheds_the_newest_ticket_of_the_lowest_tier() {
    let mut bounded = config();
    bounded.queue_bound = 3;
    let mut fixture = Fixture::open(&[]);
    fixture.policy = TieredPool::open(bounded);
    fixture.offers(0..2, 2);
    fixture.offers(2..3, 1);
    fixture.offers(3..4, 0);
    fixture.offers(4..5, 2);
    fixture.offers(5..7, 0);
    let expected = "shed 1 QueueFull retry after 1000.000ms\n\
                    shed 4 QueueFull retry after 1000.000ms\n\
                    shed 0 QueueFull retry after 1000.000ms\n\
                    shed 2 QueueFull retry after 1000.000ms\n";
    assert_eq!(fixture.text(), expected);
}

#[test]
fn a_pool_without_backend_servers_sheds_the_lowest_tier_first() {
    let mut fixture = Fixture::open(&[]);
    fixture.offers(0..1, 0);
    fixture.offers(1..2, 2);
    fixture.advance(1_000);
    assert_eq!(fixture.text(), "");
    fixture.advance(1_500);
    let expected = "shed 1 NoBackend retry after 1000.000ms\n\
                    shed 0 NoBackend retry after 1000.000ms\n";
    assert_eq!(fixture.text(), expected);
}

#[test]
fn customers_share_a_tier_by_weight() {
    let mut fixture = Fixture::open(&[backend(1, 1)]);
    let weights = [1.0, 3.0].into_iter().enumerate();
    let customers: Vec<CustomerView> = weights
        .map(|(index, weight)| CustomerView {
            customer: CustomerId(index as u32),
            weight,
        })
        .collect();
    let now = fixture.now;
    fixture
        .policy
        .set_classes(&classes(), &customers, now, &mut fixture.out);
    for serial in 0..800 {
        let mut ticket = ticket(serial, 0);
        ticket.customer = CustomerId(u32::from(serial >= 400));
        ticket.target = Span::from_secs(100);
        ticket.patience = Span::from_secs(100);
        fixture.offer(ticket);
    }
    let mut counts = [0u32; 2];
    for _ in 0..400 {
        let decision = fixture.out.remove(0);
        let DecisionNotice::Grant(grant) = decision.notice else {
            panic!("{decision:?}");
        };
        counts[usize::from(grant.request.serial >= 400)] += 1;
        fixture.release(grant.request.serial, 1, EndKind::Finished);
    }
    assert!((280..=320).contains(&counts[1]), "{counts:?}");
}

#[test]
fn a_flood_of_one_customer_does_not_shed_another_customer() {
    let mut fixture = Fixture::open(&[backend(1, 1)]);
    fixture.warm_up(0, 40);
    fixture.advance(60_000);
    fixture.offers(100..140, 1);
    fixture.advance(20);
    fixture.advance(600);
    fixture.text();
    fixture.offers(140..160, 1);
    let mut other = ticket(160, 1);
    other.customer = CustomerId(1);
    fixture.offer(other);
    let shed = fixture.text();
    assert!(shed.contains("shed 159 Hopeless"), "{shed}");
    assert!(!shed.contains("shed 160"), "{shed}");
    fixture.release(100, 1, EndKind::Finished);
    fixture.release(101, 1, EndKind::Finished);
    assert!(fixture.text().contains("grant 160 on 1"));
}

#[test]
fn a_failing_backend_server_is_ejected_probed_and_returned_slowly() {
    let mut fixture = Fixture::open(&[backend(0, 4), backend(1, 4)]);
    fixture.offers(0..8, 0);
    let grants = fixture.text();
    assert_eq!(grants.matches("on 0").count(), 4);
    let failing: Vec<u64> = grants
        .lines()
        .filter(|line| line.ends_with("on 0"))
        .map(|line| line.split(' ').nth(1).unwrap().parse().unwrap())
        .collect();
    for serial in &failing {
        fixture.release(*serial, 0, EndKind::Failed);
    }
    fixture.offers(8..12, 2);
    assert_eq!(fixture.text(), "", "an ejected backend server got work");
    fixture.advance(1_000);
    assert_eq!(fixture.text(), "grant 8 on 0\n", "a probe is one request");
    fixture.release(8, 0, EndKind::Finished);
    assert_eq!(fixture.text(), "grant 9 on 0\ngrant 10 on 0\n");
    fixture.release(9, 0, EndKind::Failed);
    fixture.release(10, 0, EndKind::Failed);
    assert_eq!(
        fixture.text(),
        "",
        "a failure during the return ejects again"
    );
}

#[test]
fn ejection_never_empties_a_pool() {
    let mut fixture = Fixture::open(&[backend(1, 2)]);
    fixture.offers(0..8, 0);
    for serial in 0..6 {
        fixture.release(serial, 1, EndKind::Failed);
    }
    let grants = fixture.text();
    assert!(grants.contains("grant 6 on 1"), "{grants}");
}

#[test]
fn a_slow_backend_server_loses_work_before_any_report() {
    let mut fixture = Fixture::open(&[backend(0, 8), backend(1, 8)]);
    fixture.warm_up(0, 40);
    fixture.offers(1_000..1_010, 0);
    let stuck = fixture.text();
    assert!(stuck.contains("on 0") && stuck.contains("on 1"), "{stuck}");
    for line in stuck.lines().filter(|line| line.ends_with("on 1")) {
        let serial = line.split(' ').nth(1).unwrap().parse().unwrap();
        fixture.release(serial, 1, EndKind::Finished);
    }
    fixture.advance(1_500);
    fixture.text();
    fixture.offers(1_100..1_104, 0);
    let later = fixture.text();
    assert_eq!(later.matches("on 1").count(), 4, "{later}");
    let dump = fixture.policy.dump(fixture.now);
    assert!(dump.contains("stalled"), "{dump}");
}

#[test]
fn faster_backend_servers_are_preferred_once_they_are_known() {
    let mut fixture = Fixture::open(&[backend(0, 8), backend(1, 8)]);
    for serial in 0..64 {
        fixture.offers(serial..serial + 1, 0);
        let on_first = fixture.text().ends_with("on 0\n");
        let mut notice = release(serial, u32::from(!on_first), EndKind::Finished, 30);
        if on_first {
            notice.total = Span::from_millis(2_000);
        }
        fixture
            .policy
            .release(&notice, fixture.now, &mut fixture.out);
    }
    fixture.offers(64..68, 0);
    assert_eq!(fixture.text().matches("on 1").count(), 4);
}

#[test]
fn a_late_report_is_corrected_and_an_old_one_is_not_idle() {
    let mut fixture = Fixture::open(&[backend(1, 4)]);
    fixture.offers(0..2, 0);
    fixture.text();
    fixture.advance(500);
    let now = fixture.now;
    let late = report(&[], 2, 1_000);
    fixture
        .policy
        .report(BackendId(1), &late, now, &mut fixture.out);
    let dump = fixture.policy.dump(now);
    assert!(dump.contains("2/4 others 2"), "{dump}");
    fixture.advance(60_000);
    let dump = fixture.policy.dump(fixture.now);
    assert!(
        dump.contains("others 2") && dump.contains("load unknown"),
        "{dump}"
    );
}

#[test]
fn late_first_tokens_show_the_load_of_others_before_a_report() {
    let mut fixture = Fixture::open(&[backend(1, 6)]);
    fixture.warm_up(0, 10);
    fixture.offers(100..103, 0);
    let progress = |serial| ProgressNotice {
        request: common::request(serial),
        pool: common::pool(),
        backend: BackendId(1),
        first_token: Span::from_millis(200),
    };
    fixture.policy.progress(&progress(100), fixture.now);
    fixture.advance(700);
    let dump = fixture.policy.dump(fixture.now);
    assert!(dump.contains("3/6 others 5"), "{dump}");
    fixture.text();
    fixture.offers(103..104, 0);
    assert_eq!(fixture.text(), "", "a full backend server got work");
    fixture.policy.progress(&progress(101), fixture.now);
    fixture.policy.progress(&progress(102), fixture.now);
    fixture.advance(2_100);
    let dump = fixture.policy.dump(fixture.now);
    assert!(dump.contains("others 0"), "{dump}");
}

#[test]
fn adapters_go_where_they_are_loaded() {
    let mut fixture = Fixture::open(&[backend(0, 4), backend(1, 1)]);
    let loaded = |adapters: &[AdapterId]| LoadedModel {
        model: ModelId(1),
        version: String::from("1"),
        adapters: adapters.to_vec(),
    };
    let now = fixture.now;
    let without = report(&[loaded(&[])], 0, 0);
    let with = report(&[loaded(&[AdapterId(7)])], 0, 0);
    fixture
        .policy
        .report(BackendId(0), &without, now, &mut fixture.out);
    fixture
        .policy
        .report(BackendId(1), &with, now, &mut fixture.out);
    for serial in 0..2 {
        let mut ticket = ticket(serial, 0);
        ticket.adapter = Some(AdapterId(7));
        fixture.offer(ticket);
    }
    fixture.offers(2..3, 1);
    assert_eq!(fixture.text(), "grant 0 on 1\ngrant 2 on 0\n");
}

#[test]
fn prefixes_are_followed_only_as_far_as_the_load_allows() {
    let mut fixture = Fixture::open(&[backend(0, 8), backend(1, 8)]);
    fixture.warm_up(100, 40);
    let offer = |fixture: &mut Fixture, serial| {
        let mut ticket = ticket(serial, 0);
        ticket.prefix = Some(PrefixHash(9));
        fixture.offer(ticket);
        fixture.text()
    };
    let first = offer(&mut fixture, 0);
    fixture.advance(100);
    let second = offer(&mut fixture, 1);
    assert_eq!(first[10..], second[10..]);
    let rest: Vec<String> = (2..10).map(|serial| offer(&mut fixture, serial)).collect();
    assert!(
        rest.iter().any(|line| line[10..] != first[10..]),
        "{rest:?}"
    );
}

#[test]
fn a_rebuilt_dispatcher_counts_adopted_grants_and_frees_orphans() {
    let mut fixture = Fixture::open(&[backend(1, 1)]);
    let holding = HeldGrant {
        ticket: ticket(0, 0),
        backend: BackendId(1),
        age: Span::from_secs(3),
    };
    let now = fixture.now;
    fixture
        .policy
        .adopt(&holding, instance(1), now, &mut fixture.out);
    fixture.offers(1..2, 0);
    assert_eq!(fixture.text(), "");
    fixture
        .policy
        .instance_gone(instance(1), now, &mut fixture.out);
    fixture.advance(1_900);
    assert_eq!(fixture.text(), "");
    fixture.advance(200);
    assert_eq!(fixture.text(), "grant 1 on 1\n");
}

#[test]
fn a_new_dispatcher_grants_nothing_until_it_knows_the_grants_before_it() {
    let mut fixture = Fixture::open(&[]);
    let mut rebuilt = config();
    rebuilt.rebuild_span = Span::from_millis(300);
    fixture.policy = TieredPool::open(rebuilt);
    let now = fixture.now;
    let backends = [backend(1, 1)];
    fixture
        .policy
        .set_backends(&backends, now, &mut fixture.out);
    fixture.offers(0..1, 0);
    let holding = HeldGrant {
        ticket: ticket(7, 3),
        backend: BackendId(1),
        age: Span::from_secs(3),
    };
    fixture
        .policy
        .adopt(&holding, instance(1), now, &mut fixture.out);
    fixture.advance(400);
    assert_eq!(fixture.text(), "", "the slot is in use by an older grant");
    fixture.release(7, 1, EndKind::Finished);
    assert_eq!(fixture.text(), "grant 0 on 1\n");
}

#[test]
fn the_speed_of_a_plain_service_is_that_of_its_whole_answers() {
    let mut fixture = Fixture::open(&[]);
    fixture.policy = TieredPool::open(PoolConfig::services(common::pool()));
    let now = fixture.now;
    let backends = [backend(0, 8), backend(1, 8)];
    fixture
        .policy
        .set_backends(&backends, now, &mut fixture.out);
    for serial in 0..40 {
        fixture.offers(serial..serial + 1, 0);
        let number = u32::from(fixture.text().ends_with("on 1\n"));
        let mut notice = release(serial, number, EndKind::Finished, 9_000);
        notice.first_token = None;
        notice.total = Span::from_millis(20 + 80 * u64::from(number));
        let now = fixture.now;
        fixture.policy.release(&notice, now, &mut fixture.out);
        fixture.advance(20);
    }
    fixture.offers(40..44, 0);
    assert_eq!(fixture.text().matches("on 0").count(), 4);
}

#[test]
fn a_summary_reports_the_expected_wait_of_each_tier() {
    let mut fixture = Fixture::open(&[backend(1, 1)]);
    fixture.warm_up(0, 40);
    fixture.advance(60_000);
    fixture.offers(100..103, 1);
    let summary = fixture.policy.summary(fixture.now);
    assert_eq!(summary.expected_wait(Tier(0)), Span::ZERO);
    let wait = summary.expected_wait(Tier(1));
    assert!(wait > Span::from_millis(900), "{wait}");
    assert_eq!(summary.expected_wait(Tier(3)), wait);
    assert_eq!(summary.local_load(Tier(2)).expected_wait, wait);
    let option = summary.spill_option(Tier(2), Span::from_millis(2), 3, Span::ZERO);
    assert_eq!((option.slots_free, option.in_transit), (0, 3));
}

#[test]
fn reconciliation_frees_the_slot_of_a_lost_release() {
    let mut fixture = Fixture::open(&[backend(1, 2)]);
    fixture.offers(0..2, 0);
    fixture.offers(2..3, 3);
    fixture.text();
    let held = [common::request(1)];
    fixture.advance(4_900);
    let now = fixture.now;
    fixture
        .policy
        .reconcile(instance(0), &held, now, &mut fixture.out);
    assert_eq!(fixture.text(), "", "a fresh grant may still be on its way");
    fixture.advance(200);
    let now = fixture.now;
    fixture
        .policy
        .reconcile(instance(2), &[], now, &mut fixture.out);
    assert_eq!(
        fixture.text(),
        "",
        "the grants of another entry VM are unaffected"
    );
    fixture
        .policy
        .reconcile(instance(0), &held, now, &mut fixture.out);
    assert_eq!(fixture.text(), "grant 2 on 1\n");
}

#[test]
fn progress_keeps_a_long_answer_from_looking_stalled() {
    let mut fixture = Fixture::open(&[backend(1, 4)]);
    fixture.warm_up(0, 10);
    fixture.offers(100..104, 0);
    let before = fixture.policy.dump(fixture.now);
    assert!(!before.contains("stalled"), "{before}");
    fixture.advance(2_000);
    assert!(fixture.policy.dump(fixture.now).contains("stalled"));
    let notice = ProgressNotice {
        request: common::request(102),
        pool: common::pool(),
        backend: BackendId(1),
        first_token: Span::from_millis(900),
    };
    fixture.policy.progress(&notice, fixture.now);
    let after = fixture.policy.dump(fixture.now);
    assert!(!after.contains("stalled"), "{after}");
}

#[test]
fn the_dump_shows_the_queue_the_slots_and_the_grants() {
    let mut leaving = backend(2, 4);
    leaving.leaving = true;
    let mut fixture = Fixture::open(&[backend(1, 1), leaving]);
    fixture.offers(0..1, 0);
    fixture.offers(1..2, 2);
    let expected = "\
pool centre00000001/model00000001 slots 1/1 backends 1 ejected 0 saturated
  tier2 queued 1 expected wait 0.000ms
  class00000000 queued 0 running 1 granted 1 by share 0 shed 0
  class00000001 queued 0 running 0 granted 0 by share 0 shed 0
  class00000002 queued 1 running 0 granted 0 by share 0 shed 0
  class00000003 queued 0 running 0 granted 0 by share 0 shed 0
  backend00000001 1/1 others 0 slots 1 serving load unknown
  backend00000002 0/0 others 0 slots 4 serving leaving load unknown
  queued req-7f000001-0001-0000000000000001-1 tier2 class00000002 customer00000000 due t+9000.000ms expires t+31000.000ms work 256
  granted req-7f000001-0001-0000000000000001-0 backend00000001 at t+1000.000ms
";
    assert_eq!(fixture.policy.dump(fixture.now), expected);
}
