//! The crashes that one request or part of prompts is suspected of, and what follows from them.
//!
//! Three separate crashes without an answer in between put a suspect into quarantine, provided that other
//! answers of the service have begun meanwhile: in an outage of a whole service no answer clears any
//! suspect. Two crashes are separate if they are apart in time, or if the suspect was sent to the second
//! backend server after the first one had crashed.

use std::collections::VecDeque;

use oleander_base::prelude::*;

use crate::suspect_id::ServiceId;
use crate::suspect_probe::SuspectProbes;

/// The number of separate crashes after which a suspect is quarantined.
pub(crate) const MIN_CRASHES: usize = 3;

/// The time between two crashes from which on they are taken for separate. Backend servers that end
/// within a shorter time may share a cause outside the requests, such as a loss of power.
const SEPARATE_CRASH_GAP: Span = Span::from_millis(50);

/// The least number of crashes that are apart by [`SEPARATE_CRASH_GAP`].
const MIN_CRASH_MOMENTS: usize = 2;

/// How much earlier than a crash a send may seem to be that followed it, because gateways learn of each
/// other's crashes with a delay.
const SEND_ORDER_SLACK: Span = Span::from_millis(5);

/// The length of a quarantine after [`MIN_CRASHES`] crashes; it doubles with each further crash.
const MIN_QUARANTINE: Span = Span::from_secs(60);

/// How many times the length of a quarantine doubles.
const MAX_DOUBLINGS: u32 = 4;

/// How long an answer is evidence that a suspect is sound, and keeps older reports from making it a suspect
/// again.
const PROOF_TIME: Span = Span::from_secs(300);

/// How long gateways are told that a suspect was cleared of a crash.
const CLEARED_TOLD_TIME: Span = Span::from_secs(5);

/// The greatest number of crashes of one suspect that are remembered as cleared.
const MAX_CLEARED: usize = 256;

/// The greatest number of crashes that are kept for one suspect; the oldest are dropped first.
const MAX_CRASHES: usize = 24;

/// A time on this gateway's clock, in microseconds; negative before the clock began, as for what
/// another gateway saw earlier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PeerTime(i64);

impl PeerTime {
    pub(crate) fn here(at: MonoTime) -> Self {
        Self(i64::try_from(at.0).unwrap_or(i64::MAX))
    }

    pub(crate) fn before(age: Span, now: MonoTime) -> Self {
        let age = i64::try_from(age.0).unwrap_or(i64::MAX);
        Self(Self::here(now).0.saturating_sub(age))
    }

    pub(crate) fn age(self, now: MonoTime) -> Span {
        let now = i64::try_from(now.0).unwrap_or(i64::MAX);
        Span(u64::try_from(now.saturating_sub(self.0)).unwrap_or(0))
    }
}

/// A crash of a backend server that had a suspect.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SuspectCrash {
    /// The hash of the backend server's incarnation.
    pub(crate) backend: u64,
    /// When the suspect was sent there.
    pub(crate) sent_at: PeerTime,
    pub(crate) at: PeerTime,
}

impl SuspectCrash {
    /// Returns whether the crash was some time later than another one, or more.
    pub(crate) fn is_apart_from(&self, earlier: PeerTime, gap: Span) -> bool {
        self.at.0 - earlier.0 >= gap.0 as i64
    }

    fn was_sent_after(&self, earlier: PeerTime) -> bool {
        self.sent_at.0 + SEND_ORDER_SLACK.0 as i64 >= earlier.0
    }
}

/// A crash that an answer has cleared a suspect of.
#[derive(Debug, Clone, Copy)]
struct ClearedCrash {
    /// The hash of the backend server's incarnation.
    backend: u64,
    /// When this gateway learned that.
    known_at: PeerTime,
}

