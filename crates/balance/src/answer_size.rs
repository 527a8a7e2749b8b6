//! The expected number of events of an answer, from the caller's hint and limit.
//!
//! A caller's hint is right in the median and often far off. The ratio of events to hinted tokens is
//! therefore learned with its spread, from the answers that were complete, and an answer's size is a
//! distribution. The ratio also covers how many tokens one event has, so no setting for that is needed.

/// The least weight of one answer in the moving averages, which so cover some 50 answers.
const SAMPLE_WEIGHT: f64 = 0.02;

/// The number of answers from which the ratio is used.
const MIN_SAMPLES: u32 = 8;

/// The smallest spread that is assumed, as the scale of a logistic distribution of the logarithm.
/// A narrower one would treat a guess as knowledge.
const MIN_SPREAD: f64 = 0.1;

/// The ratio of a logistic distribution's scale to its mean absolute deviation: 1 / (2 ln 2).
const SCALE_PER_DEVIATION: f64 = 0.721;

/// A caller's statement of the size of an answer, in tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct AnswerClaim {
    /// The caller's estimate.
    pub hint: Option<u32>,
    /// The greatest number of tokens; 0 if the caller names none.
    pub limit: u32,
}

impl AnswerClaim {
    /// Returns the claimed tokens, and the index of the ratio that is learned for claims of this kind; `None` if
    /// the caller claims nothing.
    fn reference(&self) -> Option<(f64, usize)> {
        match self.hint {
            Some(hint) if hint > 0 => Some((f64::from(hint), HINTED)),
            _ if self.limit > 0 => Some((f64::from(self.limit), LIMITED)),
            _ => None,
        }
    }
}

/// The index of the ratio of events to hinted tokens.
const HINTED: usize = 0;
/// The index of the ratio of events to the limit, for answers without a hint.
const LIMITED: usize = 1;

/// A ratio of events to claimed tokens: the median of its logarithm and the mean absolute deviation from that.
#[derive(Debug, Clone, Copy, Default)]
struct LearnedRatio {
    ln_median: f64,
    deviation: f64,
    samples: u32,
}

impl LearnedRatio {
    fn observe(&mut self, ln: f64) {
        self.samples = self.samples.saturating_add(1);
        // The first answers have equal weights.
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        self.ln_median += weight * (ln - self.ln_median);
        let deviation = (ln - self.ln_median).abs();
        self.deviation += weight * (deviation - self.deviation);
    }
}

/// The learned sizes of a service's answers.
#[derive(Debug, Default)]
pub struct AnswerSizes {
    ratios: [LearnedRatio; 2],
}

impl AnswerSizes {
    /// Records an answer that was complete with this number of events.
    pub fn observe(&mut self, claim: &AnswerClaim, events: usize) {
        if let (Some((tokens, index)), true) = (claim.reference(), events > 0) {
            self.ratios[index].observe((events as f64 / tokens).ln());
        }
    }

    /// Returns the expected size of an answer of which `received` events are there already; `None`
    /// if too little is known.
    pub fn expect(&self, claim: &AnswerClaim, received: usize) -> Option<AnswerSize> {
        let (tokens, index) = claim.reference()?;
        let ratio = self.ratios[index];
        if ratio.samples < MIN_SAMPLES {
            return None;
        }
        let median = tokens * ratio.ln_median.exp();
        let is_limited = index == HINTED && claim.limit > 0;
        Some(AnswerSize {
            median,
            spread: (ratio.deviation * SCALE_PER_DEVIATION).max(MIN_SPREAD),
            limit: is_limited.then(|| f64::from(claim.limit) * ratio.ln_median.exp()),
            received: received as f64,
        })
    }
}

/// The distribution of one answer's number of events.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AnswerSize {
    /// The median over whole answers.
    pub median: f64,
    /// The scale of the logistic distribution of the logarithm.
    pub spread: f64,
    /// The greatest number of events, if the caller names a limit besides its hint.
    pub limit: Option<f64>,
    /// The number of events that are there already.
    pub received: f64,
}

impl AnswerSize {
    /// Returns the probability that the rest of the answer has at most this number of events.
    pub fn chance_within(&self, events: f64) -> f64 {
        let all = self.received + events.max(0.0);
        if self.limit.is_some_and(|limit| all >= limit) {
            return 1.0;
        }
        let excluded = self.share_up_to(self.received);
        let left = 1.0 - excluded;
        if left <= f64::EPSILON {
            return 0.0;
        }
        (self.share_up_to(all) - excluded) / left
    }

    /// Returns the expected number of events that are still to come. It stays above zero for an answer that is
    /// longer than the median already.
    pub fn rest(&self) -> f64 {
        let floor = self.median * self.spread;
        (self.median - self.received).max(floor)
    }

    /// Returns the share of whole answers that have at most this number of events.
    fn share_up_to(&self, events: f64) -> f64 {
        if events <= 0.0 {
            return 0.0;
        }
        let distance = (events / self.median.max(f64::EPSILON)).ln() / self.spread;
        1.0 / (1.0 + (-distance).exp())
    }
}
