//! The adaptive concurrency limit of one backend server.
//!
//! The limit starts at the slots of the record, which it never exceeds. Each finished answer gives
//! a ratio to the target of its class: that of the time between tokens or that of the time to the
//! first token, whichever is larger. After a window of answers the limit follows the gradient,
//! which is the mean ratio: it shrinks in proportion while targets are missed and grows by a step
//! while they are met with a margin. A backend server that misses a target even when it is nearly
//! idle gains nothing from a smaller limit, so a target below the minimum time observed there, plus
//! a tolerance, is replaced by that value. The limit never falls below a quarter of the slots,
//! because a limit of one would leave too few answers to adapt from.
//!
//! The method is that of the gradient limits of Netflix's concurrency-limits library, with
//! service-level targets in place of the minimum round-trip time.

/// The smallest number of answers in a window.
const WINDOW_FLOOR: u32 = 8;

/// The mean ratio below which the limit grows.
const GROWTH_RATIO: f64 = 0.85;

/// The smallest factor that one window may apply to the limit.
const SHRINK_FACTOR_FLOOR: f64 = 0.7;

/// The multiple of the minimum time that does not yet count as overload.
const MINIMUM_TIME_TOLERANCE: f64 = 1.5;

/// The growth of the minimum time per sample, by which old minima are forgotten.
const MINIMUM_TIME_DRIFT: f64 = 1.002;

/// The divisor of the slots that gives the lower bound of the limit.
const SLOT_FLOOR_DIVISOR: u32 = 4;

/// One observed time of an answer, with the target of its class.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TargetSample {
    /// The observed time, in microseconds.
    pub(crate) observed: f64,
    /// The class's target, in microseconds.
    pub(crate) target: f64,
}

#[derive(Debug, Clone, Copy, Default)]
struct MinimumTime {
    micros: Option<f64>,
}

impl MinimumTime {
    fn ratio(&mut self, sample: TargetSample) -> f64 {
        let drifted = self.micros.map(|minimum| minimum * MINIMUM_TIME_DRIFT);
        let minimum = drifted.map_or(sample.observed, |minimum| minimum.min(sample.observed));
        self.micros = Some(minimum);
        sample.observed / sample.target.max(minimum * MINIMUM_TIME_TOLERANCE).max(1.0)
    }
}

/// The concurrency limit of one backend server and the samples of its current window.
#[derive(Debug)]
pub(crate) struct SlotLimit {
    slots: u32,
    limit: f64,
    ratio_sum: f64,
    samples: u32,
    minimum_gap: MinimumTime,
    minimum_first_token: MinimumTime,
}

impl SlotLimit {
    /// Creates a limit equal to the slots of the record.
    pub(crate) fn open(slots: u32) -> Self {
        Self {
            slots,
            limit: f64::from(slots),
            ratio_sum: 0.0,
            samples: 0,
            minimum_gap: MinimumTime::default(),
            minimum_first_token: MinimumTime::default(),
        }
    }

    /// Returns the current limit.
    pub(crate) fn get(&self) -> u32 {
        (self.limit.floor() as u32).clamp(self.floor(), self.slots)
    }

    /// Applies new slots of the record and scales the limit in proportion.
    pub(crate) fn set_slots(&mut self, slots: u32) {
        if slots == self.slots {
            return;
        }
        let scale = f64::from(slots) / f64::from(self.slots.max(1));
        self.slots = slots;
        self.limit = self.bounded(self.limit * scale);
    }

    /// Records the times of one answer, and adapts the limit at the end of a window.
    pub(crate) fn observe(&mut self, gap: Option<TargetSample>, first_token: Option<TargetSample>) {
        let gap = gap.map(|sample| self.minimum_gap.ratio(sample));
        let first_token = first_token.map(|sample| self.minimum_first_token.ratio(sample));
        let Some(ratio) = gap.into_iter().chain(first_token).reduce(f64::max) else {
            return;
        };
        self.ratio_sum += ratio;
        self.samples += 1;
        if self.samples >= WINDOW_FLOOR.max(self.get() / 2) {
            self.close_window();
        }
    }

    /// Lowers the limit by one after the backend server refused a request for lack of capacity.
    pub(crate) fn on_refusal(&mut self) {
        self.limit = self.bounded(self.limit - 1.0);
    }

    fn close_window(&mut self) {
        let ratio = self.ratio_sum / f64::from(self.samples);
        let next = if ratio > 1.0 {
            self.limit * (1.0 / ratio).max(SHRINK_FACTOR_FLOOR)
        } else if ratio < GROWTH_RATIO {
            self.limit + self.limit.sqrt().max(1.0)
        } else {
            self.limit
        };
        self.limit = self.bounded(next);
        self.ratio_sum = 0.0;
        self.samples = 0;
    }

    fn floor(&self) -> u32 {
        (self.slots / SLOT_FLOOR_DIVISOR).max(1).min(self.slots)
    }

    fn bounded(&self, limit: f64) -> f64 {
        limit.clamp(f64::from(self.floor()), f64::from(self.slots))
    }
}
