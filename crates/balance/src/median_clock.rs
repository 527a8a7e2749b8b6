//! An estimate of true time from the wall clocks of all gateways.
//!
//! The windows of usage reports are in true time, and the wall clock of a machine may be wrong by seconds
//! or jump. The median of the clocks is right as long as more than half of them are.

use oleander_base::FastMap;
use oleander_base::prelude::*;

/// A time in microseconds since the start of 1970, in UTC.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct TrueTime(pub u64);

/// The greatest age of a clock sample that counts. Clocks drift by less than a tenth of a millisecond a
/// second.
const MAX_SAMPLE_AGE: Span = Span::from_secs(600);

/// Estimates true time from the wall clocks of all gateways, of which a few may be wrong by seconds.
#[derive(Debug, Default)]
pub struct MedianClock {
    samples: FastMap<u64, ClockSample>,
}

#[derive(Debug, Clone, Copy)]
struct ClockSample {
    /// The wall-clock time less the monotonic time, in microseconds.
    offset: i128,
    at: MonoTime,
}

impl MedianClock {
    /// Adds what the wall clock of a process showed at a monotonic time of this process. `incarnation` is the
    /// random number of that process; its last sample counts.
    pub fn observe(&mut self, incarnation: u64, wall: TrueTime, at: MonoTime) {
        let offset = i128::from(wall.0) - i128::from(at.0);
        self.samples.insert(incarnation, ClockSample { offset, at });
    }

    /// Returns the true time at `at` by the median clock; `None` without any sample.
    pub fn true_time(&self, at: MonoTime) -> Option<TrueTime> {
        let micros = i128::from(at.0) + self.offset(at)?;
        Some(TrueTime(u64::try_from(micros).unwrap_or(0)))
    }

    /// Returns the monotonic time of this process at a true time; `None` without any sample.
    pub fn mono_time(&self, time: TrueTime, now: MonoTime) -> Option<MonoTime> {
        let micros = i128::from(time.0) - self.offset(now)?;
        Some(MonoTime(u64::try_from(micros).unwrap_or(0)))
    }

    /// Returns the number of clocks that count.
    pub fn clocks(&self, now: MonoTime) -> usize {
        self.fresh(now).count()
    }

    /// Drops samples that do not count any longer.
    pub fn prune(&mut self, now: MonoTime) {
        self.samples
            .retain(|_, sample| now.since(sample.at) <= MAX_SAMPLE_AGE);
    }

    fn offset(&self, now: MonoTime) -> Option<i128> {
        let mut offsets: Vec<i128> = self.fresh(now).map(|sample| sample.offset).collect();
        offsets.sort_unstable();
        let upper = *offsets.get(offsets.len() / 2)?;
        let lower = offsets[(offsets.len() - 1) / 2];
        Some((lower + upper) / 2)
    }

    fn fresh(&self, now: MonoTime) -> impl Iterator<Item = &ClockSample> {
        let is_fresh = move |sample: &&ClockSample| now.since(sample.at) <= MAX_SAMPLE_AGE;
        self.samples.values().filter(is_fresh)
    }
}
