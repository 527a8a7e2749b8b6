//! Whether a request may have run.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What is known about the effect of an attempt, or of a whole request.
///
/// The order is the order of [`Verdict::join`]: a request over several attempts has the largest
/// of their verdicts, so `NotRun` is said only when every attempt is known not to have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The request did not run, and will not run later.
    NotRun,
    /// Nobody can tell; the request must not be sent again unless it is idempotent.
    MayHaveRun,
    /// The request ran and its answer is known.
    Ran,
}

impl Verdict {
    /// Every verdict, in the order of `join`.
    pub const ALL: [Self; 3] = [Self::NotRun, Self::MayHaveRun, Self::Ran];

    /// Returns the verdict of a request that made both attempts.
    #[must_use]
    pub fn join(self, other: Self) -> Self {
        self.max(other)
    }

    /// Returns the verdict of a request over all its attempts; none at all means `NotRun`.
    pub fn over(attempts: impl IntoIterator<Item = Self>) -> Self {
        attempts.into_iter().fold(Self::NotRun, Self::join)
    }

    /// Returns the word that callers see in the `x-oleander-verdict` header and in error bodies.
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
