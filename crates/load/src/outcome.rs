//! The outcome of one call.

use oleander_base::prelude::*;
use serde::Serialize;

/// How a call ended, as its caller saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallOutcome {
    /// The whole answer arrived, and every token in it is correct.
    Whole,
    /// The answer started and then ended with an error that the caller could see.
    Broken,
    /// The answer looked complete but lacked tokens.
    Truncated,
    /// The answer contained tokens of another answer, or tokens duplicated or out of order.
    Mixed,
    /// The system refused the call for lack of capacity.
    Shed,
    /// The system refused the call because the customer exceeded its own limit.
    Refused,
    /// The call failed in any other way.
    Failed,
    /// No entry VM could be reached.
    Unreachable,
}

/// The class or operation of a call, as an index into the lists of the scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallSubject {
    /// A completion of a model, of this class.
    Class(usize),
    /// A call of a plain service, of this operation.
    Operation(usize),
}

/// One call and its outcome.
#[derive(Debug, Clone, PartialEq)]
pub struct CallRecord {
    /// The serial number in the schedule.
    pub serial: u64,
    /// The class or operation.
    pub subject: CallSubject,
    /// The index of the customer in the scenario.
    pub customer: usize,
    /// When the call was due, from the start of the schedule.
    pub at: Span,
    /// How much later than due the call was sent.
    pub lateness: Span,
    /// The time from when the call was due to the first token or to the whole answer of a plain
    /// service.
    pub first: Option<Span>,
    /// The time from when the call was due to its end.
    pub total: Span,
    /// The mean time between tokens of a streamed answer, if more than one arrived.
    pub mean_gap: Option<Span>,
    /// The number of tokens in a whole answer, or else the number of non-empty pieces received.
    pub tokens: u32,
    /// The size of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// How the call ended.
    pub outcome: CallOutcome,
    /// The error code from the system, or the failure that the caller saw.
    pub code: Option<String>,
    /// The joined verdict of all attempts.
    pub verdict: Option<Verdict>,
    /// The request id that the system assigned.
    pub request: Option<String>,
    /// The tag that every token of the expected answer carries.
    pub tag: Option<u64>,
    /// The operation id of a call of a plain service.
    pub operation: Option<String>,
    /// How often a call of a plain service was acknowledged as done.
    pub acknowledged: u32,
    /// How often the caller reconnected for the rest of its answer.
    pub reconnects: u32,
    /// How often the load balancer found an entry VM unreachable.
    pub rerouted: u32,
}

impl CallRecord {
    /// Joins the verdict of one more attempt to the verdict so far.
    pub(crate) fn add_verdict(&mut self, verdict: Option<Verdict>) {
        self.verdict = match (self.verdict, verdict) {
            (Some(first), Some(second)) => Some(first.join(second)),
            (first, second) => first.or(second),
        };
    }

    /// Returns when the call ended, from the start of the schedule.
    pub fn ended(&self) -> Span {
        self.at + self.total
    }
}
