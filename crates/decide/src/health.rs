//! Ejection of one backend server and its gradual return.
//!
//! A backend server that fails several times in a row, or in half of its recent answers, is ejected
//! for a pause. After that it is probed with one request at a time. Each success raises the number
//! of concurrent requests by one (a slow start) until it has all its slots again. A failure during
//! the return ejects it for twice the previous pause.
//!
//! The pool decides whether a backend server may be ejected at all, because ejection must never
//! empty a pool. One that may not be ejected is limited to probes instead.

use std::fmt;

use oleander_base::prelude::*;

/// The number of consecutive failures that ejects a backend server.
const CONSECUTIVE_FAILURE_LIMIT: u32 = 3;

/// The number of recent answers whose outcomes are kept.
const RECENT_OUTCOMES: u32 = 16;

/// The number of failures among the recent answers that ejects a backend server.
const RECENT_FAILURE_LIMIT: u32 = 8;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HealthState {
    Serving,
    Returning { cap: u32 },
    Ejected { until: MonoTime },
}

/// The effect of a failure that the caller must apply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureEffect {
    /// The failure was counted and nothing else changes.
    Counted,
    /// The backend server should be ejected, or limited to probes if ejection is not possible.
    Eject,
}

/// The health state of one backend server.
#[derive(Debug)]
pub struct BackendHealth {
    state: HealthState,
    consecutive_failures: u32,
    recent_outcomes: u32,
    pause: Span,
    pause_floor: Span,
    pause_limit: Span,
}

impl BackendHealth {
    /// Creates the state of a backend server in normal service.
    pub fn open(pause_floor: Span, pause_limit: Span) -> Self {
        Self {
            state: HealthState::Serving,
            consecutive_failures: 0,
            recent_outcomes: 0,
            pause: pause_floor,
            pause_floor,
            pause_limit,
        }
    }

    /// Returns the most concurrent requests that its health allows now.
    pub fn cap(&self, now: MonoTime) -> u32 {
        match self.state {
            HealthState::Serving => u32::MAX,
            HealthState::Returning { cap } => cap,
            HealthState::Ejected { until } if now < until => 0,
            HealthState::Ejected { .. } => 1,
        }
    }

    /// Returns whether the backend server gets no work at all now.
    pub fn is_ejected(&self, now: MonoTime) -> bool {
        self.cap(now) == 0
    }

    /// Starts the return of the backend server if its ejection pause has passed.
    pub fn tick(&mut self, now: MonoTime) {
        if let HealthState::Ejected { until } = self.state
            && now >= until
        {
            self.state = HealthState::Returning { cap: 1 };
        }
    }

    /// Records a success; `slots` is the concurrency at which the return is complete.
    pub fn succeeded(&mut self, slots: u32, now: MonoTime) {
        self.tick(now);
        self.consecutive_failures = 0;
        self.recent_outcomes <<= 1;
        match self.state {
            HealthState::Returning { cap } if cap < slots => {
                self.state = HealthState::Returning { cap: cap + 1 };
            }
            HealthState::Returning { .. } => {
                self.state = HealthState::Serving;
                self.pause = self.pause_floor;
                self.recent_outcomes = 0;
            }
            HealthState::Serving | HealthState::Ejected { .. } => {}
        }
    }

    /// Records a failure and returns its effect.
    pub fn failed(&mut self, now: MonoTime) -> FailureEffect {
        self.tick(now);
        self.consecutive_failures += 1;
        self.recent_outcomes = (self.recent_outcomes << 1) | 1;
        let failures = (self.recent_outcomes & ((1 << RECENT_OUTCOMES) - 1)).count_ones();
        match self.state {
            HealthState::Returning { .. } => FailureEffect::Eject,
            HealthState::Serving if self.consecutive_failures >= CONSECUTIVE_FAILURE_LIMIT => {
                FailureEffect::Eject
            }
            HealthState::Serving if failures >= RECENT_FAILURE_LIMIT => FailureEffect::Eject,
            HealthState::Serving | HealthState::Ejected { .. } => FailureEffect::Counted,
        }
    }

    /// Ejects the backend server for its current pause and doubles the next one, up to the longest.
    pub fn eject(&mut self, now: MonoTime) {
        self.state = HealthState::Ejected {
            until: now + self.pause,
        };
        self.pause = Span(self.pause.0.saturating_mul(2)).min(self.pause_limit);
        self.consecutive_failures = 0;
    }

    /// Limits the backend server to one request at a time.
    pub fn limit_to_probes(&mut self) {
        self.state = HealthState::Returning { cap: 1 };
        self.consecutive_failures = 0;
    }
}

impl fmt::Display for BackendHealth {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.state {
            HealthState::Serving => write!(f, "serving"),
            HealthState::Returning { cap } => write!(f, "returning with {cap}"),
            HealthState::Ejected { until } => write!(f, "ejected until {until}"),
        }
    }
}
