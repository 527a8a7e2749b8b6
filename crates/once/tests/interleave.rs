//! An exhaustive exploration of two entry VMs, one store and three requests with one key.
//!
//! The exploration runs the production state machines (`ShardWriter`, `ClaimRecords`,
//! `SendDeadline`) against a model of the store. It branches over the order of all steps, lost
//! answers, writes that take effect late, refused writes, one crash, one pause and lost answers of
//! the service. It checks that a key has at most one effect and that no request that was answered
//! "not run" has one. Each [`Flaw`] removes one rule, and the exploration must detect it.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

use bytes::Bytes;
use oleander_base::prelude::*;
use oleander_once::{
    BodyHash, ClaimDecision, ClaimEntry, ClaimOutcome, ClaimRecords, ClaimReply, KeyHash,
    ListedArchive, NotWritten, SendDeadline, ShardWriter, StoreStep, TableLimits, WriterLimits,
};
use oleander_platform::{Expected, StoreError};

const KEY: KeyHash = KeyHash([1; 16]);
const OTHER_KEY: KeyHash = KeyHash([2; 16]);
const BODY: BodyHash = BodyHash([3; 8]);
const SEND_LIMIT: Span = Span::from_secs(10);
const RETENTION: Span = Span::from_secs(100);
const SHORT_PAUSE: Span = Span::from_secs(50);
const LONG_PAUSE: Span = Span::from_secs(200);
const STATE_LIMIT: usize = 6_000_000;

/// Names the rule that a faulty variant leaves out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Flaw {
    None,
    /// A write whose answer was lost is taken for a granted claim.
    TrustUnknown,
    /// A request runs under the claim of an instance that is gone.
    TakeOver,
    /// A request runs under a claim of its instance that the table no longer records.
    RunForgotten,
    /// The age of a claim is not checked before the send.
    SkipDeadline,
    /// A request that may have run is reported as not run.
    DenySend,
}

/// Counts the faults that may still occur on one path.
#[derive(Debug, Clone, Copy, Hash)]
struct Budget {
    store_faults: u32,
    service_faults: u32,
    crashes: u32,
    abandons: u32,
    short_pauses: u32,
    long_pauses: u32,
}

#[derive(Debug, Clone, Copy)]
struct Scenario {
    flaw: Flaw,
    budget: Budget,
    segment_bytes: usize,
    /// How many keys a claim table records; with one, a second key evicts the first.
    records: usize,
    /// Whether a request with another key arrives too.
    has_other_claims: bool,
    /// Whether the first node's claims are also committed by the second one. The first reply is
    /// used; the other counts as lost.
    commits_at_peer: bool,
}

/// A tail write that has been sent and has not reached the store.
#[derive(Debug, Clone)]
struct TailWrite {
    expected: Expected,
    value: Bytes,
}

impl Hash for TailWrite {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        let revision = match self.expected {
            Expected::Absent => None,
            Expected::At(revision) => Some(revision),
        };
        (revision, &self.value).hash(hasher);
    }
}

#[derive(Debug, Clone, Hash, Default)]
struct ModelStore {
    revision: u64,
    tail: Option<(Revision, Bytes)>,
    archives: BTreeMap<u64, (Revision, Bytes)>,
    late: Vec<TailWrite>,
}

impl ModelStore {
    fn write_tail(&mut self, expected: Expected, value: &Bytes) -> Result<Revision, StoreError> {
        let current = self.tail.as_ref().map(|(revision, _)| *revision);
        if current.map_or(Expected::Absent, Expected::At) != expected {
            return Err(StoreError::Conflict { current });
        }
        self.revision += 1;
        self.tail = Some((Revision(self.revision), value.clone()));
        Ok(Revision(self.revision))
    }

    fn write_archive(&mut self, seq: u64, value: &Bytes) -> Result<Revision, StoreError> {
        if let Some((revision, _)) = self.archives.get(&seq) {
            let current = Some(*revision);
            return Err(StoreError::Conflict { current });
        }
        self.revision += 1;
        let revision = Revision(self.revision);
        self.archives.insert(seq, (revision, value.clone()));
        Ok(revision)
    }

    fn listed(&self, after: Option<u64>) -> Vec<ListedArchive> {
        let first = after.map_or(0, |seq| seq + 1);
        let archives = self.archives.range(first..);
        archives
            .map(|(seq, (revision, value))| ListedArchive {
                seq: *seq,
                revision: *revision,
                value: value.clone(),
            })
            .collect()
    }
}

