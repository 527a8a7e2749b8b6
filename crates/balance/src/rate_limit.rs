//! The request rate that a backend server in need names for all gateways together.

use oleander_base::prelude::*;

/// What an answer says about the request rate of its backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum NamedRate {
    /// Nothing, because the answer is not the backend server's own or cannot be read.
    #[default]
    Unknown,
    /// There is no limit, or no longer.
    Unlimited,
    /// The requests a second that it takes from all gateways together.
    Limited(f64),
}

/// The limit that a backend server last named.
#[derive(Debug, Default)]
pub struct RateLimit {
    /// Requests a second, if there is a limit.
    per_s: Option<f64>,
    /// When the answer came that says so.
    named_at: MonoTime,
}

impl RateLimit {
    /// Takes over what an answer said at this time; returns whether that is a change. An older answer
    /// changes nothing.
    pub fn name(&mut self, rate: NamedRate, at: MonoTime) -> bool {
        let per_s = match rate {
            NamedRate::Unknown => return false,
            NamedRate::Unlimited => None,
            NamedRate::Limited(per_s) => Some(per_s),
        };
        if at < self.named_at {
            return false;
        }
        self.named_at = at;
        std::mem::replace(&mut self.per_s, per_s) != per_s
    }

    /// Returns the limit in requests a second, if there is one.
    pub fn per_s(&self) -> Option<f64> {
        self.per_s
    }
}
