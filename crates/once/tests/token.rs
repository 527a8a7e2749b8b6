//! Tests of tokens and their ledger: forgery, foreign customers and instances, expiry, replaced
//! instances and bounds.

use std::net::SocketAddr;

use bytes::Bytes;
use oleander_base::prelude::*;
use oleander_once::{
    BodyHash, BoundToken, KeptAnswer, LedgerLimits, TokenDecision, TokenError, TokenIssuer,
    TokenKey, TokenLedger,
};
use proptest::prelude::*;

const CUSTOMER: CustomerId = CustomerId(7);
const CENTRE: CentreId = CentreId(3);
const BODY: BodyHash = BodyHash([1; 8]);

fn instance(port: u16, incarnation: u64) -> InstanceId {
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    InstanceId {
        address,
        incarnation,
    }
}

fn request(serial: u64) -> RequestId {
    let origin = instance(1, 1);
    RequestId { origin, serial }
}

fn key(id: u8) -> TokenKey {
    TokenKey::new(id, &[id; 32]).unwrap()
}

fn limits() -> LedgerLimits {
    LedgerLimits {
        token_life: Span::from_secs(10),
        retention: Span::from_secs(20),
        tokens: 1_024,
        kept_bytes: 2_000,
        answer_bytes: 1_000,
    }
}

fn ledger() -> TokenLedger {
    TokenLedger::new(instance(1, 1), CENTRE, limits())
}

fn answer(length: usize) -> Option<KeptAnswer> {
    Some(KeptAnswer {
        status: 200,
        content_type: None,
        body: Bytes::from(vec![b'x'; length]),
    })
}

#[test]
fn token_text_round_trips_and_rotates() {
    let token = ledger().issue(CUSTOMER, 1, MonoTime(5)).unwrap()[0];
    let old = TokenIssuer::new(key(1), None);
    let ahead = TokenIssuer::new(key(1), Some(key(2)));
    let turned = TokenIssuer::new(key(2), Some(key(1)));
    let new = TokenIssuer::new(key(2), None);
    for (writer, reader) in [
        (&old, &ahead),
        (&old, &turned),
        (&turned, &ahead),
        (&turned, &new),
    ] {
        assert_eq!(reader.read(&writer.write(&token), CUSTOMER), Ok(token));
    }
    assert_eq!(
        new.read(&old.write(&token), CUSTOMER),
        Err(TokenError::Forged)
    );
}

#[test]
fn token_of_another_customer_is_refused() {
    let issuer = TokenIssuer::new(key(1), None);
    let token = ledger().issue(CUSTOMER, 1, MonoTime(5)).unwrap()[0];
    let read = issuer.read(&issuer.write(&token), CustomerId(8));
    assert_eq!(read, Err(TokenError::ForeignCustomer));
}

#[test]
fn short_secret_is_refused() {
    assert!(TokenKey::new(1, b"short").is_err());
}

#[test]
fn expiry_stops_a_start_and_keeps_the_past() {
    let mut ledger = ledger();
    let now = MonoTime(0);
    let tokens = ledger.issue(CUSTOMER, 3, now).unwrap();
    assert_eq!(
        ledger.begin(&tokens[0], BODY, request(1), now),
        TokenDecision::Run
    );
    assert_eq!(
        ledger.begin(&tokens[1], BODY, request(2), now),
        TokenDecision::Run
    );
    ledger.finish(0, Verdict::Ran, answer(10));
    let late = now + Span::from_secs(11);
    let decisions: Vec<_> = tokens
        .iter()
        .map(|token| ledger.begin(token, BODY, request(9), late))
        .collect();
    assert!(matches!(&decisions[0], TokenDecision::Done(result) if result.verdict == Verdict::Ran));
    assert_eq!(decisions[1], TokenDecision::Running(request(2)));
    assert_eq!(decisions[2], TokenDecision::Expired(Verdict::NotRun));
}

#[test]
fn forgotten_token_may_have_run() {
    let mut ledger = ledger();
    let token = ledger.issue(CUSTOMER, 256, MonoTime(0)).unwrap()[0];
    let later = MonoTime(0) + Span::from_secs(31);
    ledger.issue(CUSTOMER, 1, later).unwrap();
    let decision = ledger.begin(&token, BODY, request(1), later);
    assert_eq!(decision, TokenDecision::Expired(Verdict::MayHaveRun));
}