/// The crashes that one suspect is under suspicion of, and their consequences.
#[derive(Debug, Default)]
pub(crate) struct SuspectCrashes {
    /// The crashes since an answer last cleared it, oldest first.
    pub(crate) crashes: Vec<SuspectCrash>,
    /// The service of the last crash, if it is known.
    pub(crate) service: Option<ServiceId>,
    /// When this gateway learned of the crash with which there were [`MIN_CRASHES`].
    enough_since: Option<MonoTime>,
    /// The crashes that it has been cleared of, in the order in which they became known.
    ///
    /// Gateways tell each other these instead of a time, which each datagram would make later.
    cleared: VecDeque<ClearedCrash>,
    /// When an answer on it last began here.
    answered_at: Option<PeerTime>,
    pub(crate) is_quarantined: bool,
    pub(crate) probes: SuspectProbes,
}

impl SuspectCrashes {
    /// Adds a crash at a service that becomes known now; returns whether it is new and the suspect has not
    /// been cleared of it.
    pub(crate) fn add(
        &mut self,
        crash: SuspectCrash,
        service: Option<ServiceId>,
        now: MonoTime,
    ) -> bool {
        let was_cleared = self.was_cleared_of(crash.backend)
            || self
                .answered_at
                .is_some_and(|answered| crash.at <= answered);
        if was_cleared || self.has_crash(crash.backend) {
            return false;
        }
        let index = self.crashes.partition_point(|known| known.at <= crash.at);
        if index == self.crashes.len() {
            self.service = service.or(self.service);
        }
        self.crashes.insert(index, crash);
        if self.crashes.len() >= MIN_CRASHES {
            self.enough_since.get_or_insert(now);
        }
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
        true
    }

    /// Drops the crashes up to the begin of an answer here; returns whether there were any.
    pub(crate) fn clear(&mut self, at: PeerTime) -> bool {
        self.answered_at = self.answered_at.max(Some(at));
        let earlier = self.crashes.iter().filter(|crash| crash.at <= at);
        let backends: Vec<u64> = earlier.map(|crash| crash.backend).collect();
        self.clear_crashes(&backends, at)
    }

    /// Drops the crashes of which an answer has cleared it, as becomes known now; returns whether that is
    /// new.
    pub(crate) fn clear_crashes(&mut self, backends: &[u64], now: PeerTime) -> bool {
        let known = self.cleared.len();
        for backend in backends {
            if !self.was_cleared_of(*backend) {
                self.cleared.push_back(ClearedCrash {
                    backend: *backend,
                    known_at: now,
                });
            }
        }
        let is_new = self.cleared.len() > known;
        while self.cleared.len() > MAX_CLEARED {
            self.cleared.pop_front();
        }
        self.crashes
            .retain(|crash| !backends.contains(&crash.backend));
        if self.crashes.len() < MIN_CRASHES {
            self.enough_since = None;
            self.release();
        }
        is_new
    }

    /// Ends the quarantine.
    pub(crate) fn release(&mut self) {
        self.is_quarantined = false;
        self.probes = SuspectProbes::default();
    }

    fn was_cleared_of(&self, backend: u64) -> bool {
        self.cleared.iter().any(|known| known.backend == backend)
    }

    fn cleared_at(&self) -> Option<PeerTime> {
        self.cleared.back().map(|cleared| cleared.known_at)
    }

    /// Returns the backend servers of the crashes that it has lately been cleared of, by the hashes of
    /// their incarnations.
    ///
    /// They are kept for far longer than they are told, so that they are new to each gateway once.
    pub(crate) fn lately_cleared(&self, now: MonoTime) -> Vec<u64> {
        let latest = self.cleared.iter().rev().take(MAX_CRASHES);
        let told = latest.take_while(|cleared| cleared.known_at.age(now) < CLEARED_TOLD_TIME);
        told.map(|cleared| cleared.backend).collect()
    }

    /// Returns how much is known of it: the crashes that it is suspected of, and those that it was cleared of.
    /// A suspect that was cleared and forgotten would be quarantined again by a gateway that has not heard of it.
    pub(crate) fn weight(&self) -> usize {
        self.crashes.len() + self.cleared.len()
    }

    /// Returns when it was last suspected or cleared.
    pub(crate) fn changed_at(&self) -> Option<PeerTime> {
        let crashed_at = self.crashes.last().map(|crash| crash.at);
        crashed_at.max(self.cleared_at())
    }

