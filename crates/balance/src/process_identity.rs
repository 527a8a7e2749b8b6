//! What is known of the process that a registry entry describes.
//!
//! A backend server may start again under its id, at its address and with other software, before its entry says so.
//! Streams are bound to the software version that an entry names, so they need to know whether a connection leads to the
//! process that the entry describes. A connection leads to one process for its whole life. So a connection on which the
//! process has told its start time is proven once for all, and nothing else proves one: what accepts a connection may be
//! something between, which connects it to the process later. The process itself shows that it runs: by telling its start
//! time, by an answer on a connection that is known to lead to it, and by writing its entry.
//!
//! Some backend servers do not tell their start times. There, an address counts as that of one process at a time, so that
//! each connection that was made until the process was last known to run leads to it; otherwise signs that the process
//! has ended decide ([`ProcessDoubt`]).
//!
//! One that does not reply to a query is not one of these: it may not have heard the query, or may not be heard. Nor is
//! one that refuses the query for a moment. Streams do not go on there; they begin there after some queries without a
//! report, and their version is then not certain.

use oleander_base::prelude::*;

use crate::process_doubt::ProcessDoubt;

/// After how many queries without a report streams begin unasked at a backend server that has made none.
const MAX_UNHEARD: u8 = 3;

/// How long streams then begin there before it is asked once more.
const UNASKED_TIME: Span = Span::from_secs(1);

/// The relation of a connection's process to the one that the registry entry describes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessLink {
    /// The connection leads to the process.
    Proven,
    /// Nothing shows that it leads to another one.
    Presumed,
    /// It may lead to another one.
    Doubtful,
}

/// Whether a backend server tells when its process started, as far as it has replied.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum StartReport {
    /// It was not asked, or has not replied.
    #[default]
    Unknown,
    /// It has told the start of this process.
    Told,
    /// It replies, and does not tell.
    Untold,
    /// It takes a query for a request.
    Misread,
}

/// The queries without a reply since the last one that brought one.
#[derive(Debug, Clone, Copy, Default)]
struct UnheardQueries {
    count: u8,
    /// When the last one that was counted ended.
    ended_at: MonoTime,
}

impl UnheardQueries {
    /// Counts a query. Queries that overlap are one: what keeps one of them from being heard keeps the others.
    fn record(&mut self, asked_at: MonoTime, now: MonoTime) {
        if self.count == 0 || self.ended_at <= asked_at {
            self.count = self.count.saturating_add(1);
            self.ended_at = now;
        }
    }
}

/// The start that the process at the other end of a connection has told on it, against the registry entry's.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ProcessProof {
    /// Nothing.
    #[default]
    None,
    /// It is the one that the registry entry describes.
    Expected,
    /// It is another one.
    Other,
}

/// The proofs and signs of the process that a registry entry describes.
#[derive(Debug, Clone, Copy, Default)]
pub struct ProcessIdentity {
    /// The latest time at which it is known to have run.
    ran_at: Option<MonoTime>,
    /// When another process was met at its address.
    replaced_at: Option<MonoTime>,
    report: StartReport,
    unheard: UnheardQueries,
    doubt: ProcessDoubt,
}

impl ProcessIdentity {
    /// Notes that the process ran at a time.
    pub fn confirm(&mut self, ran_at: MonoTime) {
        self.ran_at = self.ran_at.max(Some(ran_at));
        self.replaced_at.take_if(|replaced| *replaced < ran_at);
        self.doubt.on_entry(ran_at);
    }

    /// Notes that the process told its start time when it was asked at a time.
    pub fn on_told(&mut self, asked_at: MonoTime) {
        self.report = StartReport::Told;
        self.unheard = UnheardQueries::default();
        self.confirm(asked_at);
    }

    /// Notes that the backend server replied and did not tell its start time; returns whether it counts as one that never
    /// does. One that has told it before gave a bad answer.
    pub fn on_untold(&mut self) -> bool {
        if self.report == StartReport::Unknown {
            self.report = StartReport::Untold;
        }
        self.report == StartReport::Untold
    }

    /// Notes that the backend server took a query for a request.
    pub fn on_misread(&mut self) {
        if self.report != StartReport::Told {
            self.report = StartReport::Misread;
        }
    }

    /// Notes that the backend server may tell its start time after all, as others of its software version do.
    pub fn forget_untold(&mut self) {
        if !self.can_be_asked() {
            self.report = StartReport::Unknown;
        }
    }

