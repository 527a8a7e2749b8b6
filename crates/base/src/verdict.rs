//! Verdicts on whether a request may have run.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What is known about whether an attempt, or a whole request, had an effect.
///
/// The order of the variants is that of [`Verdict::join`]: a request with several attempts has the
/// largest of their verdicts, so it is `NotRun` only if every attempt is known not to have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The request did not run, and will not run later.
    NotRun,
    /// It is unknown whether the request ran; it must not be sent again unless it is idempotent.
    MayHaveRun,
    /// The request ran and its answer is known.
    Ran,
}

impl Verdict {
    /// All verdicts, in the order of `join`.
    pub const ALL: [Self; 3] = [Self::NotRun, Self::MayHaveRun, Self::Ran];

    /// Returns the verdict of a request whose two attempts had these verdicts.
    #[must_use]
    pub fn join(self, other: Self) -> Self {
        self.max(other)
    }

    /// Returns the verdict of a request over all its attempts; without any it is `NotRun`.
    pub fn over(attempts: impl IntoIterator<Item = Self>) -> Self {
        attempts.into_iter().fold(Self::NotRun, Self::join)
    }

    /// Returns the text that callers see in the `x-oleander-verdict` header and in error bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