#[test]
fn clocks_of_other_instances_do_not_matter() {
    // An instance never checks the expiry of another instance's token against its own clock.
    let mut issuer = ledger();
    let mut other = TokenLedger::new(instance(2, 2), CENTRE, limits());
    let token = issuer.issue(CUSTOMER, 1, MonoTime(1_000)).unwrap()[0];
    for time in [MonoTime(0), MonoTime(u64::MAX)] {
        let decision = other.begin(&token, BODY, request(1), time);
        assert_eq!(decision, TokenDecision::Foreign(instance(1, 1)));
    }
    assert_eq!(
        issuer.begin(&token, BODY, request(1), MonoTime(2_000)),
        TokenDecision::Run
    );
}

#[test]
fn replaced_instance_at_the_same_address_does_not_run_old_tokens() {
    let token = ledger().issue(CUSTOMER, 1, MonoTime(0)).unwrap()[0];
    let mut replaced = TokenLedger::new(instance(1, 2), CENTRE, limits());
    replaced.issue(CUSTOMER, 5, MonoTime(0)).unwrap();
    let decision = replaced.begin(&token, BODY, request(1), MonoTime(0));
    assert_eq!(decision, TokenDecision::Gone(instance(1, 1)));
}

#[test]
fn request_that_did_not_run_leaves_its_token_fresh() {
    let mut ledger = ledger();
    let token = ledger.issue(CUSTOMER, 1, MonoTime(0)).unwrap()[0];
    assert_eq!(
        ledger.begin(&token, BODY, request(1), MonoTime(0)),
        TokenDecision::Run
    );
    ledger.finish(0, Verdict::NotRun, None);
    assert_eq!(
        ledger.begin(&token, BODY, request(2), MonoTime(0)),
        TokenDecision::Run
    );
    ledger.finish(0, Verdict::MayHaveRun, None);
    let decision = ledger.begin(&token, BODY, request(3), MonoTime(0));
    assert!(
        matches!(decision, TokenDecision::Done(result) if result.verdict == Verdict::MayHaveRun)
    );
}

#[test]
fn dropped_answer_leaves_its_verdict() {
    let mut ledger = ledger();
    let tokens = ledger.issue(CUSTOMER, 4, MonoTime(0)).unwrap();
    for (serial, token) in tokens.iter().enumerate() {
        assert_eq!(
            ledger.begin(token, BODY, request(1), MonoTime(0)),
            TokenDecision::Run
        );
        ledger.finish(serial as u64, Verdict::Ran, answer(900));
        ledger.verify().unwrap();
    }
    let decision = ledger.begin(&tokens[0], BODY, request(2), MonoTime(0));
    assert_eq!(decision, TokenDecision::Ended(Verdict::Ran));
}

#[test]
fn full_ledger_issues_again_after_the_retention() {
    let mut ledger = ledger();
    ledger.issue(CUSTOMER, 1_024, MonoTime(0)).unwrap();
    let full = ledger.issue(CUSTOMER, 1, MonoTime(0)).unwrap_err();
    let later = MonoTime(1) + full.retry_after;
    ledger.issue(CUSTOMER, 1, later).unwrap();
    ledger.verify().unwrap();
}

proptest! {
    #[test]
    fn any_text_is_refused_without_panic(text in ".{0,300}") {
        let issuer = TokenIssuer::new(key(1), Some(key(2)));
        prop_assert!(issuer.read(&text, CUSTOMER).is_err());
    }

    #[test]
    fn changed_or_truncated_token_is_refused(at in 0usize..64, bit in 0u8..6, cut in 1usize..64) {
        use base64::Engine as _;
        use base64::engine::general_purpose::URL_SAFE_NO_PAD;
        let issuer = TokenIssuer::new(key(1), Some(key(2)));
        let token = ledger().issue(CUSTOMER, 1, MonoTime(0)).unwrap()[0];
        let text = issuer.write(&token);
        let mut bytes = URL_SAFE_NO_PAD.decode(&text).unwrap();
        let at = at % bytes.len();
        bytes[at] ^= 1 << bit;
        prop_assert!(issuer.read(&URL_SAFE_NO_PAD.encode(&bytes), CUSTOMER).is_err());
        prop_assert!(issuer.read(&text[..text.len().saturating_sub(cut)], CUSTOMER).is_err());
    }

    #[test]
    fn token_has_at_most_one_effect(steps in prop::collection::vec((0usize..6, 0u8..4, 0u64..8), 1..120)) {
        let mut ledger = ledger();
        let tokens = ledger.issue(CUSTOMER, 6, MonoTime(0)).unwrap();
        let mut now = MonoTime(0);
        let mut effects = [0; 6];
        let mut running = [false; 6];
        for (index, kind, secs) in steps {
            now = now + Span::from_secs(secs / 4);
            match kind {
                0 | 1 => {
                    let decision = ledger.begin(&tokens[index], BODY, request(1), now);
                    let has_started = decision == TokenDecision::Run;
                    prop_assert!(!(has_started && running[index]));
                    running[index] |= has_started;
                }
                _ if running[index] => {
                    running[index] = false;
                    let verdict = Verdict::ALL[secs as usize % 3];
                    effects[index] += u32::from(verdict != Verdict::NotRun);
                    ledger.finish(index as u64, verdict, answer(300));
                }
                _ => {}
            }
            ledger.verify().map_err(TestCaseError::fail)?;
        }
        prop_assert!(effects.iter().all(|count| *count <= 1));
    }
}