    /// Notes that a query that was sent at a time has brought no reply, or a refusal for the moment.
    pub fn on_unheard(&mut self, asked_at: MonoTime, now: MonoTime) {
        self.unheard.record(asked_at, now);
    }

    /// Notes that another process was met at its address.
    pub fn mark_replaced(&mut self, now: MonoTime) {
        self.replaced_at = self.replaced_at.max(Some(now));
    }

    /// Notes a sign that the process has ended.
    pub fn raise_doubt(&mut self, now: MonoTime) {
        self.doubt.raise(now);
    }

    /// Notes that a connection to the process broke.
    pub fn on_break(&mut self, now: MonoTime) {
        self.doubt.on_break(now);
    }

    /// Notes that bytes arrived on a connection that was made at `connected_at`.
    pub fn on_bytes(&mut self, connected_at: MonoTime, arrived_at: MonoTime) {
        self.doubt.on_bytes(connected_at, arrived_at);
    }

    /// Forgets the signs that the process has ended, of which it was not the cause.
    pub fn forget_signs(&mut self) {
        self.doubt = ProcessDoubt::default();
    }

    /// Returns whether another process was met at its address, which no entry describes yet.
    pub fn is_replaced(&self) -> bool {
        self.replaced_at.is_some()
    }

    /// Returns whether a connection that was made at a time leads to the process, by what was told on it and by when it
    /// was made. The time proves nothing if the process can be asked.
    pub fn link(&self, proof: ProcessProof, connected_at: MonoTime) -> ProcessLink {
        match proof {
            ProcessProof::Expected => ProcessLink::Proven,
            ProcessProof::Other => ProcessLink::Doubtful,
            ProcessProof::None if self.can_be_asked() => self.unproven_link(connected_at),
            ProcessProof::None => self.link_by_time(connected_at),
        }
    }

    fn link_by_time(&self, connected_at: MonoTime) -> ProcessLink {
        if self.ran_at.is_some_and(|ran_at| connected_at <= ran_at) {
            ProcessLink::Proven
        } else {
            self.unproven_link(connected_at)
        }
    }

    fn unproven_link(&self, connected_at: MonoTime) -> ProcessLink {
        if self.is_replaced() || self.is_unheard() || self.doubt.covers(connected_at) {
            ProcessLink::Doubtful
        } else {
            ProcessLink::Presumed
        }
    }

    /// Returns whether the backend server may tell its start time when it is asked.
    pub fn can_be_asked(&self) -> bool {
        !matches!(self.report, StartReport::Untold | StartReport::Misread)
    }

    /// Returns whether the backend server may reply to a query, with its start time or without.
    pub fn may_reply(&self) -> bool {
        self.report != StartReport::Misread
    }

    /// Returns whether the last query to a backend server that can be asked brought no reply.
    fn is_unheard(&self) -> bool {
        self.can_be_asked() && self.unheard.count > 0
    }

    /// Returns whether streams begin at the backend server although it has not replied to a query. It may serve them
    /// without ever replying to one.
    pub fn begins_unasked(&self, now: MonoTime) -> bool {
        self.report == StartReport::Unknown
            && self.unheard.count >= MAX_UNHEARD
            && now < self.unheard.ended_at + UNASKED_TIME
    }

