//! What came of one call.

use oleander_base::prelude::*;
use serde::Serialize;

/// How a call ended, as its caller saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallOutcome {
    /// The whole answer came, and every stamp in it is right.
    Whole,
    /// The answer began and ended with an error that the caller could see.
    Broken,
    /// The answer looked complete and was not.
    Truncated,
    /// The answer held tokens of another one, or tokens doubled or out of order.
    Mixed,
    /// The system refused the call for want of capacity.
    Shed,
    /// The system refused the call because the customer is over its own limit.
    Refused,
    /// The call failed in any other way.
    Failed,
    /// No entry VM took the call.
    Unreachable,
}

/// What a call asked for, by position in the scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallSubject {
    /// An answer of a model, of this class.
    Class(usize),
    /// A call of a plain service.
    Operation(usize),
}

/// One call and what came of it.
#[derive(Debug, Clone, PartialEq)]
pub struct CallRecord {
    /// Its number in the schedule.
    pub serial: u64,
    /// What it asked for.
    pub subject: CallSubject,
    /// The customer, by position.
    pub customer: usize,
    /// When it was due, from the start.
    pub at: Span,
    /// How much later than that it was sent.
    pub lateness: Span,
    /// The first token, or the whole answer of a plain service, from when it was due.
    pub first: Option<Span>,
    /// The end, from when it was due.
    pub total: Span,
    /// The mean time between tokens.
    pub mean_gap: Option<Span>,
    /// Tokens that came.
    pub tokens: u32,
    /// The prompt's size in tokens.
    pub prompt_tokens: u32,
    /// How it ended.
    pub outcome: CallOutcome,
    /// The code of the error, if the system gave one.
    pub code: Option<String>,
    /// The verdict that the system gave.
    pub verdict: Option<Verdict>,
    /// The request id that the system gave.
    pub request: Option<String>,
    /// The stamp of the wanted answer.
    pub tag: Option<u64>,
    /// The operation id of a plain service's call.
    pub operation: Option<String>,
    /// How often a plain service's call was answered as done.
    pub acknowledged: u32,
    /// How often the caller came back for the rest of its answer.
    pub reconnects: u32,
    /// How often the balancer found an entry VM that could not be reached.
    pub rerouted: u32,
}

impl CallRecord {
    /// Joins what was said of one more attempt to what was said before.
    pub(crate) fn add_verdict(&mut self, verdict: Option<Verdict>) {
        self.verdict = match (self.verdict, verdict) {
            (Some(first), Some(second)) => Some(first.join(second)),
            (first, second) => first.or(second),
        };
    }

    /// Returns when the call ended, from the start.
    pub fn ended(&self) -> Span {
        self.at + self.total
    }
}
