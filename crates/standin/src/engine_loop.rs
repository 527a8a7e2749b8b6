//! The state of an engine's stand-in and the task that runs its batch.
//!
//! The task sleeps until the end of the current step and then writes the tokens of all sequences at
//! once, so that hundreds of streams need a single timer. The end of a step is computed from the
//! end of the previous step, not from the time of the wake-up, so that late wake-ups do not
//! accumulate.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use ntex::channel::mpsc;
use ntex::http::{Request, Response};
use ntex::io::IoRef;
use ntex::util::Bytes;
use oleander_base::prelude::*;
use oleander_base::{LoadReport, LoadedModel, PrefixHash};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::answer::AnswerWriter;
use crate::batch::{BatchSequence, EngineBatch, SequenceId, StepToken};
use crate::cache::PrefixCache;
use crate::counters::{EngineCounters, add, bump};
use crate::engine::{EngineSettings, StartedTags};
use crate::engine_answer::AnswerFormat;
use crate::engine_http::handle_request;
use crate::engine_state::{FaultState, LoadedState};
use crate::faults::EngineFault;
use crate::host::{CommandSender, HostAction, HostedService, LocalFuture};

/// The maximum lag of the step clock behind the real clock; a larger one is cut to this value.
const MAX_STEP_LAG: Duration = Duration::from_millis(100);

/// The shortest wait that uses a timer. Shorter ones yield in a loop, because the runtime's timers
/// have a resolution of one millisecond.
const MIN_SLEEP: Duration = Duration::from_micros(300);

/// The maximum number of stored load reports, which are served with a lag.
const MAX_REPORTS: usize = 256;

/// The sender of an answer's body.
pub(crate) type BodySender = mpsc::Sender<io::Result<Bytes>>;

/// The cacheable prefix of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PromptPrefix {
    pub(crate) hash: PrefixHash,
    pub(crate) tokens: u32,
}

/// An answer that is being generated, with the connection that it is sent on.
pub(crate) struct OpenAnswer {
    pub(crate) body: BodySender,
    pub(crate) format: AnswerFormat,
    pub(crate) writer: AnswerWriter,
    pub(crate) request_id: String,
    pub(crate) sequence: BatchSequence,
    pub(crate) sent: u32,
    pub(crate) io: Option<IoRef>,
}

/// The state that the handlers and the step task share. All of them run on the engine's thread.
pub(crate) struct EngineState {
    pub(crate) batch: EngineBatch,
    pub(crate) cache: PrefixCache,
    pub(crate) answers: FastMap<SequenceId, OpenAnswer>,
    pub(crate) faults: FaultState,
    pub(crate) loaded: LoadedState,
    reports: VecDeque<(MonoTime, LoadReport)>,
    next_sequence: u64,
    reported_tokens: u64,
}

/// One engine, owned by its thread.
pub(crate) struct EngineCore {
    pub(crate) settings: EngineSettings,
    pub(crate) counters: Arc<EngineCounters>,
    started_tags: StartedTags,
    pub(crate) commands: CommandSender<EngineFault>,
    pub(crate) state: RefCell<EngineState>,
    work_ready: Notify,
    unfrozen: Notify,
    started_at: Instant,
}

impl EngineCore {
    pub(crate) fn new(
        settings: EngineSettings,
        counters: Arc<EngineCounters>,
        started_tags: StartedTags,
        commands: CommandSender<EngineFault>,
    ) -> Self {
        let state = EngineState {
            batch: EngineBatch::new(settings.batch_speed()),
            cache: PrefixCache::new(settings.cache_tokens, settings.lose_event_every),
            answers: FastMap::default(),
            faults: FaultState::default(),
            loaded: LoadedState {
                models: settings.models.clone(),
                version: settings.version.clone(),
                adapters: settings.adapters.clone(),
                role: settings.role,
                newest_fencing: 0,
            },
            reports: VecDeque::new(),
            next_sequence: 0,
            reported_tokens: 0,
        };
        Self {
            settings,
            counters,
            started_tags,
            commands,
            state: RefCell::new(state),
            work_ready: Notify::new(),
            unfrozen: Notify::new(),
            started_at: Instant::now(),
        }
    }

