//! How many backend servers of a service are busy with reading prompts.
//!
//! The number of requests that run or wait does not show this: a few long prompts keep a backend server from
//! generating, and its streams become late while most of its slots are free. A gateway knows how many prompt
//! tokens have to be read for its own requests, and which share of all requests its own are; from both it
//! estimates the tokens of all.

use oleander_base::prelude::*;

use crate::cost::READ_TOKENS_PER_MS;

/// The time constant of the averages. A gateway of a large fleet has only a few requests in a second.
const AVERAGING_TIME: Span = Span::from_secs(8);

/// A sum that decays with time.
#[derive(Debug, Default)]
struct DecayingSum {
    sum: f64,
    at: MonoTime,
}

impl DecayingSum {
    fn add(&mut self, value: f64, now: MonoTime) {
        self.sum = self.get(now) + value;
        self.at = now;
    }

    fn get(&self, now: MonoTime) -> f64 {
        let age = now.since(self.at).as_secs_f64() / AVERAGING_TIME.as_secs_f64();
        self.sum * (-age).exp()
    }
}

/// Measures how many backend servers are busy with reading prompts.
#[derive(Debug, Default)]
pub struct ReadMeter {
    tokens: DecayingSum,
    own_running: DecayingSum,
    all_running: DecayingSum,
}

impl ReadMeter {
    /// Records the prompt tokens that a backend server has to read for a request of this gateway.
    pub fn record(&mut self, tokens: f64, now: MonoTime) {
        self.tokens.add(tokens, now);
    }

    /// Records how many requests of this gateway, and of all gateways, run or wait. Both are recorded at
    /// the same times, so that their sums have the ratio of the averages.
    pub fn observe_running(&mut self, own: f64, all: f64, now: MonoTime) {
        self.own_running.add(own, now);
        self.all_running.add(all, now);
    }

    /// Returns the number of backend servers of average speed that the prompts of all requests keep busy.
    pub fn busy_servers(&self, now: MonoTime) -> f64 {
        let own = self.own_running.get(now);
        if own <= 0.0 {
            return 0.0;
        }
        let share_inverse = (self.all_running.get(now) / own).max(1.0);
        let tokens_per_ms = self.tokens.get(now) / AVERAGING_TIME.as_millis_f64();
        tokens_per_ms * share_inverse / READ_TOKENS_PER_MS
    }
}