/// Models an entry VM.
///
/// The hash covers only the kind of a pending step, since the writer determines its content; only
/// a tail write is hashed in full.
#[derive(Debug, Clone)]
struct ModelNode {
    me: InstanceId,
    records: ClaimRecords,
    writer: ShardWriter,
    waiting: Vec<ClaimEntry>,
    group: Vec<ClaimEntry>,
    step: Option<StoreStep>,
    has_unknown: bool,
}

impl Hash for ModelNode {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        (self.me, self.has_unknown).hash(hasher);
        (&self.records, &self.writer, &self.waiting, &self.group).hash(hasher);
        let write = match &self.step {
            Some(StoreStep::WriteTail { expected, value }) => Some(TailWrite {
                expected: *expected,
                value: value.clone(),
            }),
            _ => None,
        };
        (self.step.as_ref().map(std::mem::discriminant), write).hash(hasher);
    }
}

impl ModelNode {
    fn new(index: usize, incarnation: u64, scenario: &Scenario) -> Self {
        let me = InstanceId {
            address: SocketAddr::from(([127, 0, 0, 1], index as u16 + 1)),
            incarnation,
        };
        let limits = TableLimits {
            send_limit: match scenario.flaw {
                Flaw::SkipDeadline => Span(u64::MAX),
                _ => SEND_LIMIT,
            },
            retention: RETENTION,
            records: scenario.records,
            kept_bytes: 1_000,
            answer_bytes: 100,
        };
        let writer = ShardWriter::new(WriterLimits {
            segment_bytes: scenario.segment_bytes,
            segments: 10,
            retention: RETENTION,
        });
        Self {
            me,
            records: ClaimRecords::new(me, limits),
            writer,
            waiting: Vec::new(),
            group: Vec::new(),
            step: None,
            has_unknown: false,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum CallState {
    /// The caller has sent it to an entry VM, which has not processed it.
    Arrived,
    /// It waits for its claim.
    Claiming,
    /// It may run under a claim whose request arrived at this time.
    MayRun { claimed: MonoTime },
    /// It has passed the deadline check.
    Checked,
    /// The caller has received this verdict.
    Answered(Verdict),
}

#[derive(Debug, Clone, Copy, Hash)]
struct ModelCall {
    node: usize,
    key: KeyHash,
    request: RequestId,
    arrived: MonoTime,
    is_forwarded: bool,
    state: CallState,
    effects: u32,
}

/// Holds one state of the model, from which the exploration branches.
#[derive(Debug, Clone)]
struct World {
    scenario: Scenario,
    now: MonoTime,
    budget: Budget,
    store: ModelStore,
    nodes: [ModelNode; 2],
    calls: Vec<ModelCall>,
    next_serial: u64,
}

impl World {
    fn new(scenario: Scenario) -> Self {
        let nodes = [0, 1].map(|index| ModelNode::new(index, 1, &scenario));
        let mut world = Self {
            scenario,
            now: MonoTime(0),
            budget: scenario.budget,
            store: ModelStore::default(),
            nodes,
            calls: Vec::new(),
            next_serial: 0,
        };
        // The first request and two repeats of it.
        for node in [0, 1, 0] {
            world.arrive(node, KEY);
        }
        if scenario.has_other_claims {
            world.arrive(1, OTHER_KEY);
        }
        world
    }

    fn arrive(&mut self, node: usize, key: KeyHash) {
        let request = RequestId {
            origin: self.nodes[node].me,
            serial: self.next_serial,
        };
        self.next_serial += 1;
        self.calls.push(ModelCall {
            node,
            key,
            request,
            arrived: self.now,
            is_forwarded: false,
            state: CallState::Arrived,
            effects: 0,
        });
    }

    fn check(&self) -> Result<(), String> {
        for key in [KEY, OTHER_KEY] {
            let calls = self.calls.iter().filter(|call| call.key == key);
            let effects: u32 = calls.map(|call| call.effects).sum();
            if effects > 1 {
                return Err(format!("{key} has {effects} effects"));
            }
        }
        for call in &self.calls {
            if call.state == CallState::Answered(Verdict::NotRun) && call.effects > 0 {
                return Err(format!("{} was told not-run and ran", call.request));
            }
        }
        for node in &self.nodes {
            node.writer.verify()?;
            node.records.verify()?;
        }
        Ok(())
    }

    /// Returns a hash of all state that later steps depend on.
    fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.now, &self.budget, &self.calls).hash(&mut hasher);
        self.store.hash(&mut hasher);
        for node in &self.nodes {
            node.hash(&mut hasher);
        }
        hasher.finish()
    }

    /// Returns every state that one step leads to.
    fn successors(&self) -> Vec<Self> {
        let mut worlds = Vec::new();
        for index in 0..self.calls.len() {
            self.call_steps(index, &mut worlds);
        }
        for index in 0..self.nodes.len() {
            self.node_steps(index, &mut worlds);
        }
        self.late_writes(&mut worlds);
        self.crashes(&mut worlds);
        self.pauses(&mut worlds);
        worlds
    }

    fn with(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut world = self.clone();
        change(&mut world);
        world
    }

    fn call_steps(&self, index: usize, worlds: &mut Vec<Self>) {
        match self.calls[index].state {
            CallState::Arrived => worlds.push(self.with(|world| world.begin(index))),
            CallState::Claiming if self.budget.abandons > 0 => {
                worlds.push(self.with(|world| world.abandon(index)));
            }
            CallState::MayRun { claimed } => {
                worlds.push(self.with(|world| world.check_deadline(index, claimed)));
            }
            CallState::Checked => self.send_steps(index, worlds),
            CallState::Claiming | CallState::Answered(_) => {}
        }
    }

    fn begin(&mut self, index: usize) {
        let call = self.calls[index];
        let records = &mut self.nodes[call.node].records;
        let decision = records.begin(call.key, BODY, call.request, call.arrived, self.now);
        let state = match decision {
            ClaimDecision::Claim => {
                let entry = ClaimEntry {
                    key: call.key,
                    body: BODY,
                    request: call.request,
                };
                self.nodes[call.node].waiting.push(entry);
                if self.scenario.commits_at_peer && call.node == 0 {
                    self.nodes[1].waiting.push(entry);
                }
                CallState::Claiming
            }
            ClaimDecision::Run { claimed } => CallState::MayRun { claimed },
            ClaimDecision::Busy(_) => CallState::Answered(Verdict::MayHaveRun),
            ClaimDecision::Done(result) => CallState::Answered(result.verdict),
            ClaimDecision::Ended { verdict, .. } => CallState::Answered(verdict),
            ClaimDecision::BodyMismatch | ClaimDecision::Expired | ClaimDecision::Full => {
                CallState::Answered(Verdict::NotRun)
            }
        };
        self.calls[index].state = state;
    }

    fn abandon(&mut self, index: usize) {
        let call = self.calls[index];
        self.budget.abandons -= 1;
        self.nodes[call.node]
            .records
            .abandon(call.key, call.request);
        self.calls[index].state = CallState::Answered(Verdict::NotRun);
    }

    fn check_deadline(&mut self, index: usize, claimed: MonoTime) {
        let deadline = SendDeadline::new(claimed, SEND_LIMIT);
        let skips = self.scenario.flaw == Flaw::SkipDeadline;
        if skips || deadline.check(self.now).is_ok() {
            self.calls[index].state = CallState::Checked;
        } else {
            self.end(index, Verdict::NotRun, 0);
        }
    }

    fn send_steps(&self, index: usize, worlds: &mut Vec<Self>) {
        worlds.push(self.with(|world| world.end(index, Verdict::Ran, 1)));
        if self.budget.service_faults == 0 {
            return;
        }
        let lost = match self.scenario.flaw {
            Flaw::DenySend => Verdict::NotRun,
            _ => Verdict::MayHaveRun,
        };
        for (verdict, effects) in [(lost, 1), (Verdict::MayHaveRun, 0), (Verdict::NotRun, 0)] {
            worlds.push(self.with(|world| {
                world.budget.service_faults -= 1;
                world.end(index, verdict, effects);
            }));
        }
    }

    fn end(&mut self, index: usize, verdict: Verdict, effects: u32) {
        let call = self.calls[index];
        let records = &mut self.nodes[call.node].records;
        records.finish(call.key, call.request, verdict, None);
        self.calls[index].effects += effects;
        self.calls[index].state = CallState::Answered(verdict);
    }

    fn node_steps(&self, index: usize, worlds: &mut Vec<Self>) {
        let node = &self.nodes[index];
        if node.group.is_empty() && node.waiting.is_empty() {
            return;
        }
        let Some(step) = &node.step else {
            worlds.push(self.with(|world| world.compose(index)));
            return;
        };
        worlds.push(self.with(|world| world.execute(index, step)));
        if self.budget.store_faults > 0 {
            self.faulty_steps(index, step, worlds);
        }
    }

    /// Asks the writer for a step, as the driver does; other steps may come before its execution.
    fn compose(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if node.group.is_empty() {
            node.group = std::mem::take(&mut node.waiting);
            node.has_unknown = false;
        }
        let step = node.writer.next_step(&node.group, now);
        if step == StoreStep::Resolved {
            self.answer_group(index, ClaimReply::Unknown);
        } else {
            node.step = Some(step);
        }
    }

    fn execute(&mut self, index: usize, step: &StoreStep) {
        let now = self.now;
        let node = &mut self.nodes[index];
        node.step = None;
        match step {
            StoreStep::ReadTail => {
                let tail = self.store.tail.as_ref();
                let found = tail.map(|(revision, value)| (*revision, &value[..]));
                node.writer.on_tail(found, now).expect("the log is sound");
            }
            StoreStep::ListArchives { after } => {
                let page = self.store.listed(*after);
                if node.writer.on_archives(&page, false).is_err() {
                    self.answer_group(index, ClaimReply::NotWritten(NotWritten::StoreUnavailable));
                }
            }
            StoreStep::WriteArchive { seq, value } => {
                let result = self.store.write_archive(*seq, value);
                node.writer.on_archive_written(&result);
            }
            StoreStep::WriteTail { expected, value } => {
                let result = self.store.write_tail(*expected, value);
                node.writer.on_tail_written(&result, now);
                while let Some((seq, _)) = node.writer.take_garbage() {
                    self.store.archives.remove(&seq);
                }
            }
            StoreStep::Resolved | StoreStep::Full => panic!("{step:?} is not a store operation"),
        }
    }

    fn faulty_steps(&self, index: usize, step: &StoreStep, worlds: &mut Vec<Self>) {
        let refused = || StoreError::Unavailable {
            reason: String::new(),
        };
        let lost = || StoreError::Unknown {
            reason: String::new(),
        };
        worlds.push(self.with(|world| {
            world.budget.store_faults -= 1;
            world.fail_group(index, step, refused());
        }));
        let StoreStep::WriteTail { expected, value } = step else {
            return;
        };
        // The write takes effect and its answer is lost.
        worlds.push(self.with(|world| {
            world.budget.store_faults -= 1;
            let _ = world.store.write_tail(*expected, value);
            world.lose_answer(index, lost());
        }));
        // The write takes effect later, or never.
        worlds.push(self.with(|world| {
            world.budget.store_faults -= 1;
            world.store.late.push(TailWrite {
                expected: *expected,
                value: value.clone(),
            });
            world.lose_answer(index, lost());
        }));
    }

    fn fail_group(&mut self, index: usize, step: &StoreStep, error: StoreError) {
        let now = self.now;
        let node = &mut self.nodes[index];
        node.step = None;
        if matches!(step, StoreStep::WriteTail { .. }) {
            node.writer.on_tail_written(&Err(error), now);
        }
        let reply = match node.has_unknown {
            true => ClaimReply::Unknown,
            false => ClaimReply::NotWritten(NotWritten::StoreUnavailable),
        };
        self.answer_group(index, reply);
    }

    fn lose_answer(&mut self, index: usize, error: StoreError) {
        let now = self.now;
        let flaw = self.scenario.flaw;
        let node = &mut self.nodes[index];
        node.step = None;
        node.has_unknown = true;
        node.writer.on_tail_written(&Err(error), now);
        if flaw == Flaw::TrustUnknown {
            self.answer_group(index, ClaimReply::Granted);
        }
    }

    fn answer_group(&mut self, index: usize, otherwise: ClaimReply) {
        let group = std::mem::take(&mut self.nodes[index].group);
        for entry in group {
            let answer = self.nodes[index].writer.answer(&entry);
            let reply = answer.unwrap_or(otherwise);
            self.resolve(entry, reply);
        }
    }

    fn resolve(&mut self, entry: ClaimEntry, reply: ClaimReply) {
        let Some(index) = self
            .calls
            .iter()
            .position(|call| call.request == entry.request && call.state == CallState::Claiming)
        else {
            return;
        };
        let is_at_peer = self.scenario.commits_at_peer && self.calls[index].node == 0;
        let reply = match reply {
            // The other committer may still write its copy.
            ClaimReply::NotWritten(_) if is_at_peer => ClaimReply::Unknown,
            reply => reply,
        };
        let node = &mut self.nodes[self.calls[index].node];
        let outcome = node
            .records
            .resolve(entry.key, entry.request, reply, self.now);
        let flaw = self.scenario.flaw;
        let state = match outcome {
            ClaimOutcome::Run { claimed } => CallState::MayRun { claimed },
            ClaimOutcome::Repeat { holder } => return self.forward(index, holder.origin),
            ClaimOutcome::Forgotten { .. } if flaw == Flaw::RunForgotten => CallState::Checked,
            ClaimOutcome::Forgotten { .. } => CallState::Answered(Verdict::MayHaveRun),
            ClaimOutcome::BodyMismatch
            | ClaimOutcome::Expired
            | ClaimOutcome::NotWritten(_)
            | ClaimOutcome::Unresolved => CallState::Answered(Verdict::NotRun),
        };
        self.calls[index].state = state;
    }

    fn forward(&mut self, index: usize, origin: InstanceId) {
        let owner = self.nodes.iter().position(|node| node.me == origin);
        let call = &mut self.calls[index];
        match owner {
            Some(node) if !call.is_forwarded => {
                call.node = node;
                call.is_forwarded = true;
                call.request = RequestId {
                    origin,
                    serial: self.next_serial,
                };
                call.state = CallState::Arrived;
                self.next_serial += 1;
            }
            None if self.scenario.flaw == Flaw::TakeOver => call.state = CallState::Checked,
            _ => call.state = CallState::Answered(Verdict::MayHaveRun),
        }
    }

    fn late_writes(&self, worlds: &mut Vec<Self>) {
        for at in 0..self.store.late.len() {
            worlds.push(self.with(|world| {
                let write = world.store.late.remove(at);
                let _ = world.store.write_tail(write.expected, &write.value);
            }));
        }
    }

    /// Replaces a node by a new process at the same address, with empty memory.
    fn crashes(&self, worlds: &mut Vec<Self>) {
        if self.budget.crashes == 0 {
            return;
        }
        for index in 0..self.nodes.len() {
            worlds.push(self.with(|world| {
                world.budget.crashes -= 1;
                let node = ModelNode::new(index, 2, &world.scenario);
                // A write that the old process sent may still take effect.
                if let Some(StoreStep::WriteTail { expected, value }) = &world.nodes[index].step {
                    world.store.late.push(TailWrite {
                        expected: *expected,
                        value: value.clone(),
                    });
                }
                world.nodes[index] = node;
                world.cut_calls(index);
            }));
        }
    }

    fn cut_calls(&mut self, node: usize) {
        let me = self.nodes[node].me;
        for call in self.calls.iter_mut().filter(|call| call.node == node) {
            match call.state {
                // The caller repeats a request that the old process has not read.
                CallState::Arrived if !call.is_forwarded => call.request.origin = me,
                CallState::Answered(_) => {}
                // A request that passed the check may have been sent just before the crash.
                CallState::Checked => {
                    call.effects += 1;
                    call.state = CallState::Answered(Verdict::MayHaveRun);
                }
                _ => call.state = CallState::Answered(Verdict::MayHaveRun),
            }
        }
    }

    /// Advances the time as a pause of every process does.
    ///
    /// A pause as long as the retention between the check and the send is outside the guarantee,
    /// so it is left out.
    fn pauses(&self, worlds: &mut Vec<Self>) {
        if self.budget.short_pauses > 0 {
            worlds.push(self.with(|world| {
                world.budget.short_pauses -= 1;
                world.now = world.now + SHORT_PAUSE;
            }));
        }
        let is_checked = self
            .calls
            .iter()
            .any(|call| call.state == CallState::Checked);
        if self.budget.long_pauses > 0 && !is_checked {
            worlds.push(self.with(|world| {
                world.budget.long_pauses -= 1;
                world.now = world.now + LONG_PAUSE;
            }));
        }
    }
}

/// Visits every reachable state and returns their number, or the first violation.
fn explore(scenario: Scenario) -> Result<usize, String> {
    let first = World::new(scenario);
    let mut seen = FastSet::default();
    seen.insert(first.fingerprint());
    let mut open = vec![first];
    while let Some(world) = open.pop() {
        world.check()?;
        assert!(seen.len() < STATE_LIMIT, "the scenario is too large");
        let successors = world.successors();
        let is_answered = |call: &ModelCall| matches!(call.state, CallState::Answered(_));
        if successors.is_empty() && !world.calls.iter().all(is_answered) {
            return Err("a call is left without a verdict".to_owned());
        }
        for next in successors {
            if seen.insert(next.fingerprint()) {
                open.push(next);
            }
        }
    }
    Ok(seen.len())
}

const NO_FAULTS: Budget = Budget {
    store_faults: 0,
    service_faults: 0,
    crashes: 0,
    abandons: 0,
    short_pauses: 0,
    long_pauses: 0,
};

const WHOLE_SEGMENT: usize = 10_000;
const ONE_CLAIM_SEGMENT: usize = 1;

fn scenario(budget: Budget) -> Scenario {
    Scenario {
        flaw: Flaw::None,
        budget,
        segment_bytes: WHOLE_SEGMENT,
        records: 10,
        has_other_claims: false,
        commits_at_peer: false,
    }
}

/// Returns a scenario in which every claim fills a segment, so that archives are written, listed
/// and deleted.
fn archiving(budget: Budget) -> Scenario {
    Scenario {
        segment_bytes: ONE_CLAIM_SEGMENT,
        has_other_claims: true,
        ..scenario(budget)
    }
}

fn assert_sound(scenario: Scenario) {
    let found = explore(scenario);
    let worlds = found.unwrap_or_else(|error| panic!("{error} in {scenario:?}"));
    println!("{worlds} worlds in {scenario:?}");
}

/// Checks that the flaw is detected, and that the same faults are harmless without it.
fn assert_caught(flaw: Flaw, sound: Scenario) {
    let broken = Scenario { flaw, ..sound };
    let fault = explore(broken).expect_err("the exploration must detect this flaw");
    println!("{flaw:?}: {fault}");
    assert_sound(sound);
}

#[test]
fn lost_answer_crash_and_pause_are_sound() {
    assert_sound(scenario(Budget {
        store_faults: 1,
        service_faults: 1,
        crashes: 1,
        short_pauses: 1,
        ..NO_FAULTS
    }));
}

#[test]
fn two_store_faults_and_an_abandoned_claim_are_sound() {
    assert_sound(scenario(Budget {
        store_faults: 2,
        service_faults: 1,
        abandons: 1,
        ..NO_FAULTS
    }));
}

#[test]
fn pause_longer_than_the_retention_is_sound() {
    assert_sound(scenario(Budget {
        store_faults: 1,
        service_faults: 1,
        abandons: 1,
        long_pauses: 1,
        ..NO_FAULTS
    }));
}

#[test]
fn archives_through_a_crash_are_sound() {
    assert_sound(archiving(Budget {
        store_faults: 1,
        crashes: 1,
        ..NO_FAULTS
    }));
}

#[test]
fn claims_committed_at_a_peer_are_sound() {
    let budget = Budget {
        store_faults: 1,
        crashes: 1,
        ..NO_FAULTS
    };
    assert_sound(Scenario {
        commits_at_peer: true,
        ..scenario(budget)
    });
}

#[test]
fn flaw_of_trusting_a_lost_answer_is_caught() {
    let budget = Budget {
        store_faults: 1,
        ..NO_FAULTS
    };
    assert_caught(Flaw::TrustUnknown, scenario(budget));
}

#[test]
fn flaw_of_taking_a_claim_over_is_caught() {
    let budget = Budget {
        crashes: 1,
        ..NO_FAULTS
    };
    assert_caught(Flaw::TakeOver, scenario(budget));
}

#[test]
fn flaw_of_running_a_forgotten_claim_is_caught() {
    let one_record = Scenario {
        records: 1,
        has_other_claims: true,
        ..scenario(NO_FAULTS)
    };
    assert_caught(Flaw::RunForgotten, one_record);
}

#[test]
fn flaw_of_sending_without_the_deadline_is_caught() {
    let budget = Budget {
        store_faults: 1,
        long_pauses: 1,
        ..NO_FAULTS
    };
    assert_caught(Flaw::SkipDeadline, archiving(budget));
}

#[test]
fn flaw_of_denying_a_send_is_caught() {
    let budget = Budget {
        service_faults: 1,
        ..NO_FAULTS
    };
    assert_caught(Flaw::DenySend, scenario(budget));
}
