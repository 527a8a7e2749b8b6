//! The adaptive concurrency limit of one backend server.
//!
//! The limit starts at the slots of the record, which it never exceeds. Each finished answer gives
//! a ratio: the time between tokens, or the time to the first token, against the target of its
//! class, whichever is worse. After a window of answers the limit follows the gradient, that is
//! the mean ratio: it shrinks in proportion while targets are missed and grows by a step while
//! they are met with room to spare. A backend server that misses a target even when it is nearly
//! idle gains nothing from a smaller limit, so the least time seen there, with some tolerance,
//! takes the place of a target that is shorter. The limit never falls below a quarter of the
//! slots, because a limit of one would leave too few answers to learn from.
//!
//! The method is that of the gradient limits of Netflix's concurrency-limits library, with
//! targets of service levels in place of the least round-trip time.

/// The fewest answers between two changes of the limit.
const WINDOW_FLOOR: u32 = 8;

/// The mean ratio below which the limit grows.
const GROWTH_RATIO: f64 = 0.85;

/// The strongest reduction in one window.
const SHRINK_FACTOR_FLOOR: f64 = 0.7;

/// How far above its least time a backend server may be before that counts as overload.
const MINIMUM_TIME_TOLERANCE: f64 = 1.5;

/// How fast the least time is forgotten, for each sample.
const MINIMUM_TIME_DRIFT: f64 = 1.002;

/// The divisor of the slots that gives the smallest limit.
const SLOT_FLOOR_DIVISOR: u32 = 4;

/// A time of one answer, with the target of its class.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TargetSample {
    /// What was seen, in microseconds.
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

/// The limit of one backend server.
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
    /// Opens a limit at the slots of the record.
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

    /// Returns the limit in force.
    pub(crate) fn get(&self) -> u32 {
        (self.limit.floor() as u32).clamp(self.floor(), self.slots)
    }

    /// Takes new slots of the record; a limit at the old slots goes along.
    pub(crate) fn set_slots(&mut self, slots: u32) {
        if slots == self.slots {
            return;
        }
        let scale = f64::from(slots) / f64::from(self.slots.max(1));
        self.slots = slots;
        self.limit = self.bounded(self.limit * scale);
    }

    /// Learns from one answer.
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

    /// Learns that the backend server refused a request for want of room.
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
