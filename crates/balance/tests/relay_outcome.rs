//! Tests of the meaning of another gateway's answer to a relayed request.

use oleander_balance::{RelayEvidence, RelayOutcome, promises_not_run};
use oleander_base::Verdict;

/// The statuses that a gateway or a backend server answers with, and some that neither does.
const STATUSES: [u16; 16] = [
    200, 204, 301, 400, 401, 403, 404, 408, 413, 421, 429, 431, 500, 502, 503, 504,
];

/// The statuses that promise that a request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

const BOOLEANS: [bool; 2] = [false, true];

/// Returns the evidence of an older gateway's answer without any header of gateways or backend servers.
fn plain(status: u16) -> RelayEvidence {
    RelayEvidence {
        status,
        is_signed: false,
        is_not_run: false,
        verdict: None,
        is_cut_off: false,
    }
}

/// Returns all combinations of what an answer may say.
fn all_evidence() -> Vec<RelayEvidence> {
    let verdicts = [None].into_iter().chain(Verdict::ALL.map(Some));
    let mut all = Vec::new();
    for verdict in verdicts {
        for status in STATUSES {
            for is_signed in BOOLEANS {
                for is_not_run in BOOLEANS {
                    for is_cut_off in BOOLEANS {
                        all.push(RelayEvidence {
                            status,
                            is_signed,
                            is_not_run,
                            verdict,
                            is_cut_off,
                        });
                    }
                }
            }
        }
    }
    all
}

// Guards against a mark, a header or a status that is taken for "not run" although nothing promises that.
#[test]
fn only_a_verdict_or_a_promise_means_that_a_request_has_not_run() {
    for evidence in all_evidence() {
        let outcome = RelayOutcome::of(&evidence);
        let is_backend_answer = evidence.is_signed && !evidence.is_not_run;
        let is_not_run = match evidence.verdict {
            Some(verdict) => verdict == Verdict::NotRun,
            None => PROMISES.contains(&evidence.status),
        };
        let expected: &[RelayOutcome] = match (is_backend_answer, is_not_run) {
            (true, _) => &[RelayOutcome::Delivered],
            (false, true) => &[RelayOutcome::Elsewhere, RelayOutcome::Refused],
            (false, false) => &[RelayOutcome::Failed],
        };
        assert!(expected.contains(&outcome), "{evidence:?}: {outcome:?}");
    }
}

// Guards against the mark of a gateway that is cut off, which changes the verdict on the request.
#[test]
fn the_mark_of_a_gateway_that_is_cut_off_never_changes_the_verdict() {
    let is_failed = |evidence: &RelayEvidence| RelayOutcome::of(evidence) == RelayOutcome::Failed;
    for evidence in all_evidence() {
        let marked = RelayEvidence {
            is_cut_off: true,
            ..evidence
        };
        assert_eq!(is_failed(&evidence), is_failed(&marked), "{evidence:?}");
    }
}

// Guards against a refusal that is not tried at a further gateway, and against one that goes round all of them.
#[test]
fn a_refusal_is_tried_elsewhere_unless_the_fleet_has_no_room() {
    let outcome = |evidence: RelayEvidence| RelayOutcome::of(&evidence);
    for status in PROMISES {
        let marked = RelayEvidence {
            is_cut_off: true,
            ..plain(status)
        };
        assert_eq!(outcome(marked), RelayOutcome::Elsewhere, "{status}");
    }
    for status in [429, 503] {
        assert_eq!(outcome(plain(status)), RelayOutcome::Refused, "{status}");
    }
    for status in [400, 401, 403, 404, 408, 413, 421, 431] {
        let stated = RelayEvidence {
            verdict: Some(Verdict::NotRun),
            ..plain(status)
        };
        assert_eq!(outcome(stated), RelayOutcome::Elsewhere, "{status}");
    }
}

#[test]
fn four_statuses_promise_that_a_request_has_not_run() {
    let promises = STATUSES
        .into_iter()
        .filter(|status| promises_not_run(*status));
    assert_eq!(promises.collect::<Vec<_>>(), PROMISES);
}