/// Lists the events of one token that callers use through two entry VMs.
#[derive(Debug, Clone, Copy)]
enum TokenEvent {
    ArrivesAtIssuer,
    ArrivesElsewhere,
    Ends(Verdict),
    IssuerIsReplaced,
    TimePasses,
}

const TOKEN_EVENTS: [TokenEvent; 7] = [
    TokenEvent::ArrivesAtIssuer,
    TokenEvent::ArrivesElsewhere,
    TokenEvent::Ends(Verdict::NotRun),
    TokenEvent::Ends(Verdict::MayHaveRun),
    TokenEvent::Ends(Verdict::Ran),
    TokenEvent::IssuerIsReplaced,
    TokenEvent::TimePasses,
];

#[derive(Clone)]
struct TokenWorld {
    issuer: TokenLedger,
    other: TokenLedger,
    now: MonoTime,
    is_running: bool,
    effects: u32,
}

impl TokenWorld {
    /// Returns the verdict that the caller of a new request receives, or none if it runs.
    fn arrive(&mut self, token: &BoundToken) -> Option<Verdict> {
        match self.issuer.begin(token, BODY, request(1), self.now) {
            TokenDecision::Run => {
                assert!(!self.is_running, "two requests run with one token");
                self.is_running = true;
                None
            }
            TokenDecision::Running(_) | TokenDecision::Gone(_) => Some(Verdict::MayHaveRun),
            TokenDecision::Done(result) => Some(result.verdict),
            TokenDecision::Ended(verdict) | TokenDecision::Expired(verdict) => Some(verdict),
            decision => panic!("{decision:?} for a valid token of this issuer"),
        }
    }

    fn step(&mut self, event: TokenEvent, token: &BoundToken) {
        match event {
            TokenEvent::ArrivesAtIssuer => self.check_answer(token),
            TokenEvent::ArrivesElsewhere => {
                let decision = self.other.begin(token, BODY, request(2), self.now);
                assert_eq!(decision, TokenDecision::Foreign(instance(1, 1)));
                self.check_answer(token);
            }
            TokenEvent::Ends(verdict) if self.is_running => {
                self.is_running = false;
                self.effects += u32::from(verdict != Verdict::NotRun);
                self.issuer.finish(0, verdict, None);
            }
            TokenEvent::Ends(_) => {}
            TokenEvent::IssuerIsReplaced => {
                // A request that was running at the crash may have had its effect.
                self.effects += u32::from(self.is_running);
                self.is_running = false;
                self.issuer = TokenLedger::new(instance(1, 2), CENTRE, limits());
            }
            TokenEvent::TimePasses => self.now = self.now + Span::from_secs(11),
        }
        assert!(self.effects <= 1, "two effects");
    }

    fn check_answer(&mut self, token: &BoundToken) {
        let verdict = self.arrive(token);
        assert!(
            verdict != Some(Verdict::NotRun) || self.effects == 0,
            "a request that ran was answered with not-run"
        );
    }
}

fn visit(world: &TokenWorld, token: &BoundToken, depth: u32) -> u64 {
    if depth == 0 {
        return 1;
    }
    let visits = TOKEN_EVENTS.iter().map(|event| {
        let mut next = world.clone();
        next.step(*event, token);
        visit(&next, token, depth - 1)
    });
    visits.sum()
}

#[test]
fn every_order_of_repeats_ends_crashes_and_expiry_is_sound() {
    let mut issuer = ledger();
    let token = issuer.issue(CUSTOMER, 1, MonoTime(0)).unwrap()[0];
    let world = TokenWorld {
        issuer,
        other: TokenLedger::new(instance(2, 2), CENTRE, limits()),
        now: MonoTime(0),
        is_running: false,
        effects: 0,
    };
    assert_eq!(visit(&world, &token, 6), 7_u64.pow(6));
}