    /// Returns whether an answer has shown lately that it is sound.
    pub(crate) fn is_proven(&self, now: MonoTime) -> bool {
        let proven_at = self.cleared_at().max(self.answered_at);
        proven_at.is_some_and(|at| at.age(now) < PROOF_TIME)
    }

    /// Returns whether it was at a backend server that crashed.
    pub(crate) fn has_crash(&self, backend: u64) -> bool {
        self.crashes.iter().any(|crash| crash.backend == backend)
    }

    /// Returns the number of crashes that are separate from the one before that counts.
    fn count_separate(&self, is_separate: impl Fn(&SuspectCrash, PeerTime) -> bool) -> usize {
        let mut count = 0;
        let mut last: Option<PeerTime> = None;
        for crash in &self.crashes {
            if last.is_none_or(|last| is_separate(crash, last)) {
                count += 1;
                last = Some(crash.at);
            }
        }
        count
    }

    /// Returns whether enough of the crashes are separate.
    fn has_separate_crashes(&self) -> bool {
        let is_apart = |crash: &SuspectCrash, last| crash.is_apart_from(last, SEPARATE_CRASH_GAP);
        let moments = self.count_separate(is_apart);
        let separate =
            self.count_separate(|crash, last| is_apart(crash, last) || crash.was_sent_after(last));
        moments >= MIN_CRASH_MOMENTS && separate >= MIN_CRASHES
    }

    /// Returns whether the crashes suffice for a quarantine, given when any answer of the service last
    /// began and how long others may still clear the suspect after enough crashes became known.
    pub(crate) fn needs_quarantine(
        &self,
        observation_time: Span,
        service_begun: Option<PeerTime>,
        now: MonoTime,
    ) -> bool {
        let Some(first) = self.crashes.first() else {
            return false;
        };
        self.enough_since
            .is_some_and(|enough| now.since(enough) >= observation_time)
            && service_begun.is_some_and(|begun| begun > first.at)
            && self.has_separate_crashes()
    }

    /// Returns how long the quarantine lasts from the last crash on.
    fn quarantine_time(&self) -> Span {
        quarantine_time(self.crashes.len())
    }

    /// Returns how long it is until a request may be sent to find out whether it still crashes backend
    /// servers; a disputed suspect is probed sooner.
    pub(crate) fn time_to_probe(&self, is_disputed: bool, now: MonoTime) -> Span {
        let early = self.probes.early_delay().filter(|_| is_disputed);
        let delay = early.unwrap_or_else(|| self.quarantine_time());
        let last = self.crashes.last();
        last.map_or(Span::ZERO, |last| delay.saturating_sub(last.at.age(now)))
            .max(self.probes.time_left(now))
    }

    /// Returns whether its last crash is too old to matter.
    pub(crate) fn has_lapsed(&self, now: MonoTime) -> bool {
        let last = self.crashes.last();
        last.is_some_and(|last| is_too_old(last.at.age(now), self.crashes.len()))
    }

    /// Drops crashes that are too old to matter; returns whether that ends a quarantine.
    pub(crate) fn lapse(&mut self, now: MonoTime) -> bool {
        if !self.has_lapsed(now) {
            return false;
        }
        let was_quarantined = self.is_quarantined;
        self.crashes.clear();
        self.enough_since = None;
        self.release();
        was_quarantined
    }

    /// Returns whether nothing more follows from what is known.
    pub(crate) fn is_expired(&self, now: MonoTime) -> bool {
        self.crashes.is_empty() && !self.is_proven(now)
    }
}

/// Returns whether crashes of one suspect are too old to matter, by the age of the last one.
pub(crate) fn is_too_old(last_age: Span, crashes: usize) -> bool {
    last_age >= Span(quarantine_time(crashes).0 * 2)
}

fn quarantine_time(crashes: usize) -> Span {
    let further = crashes.saturating_sub(MIN_CRASHES);
    let doublings = u32::try_from(further)
        .unwrap_or(u32::MAX)
        .min(MAX_DOUBLINGS);
    Span(MIN_QUARANTINE.0 << doublings)
}