    /// Returns the time since the engine's start.
    pub(crate) fn now(&self) -> MonoTime {
        MonoTime::default() + Span::from(self.started_at.elapsed())
    }

    /// Adds a sequence to the batch, less the prompt tokens that the prefix cache holds, and
    /// returns its id.
    pub(crate) fn submit(&self, mut answer: OpenAnswer, prefix: PromptPrefix) -> SequenceId {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state.next_sequence += 1;
        let id = SequenceId(state.next_sequence);
        answer.sequence.id = id;
        let prompt = answer.sequence.prompt_left;
        let cached_tokens = state
            .cache
            .touch(prefix.hash, prefix.tokens, now)
            .min(prompt);
        if cached_tokens > 0 {
            bump(&self.counters.cache_hits);
        }
        answer.sequence.prompt_left = prompt - cached_tokens;
        bump(&self.counters.started);
        self.started_tags.lock().insert(answer.sequence.plan.tag);
        if answer.sequence.next_token > 0 {
            bump(&self.counters.resumed);
        }
        add(
            &self.counters.prompt_tokens,
            u64::from(answer.sequence.prompt_left),
        );
        state.batch.submit(answer.sequence);
        state.answers.insert(id, answer);
        drop(state);
        self.work_ready.notify_one();
        id
    }

    /// Cancels a sequence whose answer has no reader any more, and returns whether the batch held
    /// it.
    pub(crate) fn cancel(&self, id: SequenceId) -> bool {
        let mut state = self.state.borrow_mut();
        let answer = state.answers.remove(&id);
        let found = state.batch.cancel(id).is_some();
        drop(state);
        if found {
            bump(&self.counters.cancelled);
        }
        drop(answer);
        found
    }

    /// Waits while the engine is frozen.
    pub(crate) async fn wait_until_unfrozen(&self) {
        loop {
            let unfrozen = self.unfrozen.notified();
            if !self.state.borrow().faults.frozen {
                return;
            }
            unfrozen.await;
        }
    }

    /// Returns the newest load report that has reached the report lag, or else the oldest one, or
    /// the present state if there is none.
    pub(crate) fn report(&self) -> LoadReport {
        let now = self.now();
        let lag = Span::from_millis(self.settings.report_lag_ms);
        let state = self.state.borrow();
        let readable = state
            .reports
            .iter()
            .rev()
            .find(|(at, _)| now.since(*at) >= lag);
        match readable.or(state.reports.front()) {
            Some((at, report)) => LoadReport {
                age: now.since(*at),
                ..report.clone()
            },
            None => self.snapshot(&state, 0.0),
        }
    }

    fn snapshot(&self, state: &EngineState, tokens_per_second: f32) -> LoadReport {
        let models = state.loaded.models.iter().map(|model| LoadedModel {
            model: ModelId::from_name(model),
            version: state.loaded.version.clone(),
            adapters: state
                .loaded
                .adapters
                .iter()
                .map(|adapter| AdapterId::from_name(adapter))
                .collect(),
        });
        LoadReport {
            age: Span::ZERO,
            running: state.batch.running(),
            waiting: state.batch.waiting(),
            batch_limit: self.settings.batch_limit,
            tokens_per_second,
            cache_used: state.cache.used_share(),
            role: state.loaded.role,
            models: models.collect(),
            leaving: state.faults.leaving,
        }
    }

    async fn record_reports(self: Rc<Self>) {
        let interval = Duration::from_millis(self.settings.report_interval_ms.max(1));
        loop {
            self.record_report(interval);
            tokio::time::sleep(interval).await;
        }
    }

    fn record_report(&self, interval: Duration) {
        let now = self.now();
        let tokens = self.counters.tokens.load(Ordering::Relaxed);
        let mut state = self.state.borrow_mut();
        let rate = (tokens - state.reported_tokens) as f64 / interval.as_secs_f64();
        state.reported_tokens = tokens;
        let report = self.snapshot(&state, rate as f32);
        if state.reports.len() == MAX_REPORTS {
            state.reports.pop_front();
        }
        state.reports.push_back((now, report));
    }

