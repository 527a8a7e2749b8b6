//! The request rate that an overloaded backend server names for all gateways together.
//!
//! The gateways divide the rate without messages: by rendezvous hashing over the backend server they
//! agree on a rank, the first ranks share the rate evenly, and the others send nothing. Each one
//! paces its share with a token bucket of one request. `n` sharers of a rate `r` then send at most
//! `n + r * t` requests in any time `t`, however their sends coincide, so the number of sharers
//! bounds the burst (docs/PLATFORM.md, "Named rates").

use oleander_base::prelude::*;

/// The number of gateways that share any rate. More of them share a higher rate, one for each request
/// a second. Fewer would leave gateways without a backend server in a small service that is overloaded as
/// a whole; each one more adds a request to what may come at once.
const MIN_SHARERS: f64 = 3.0;

/// The rate, in requests a second, that is sent in any case: only an answer tells that the overload is
/// over.
const MIN_RATE: f64 = 0.2;

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

/// This gateway's place among the gateways that divide a rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GatewayRank {
    /// How many gateways come before it.
    pub rank: usize,
    /// The number of gateways, this one included.
    pub gateways: usize,
}

/// This gateway's part of a rate, as a bucket that holds one token at most.
#[derive(Debug, Clone, Copy)]
struct RateShare {
    /// Tokens a second; 0 if this gateway is not among the sharers.
    per_s: f64,
    tokens: f64,
    filled_at: MonoTime,
}

impl RateShare {
    fn tokens(&self, now: MonoTime) -> f64 {
        let filled = self.per_s * now.since(self.filled_at).as_secs_f64();
        (self.tokens + filled).min(1.0)
    }

    /// Returns the time until the next request may be sent; `None` if this gateway sends nothing.
    fn wait(&self, now: MonoTime) -> Option<Span> {
        let missing = 1.0 - self.tokens(now);
        if missing <= 0.0 {
            return Some(Span::ZERO);
        }
        let is_sharer = self.per_s > 0.0;
        is_sharer.then(|| Span((missing / self.per_s * 1e6).ceil() as u64))
    }
}

/// The limit that a backend server last named, and this gateway's share of it.
#[derive(Debug, Default)]
pub struct RateLimit {
    /// Requests a second, if there is a limit.
    per_s: Option<f64>,
    /// When the answer came that says so.
    named_at: MonoTime,
    /// When the last limit ended.
    lifted_at: Option<MonoTime>,
    /// Absent until the limit is divided.
    share: Option<RateShare>,
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
        if per_s.is_none() && self.per_s.is_some() {
            self.share = None;
            self.lifted_at = Some(at);
        }
        std::mem::replace(&mut self.per_s, per_s) != per_s
    }

    /// Returns the limit in requests a second, if there is one.
    pub fn per_s(&self) -> Option<f64> {
        self.per_s
    }

    /// Returns when the last answer came that named a limit, or none.
    pub fn named_at(&self) -> MonoTime {
        self.named_at
    }

    /// Returns when the last limit ended, if there was one.
    pub fn lifted_at(&self) -> Option<MonoTime> {
        self.lifted_at
    }

    /// Divides the limit between the gateways.
    ///
    /// A bucket starts the emptier the earlier the gateway's rank, so that the sharers do not all send
    /// at the same moment.
    pub fn divide(&mut self, place: GatewayRank, now: MonoTime) {
        let Some(per_s) = self.per_s else {
            return;
        };
        let per_s = per_s.max(MIN_RATE);
        let sharers = sharer_count(per_s, place.gateways);
        let tokens = match &self.share {
            Some(share) => share.tokens(now),
            None => place.rank as f64 / sharers as f64,
        };
        let is_sharer = place.rank < sharers;
        self.share = Some(RateShare {
            per_s: if is_sharer {
                per_s / sharers as f64
            } else {
                0.0
            },
            tokens: if is_sharer { tokens.min(1.0) } else { 0.0 },
            filled_at: now,
        });
    }

    /// Returns whether this gateway may send a request now.
    pub fn admits(&self, now: MonoTime) -> bool {
        let wait = self.share.map(|share| share.wait(now));
        wait.is_none_or(|wait| wait == Some(Span::ZERO))
    }

    /// Returns when this gateway may send a request, if it may not now and will.
    pub fn opens_at(&self, now: MonoTime) -> Option<MonoTime> {
        let wait = self.share?.wait(now)?;
        (wait > Span::ZERO).then(|| now + wait)
    }

    /// Records a send.
    pub fn take(&mut self, now: MonoTime) {
        if let Some(share) = &mut self.share {
            share.tokens = (share.tokens(now) - 1.0).max(0.0);
            share.filled_at = now;
        }
    }
}

/// Returns how many of the gateways divide a rate.
fn sharer_count(per_s: f64, gateways: usize) -> usize {
    let most = (MIN_SHARERS + per_s) as usize;
    gateways.min(most).max(1)
}