    /// Returns whether streams may go on at the backend server. One that can be asked has to prove then that it is the
    /// process.
    pub fn takes_resumes(&self) -> bool {
        self.can_be_asked() || !self.doubt.is_raised()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const EARLY: MonoTime = MonoTime(1_000);
    const MIDDLE: MonoTime = MonoTime(2_000);
    const LATE: MonoTime = MonoTime(3_000);

    fn unasked(identity: &ProcessIdentity, connected_at: MonoTime) -> ProcessLink {
        identity.link(ProcessProof::None, connected_at)
    }

    /// Returns what is known of a process that does not tell its start time.
    fn untold() -> ProcessIdentity {
        let mut identity = ProcessIdentity::default();
        identity.on_untold();
        identity
    }

    #[test]
    fn connections_until_the_last_proof_lead_to_the_process() {
        let mut identity = untold();
        assert_eq!(unasked(&identity, EARLY), ProcessLink::Presumed);
        identity.confirm(MIDDLE);
        identity.confirm(EARLY);
        assert_eq!(unasked(&identity, EARLY), ProcessLink::Proven);
        assert_eq!(unasked(&identity, MIDDLE), ProcessLink::Proven);
        assert_eq!(unasked(&identity, LATE), ProcessLink::Presumed);
    }

    // Guards against a connection that counts as proven although something between accepted it before the process started.
    #[test]
    fn only_its_own_proof_counts_for_a_connection_to_a_process_that_tells_its_start() {
        let mut identity = ProcessIdentity::default();
        identity.on_told(MIDDLE);
        for (proof, link) in [
            (ProcessProof::None, ProcessLink::Presumed),
            (ProcessProof::Expected, ProcessLink::Proven),
            (ProcessProof::Other, ProcessLink::Doubtful),
        ] {
            assert_eq!(identity.link(proof, EARLY), link);
        }
        identity.mark_replaced(LATE);
        assert_eq!(unasked(&identity, EARLY), ProcessLink::Doubtful);
        assert_eq!(
            identity.link(ProcessProof::Expected, LATE),
            ProcessLink::Proven
        );
    }

    #[test]
    fn a_process_that_was_replaced_keeps_its_connections_until_it_is_met_again() {
        let mut identity = untold();
        identity.confirm(EARLY);
        identity.mark_replaced(MIDDLE);
        assert_eq!(unasked(&identity, EARLY), ProcessLink::Proven);
        assert_eq!(unasked(&identity, MIDDLE), ProcessLink::Doubtful);
        identity.confirm(EARLY);
        assert!(identity.is_replaced(), "the proof is older");
        identity.confirm(LATE);
        assert!(!identity.is_replaced());
        assert_eq!(unasked(&identity, LATE), ProcessLink::Proven);
    }

    #[test]
    fn signs_keep_resumes_only_from_backend_servers_that_cannot_be_asked() {
        let mut identity = ProcessIdentity::default();
        identity.raise_doubt(MIDDLE);
        assert!(identity.takes_resumes() && identity.can_be_asked());
        assert_eq!(unasked(&identity, LATE), ProcessLink::Doubtful);
        assert!(identity.on_untold());
        assert!(!identity.takes_resumes() && !identity.can_be_asked());
        identity.confirm(LATE);
        assert!(identity.takes_resumes());
        assert_eq!(unasked(&identity, LATE), ProcessLink::Proven);
    }

    #[test]
    fn a_backend_server_that_has_told_its_start_can_be_asked_again_after_a_bad_answer() {
        let mut identity = ProcessIdentity::default();
        identity.on_told(MIDDLE);
        assert!(!identity.on_untold());
        assert!(identity.can_be_asked());
        assert_eq!(
            identity.link(ProcessProof::Expected, MIDDLE),
            ProcessLink::Proven
        );
    }

    #[test]
    fn streams_begin_at_a_backend_server_that_never_replies_and_are_of_no_certain_version() {
        const TIMEOUT: Span = Span::from_millis(500);
        let mut identity = ProcessIdentity::default();
        let mut now = EARLY;
        for _ in 0..MAX_UNHEARD {
            assert!(!identity.begins_unasked(now));
            identity.on_unheard(now, now + TIMEOUT);
            now = now + TIMEOUT;
        }
        assert!(identity.begins_unasked(now) && identity.can_be_asked());
        assert_eq!(unasked(&identity, now), ProcessLink::Doubtful);
        assert!(!identity.begins_unasked(now + UNASKED_TIME), "it is asked");
        identity.on_told(now);
        assert!(!identity.begins_unasked(now));
        assert_eq!(unasked(&identity, now), ProcessLink::Presumed);
    }

    #[test]
    fn queries_that_overlap_show_one_silence() {
        let mut identity = ProcessIdentity::default();
        for _ in 0..MAX_UNHEARD {
            identity.on_unheard(EARLY, MIDDLE);
        }
        assert!(!identity.begins_unasked(MIDDLE));
    }

    #[test]
    fn streams_begin_unasked_at_no_backend_server_that_has_told_its_start() {
        let mut identity = ProcessIdentity::default();
        identity.on_told(EARLY);
        for _ in 0..=MAX_UNHEARD {
            identity.on_unheard(MIDDLE, MIDDLE);
        }
        assert!(!identity.begins_unasked(MIDDLE));
        assert_eq!(
            identity.link(ProcessProof::Expected, EARLY),
            ProcessLink::Proven
        );
        assert_eq!(unasked(&identity, LATE), ProcessLink::Doubtful);
    }

    #[test]
    fn signs_of_another_cause_are_forgotten_and_proofs_are_not() {
        let mut identity = untold();
        identity.confirm(EARLY);
        identity.raise_doubt(MIDDLE);
        identity.forget_signs();
        assert_eq!(unasked(&identity, EARLY), ProcessLink::Proven);
        assert_eq!(unasked(&identity, LATE), ProcessLink::Presumed);
    }
}