    async fn run_steps(self: Rc<Self>) {
        let mut due = Instant::now();
        let mut tokens = Vec::new();
        loop {
            self.wait_until_unfrozen().await;
            let Some(step) = self.plan_step() else {
                self.work_ready.notified().await;
                due = due.max(Instant::now());
                continue;
            };
            due = (due + step).max(Instant::now() - MAX_STEP_LAG);
            wait_until(due).await;
            self.wait_until_unfrozen().await;
            self.finish_step(&mut tokens);
        }
    }

    fn plan_step(&self) -> Option<Duration> {
        let mut state = self.state.borrow_mut();
        let slowdown = state.faults.slowdown;
        state.batch.plan_step(slowdown).map(Duration::from)
    }

    fn finish_step(&self, tokens: &mut Vec<StepToken>) {
        tokens.clear();
        let mut state = self.state.borrow_mut();
        state.batch.finish_step(tokens);
        add(&self.counters.tokens, tokens.len() as u64);
        let drop_after = state.faults.drop_after;
        let mut dropped = Vec::new();
        for token in tokens.iter() {
            let Some(answer) = state.answers.get_mut(&token.id) else {
                continue;
            };
            if drop_after.is_some_and(|limit| answer.sent >= limit) {
                dropped.push(token.id);
                continue;
            }
            answer.push(token, &self.settings.name);
            if token.last {
                bump(&self.counters.finished);
                state.answers.remove(&token.id);
            }
        }
        drop(state);
        for id in dropped {
            self.drop_connection(id);
        }
    }

    fn drop_connection(&self, id: SequenceId) {
        let io = self
            .state
            .borrow()
            .answers
            .get(&id)
            .and_then(|answer| answer.io.clone());
        if let Some(io) = io {
            io.terminate();
        }
        self.abort(id);
    }

    /// Ends an answer with an error, so that the reader cannot take it for a complete one.
    pub(crate) fn abort(&self, id: SequenceId) {
        let answer = self.state.borrow_mut().answers.remove(&id);
        if let Some(answer) = answer {
            let reason = io::Error::from(io::ErrorKind::ConnectionAborted);
            let _ = answer.body.send(Err(reason));
        }
        if self.state.borrow_mut().batch.cancel(id).is_some() {
            bump(&self.counters.cancelled);
        }
    }

    fn set_fault(&self, fault: EngineFault) -> HostAction {
        let faults = &mut self.state.borrow_mut().faults;
        match fault {
            EngineFault::Slow { factor } => faults.slowdown = factor.max(0.01),
            EngineFault::Freeze { on } => faults.frozen = on,
            EngineFault::Refuse { on } => faults.refuses = on,
            EngineFault::Leaving { on } => faults.leaving = on,
            EngineFault::DropAfter { tokens } => faults.drop_after = tokens,
            EngineFault::Heal => *faults = FaultState::default(),
            EngineFault::Crash { for_ms } => {
                return HostAction::Crash(for_ms.map(Duration::from_millis));
            }
            EngineFault::Restore => return HostAction::Restore,
        }
        HostAction::None
    }
}

async fn wait_until(due: Instant) {
    if due > Instant::now() + MIN_SLEEP {
        tokio::time::sleep_until(due).await;
        return;
    }
    tokio::task::yield_now().await;
    while Instant::now() < due {
        tokio::task::yield_now().await;
    }
}

impl HostedService for EngineCore {
    type Command = EngineFault;

    fn handle(self: Rc<Self>, request: Request) -> LocalFuture<io::Result<Response>> {
        Box::pin(handle_request(self, request))
    }

    fn on_accepted(&self) {
        bump(&self.counters.connections);
    }

    fn apply_command(&self, command: EngineFault) -> HostAction {
        let action = self.set_fault(command);
        self.unfrozen.notify_waiters();
        self.work_ready.notify_one();
        action
    }

    fn on_crashed(&self) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let answers = std::mem::take(&mut state.answers);
        add(&self.counters.crashed, answers.len() as u64);
        state.batch.clear();
        state.cache.clear(now);
        drop(state);
        for answer in answers.into_values() {
            let reason = io::Error::from(io::ErrorKind::ConnectionAborted);
            let _ = answer.body.send(Err(reason));
        }
    }

    fn start(self: &Rc<Self>) {
        ntex::rt::spawn(self.clone().run_steps());
        ntex::rt::spawn(self.clone().record_reports());
    }
}
