//! Engines that fall over when they have to turn away many requests in a second.

mod gateway;

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use gateway::{Call, TestGateway, announce, store_with_manifest};
use oleander_standin::users::{EngineReply, ScriptedEngine, SeenRequest, UsersStore};
use parking_lot::Mutex;

/// The number of engines.
const ENGINES: usize = 4;

/// The greatest number of engines that may fall over: two, and a tenth of their number.
const ALLOWED_FALLS: usize = 2;

/// The time that the gateways have to heed what engines say.
const STABLE_TIME: Duration = Duration::from_secs(3);

/// The time in which engines let no request wait and falls count.
const BRITTLE_TIME: Duration = Duration::from_secs(6);

/// The time after which an engine that fell over is back as another process.
const DOWN_TIME: Duration = Duration::from_secs(2);

/// The gateways, callers and engines of one play.
#[derive(Debug, Clone, Copy)]
struct BrittlePlay {
    gateways: usize,
    /// The number of gateways that callers use.
    called: usize,
    callers: usize,
    /// The pause of a caller between two calls.
    pause: Duration,
    /// The number of requests that an engine runs at once; it lets none wait while it is brittle.
    slots: usize,
    /// How long a request runs.
    work_time: Duration,
    /// The rejections in a second that an engine survives.
    threshold: usize,
    /// Whether engines report all slots as taken, whatever runs there.
    reports_full: bool,
    /// Whether callers ask for streams, instead of lookups.
    streams: bool,
}

/// The result of a play, over the time in which engines let no request wait.
struct PlayResult {
    falls: usize,
    calls: usize,
    served: usize,
    brittle_lines: usize,
    /// The rejections by why the requests were sent.
    rejections: BTreeMap<String, usize>,
    /// The times that the first gateway found an owner of slots silent.
    silent_owners: usize,
}

impl fmt::Debug for PlayResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            falls,
            calls,
            served,
            rejections,
            ..
        } = self;
        write!(
            f,
            "{falls} falls, {served} of {calls} served, rejected: {rejections:?}"
        )
    }
}

/// The state of one engine.
struct BrittleEngine {
    play: BrittlePlay,
    running: Mutex<usize>,
    rejected: Mutex<VecDeque<Instant>>,
}

impl BrittleEngine {
    fn answer(&self, request: &SeenRequest, lets_wait: bool) -> EngineReply {
        if !self.take_slot(lets_wait) {
            return self.reject(request);
        }
        thread::sleep(self.play.work_time);
        let running = {
            let mut running = self.running.lock();
            *running -= 1;
            *running
        };
        let answer = if self.play.streams {
            let mut stream = request.stream_head();
            stream.extend((1..=3).flat_map(SeenRequest::event));
            stream.extend(b"0\r\n\r\n");
            stream
        } else {
            request.answer("found")
        };
        let answer = String::from_utf8(answer).expect("an answer is text");
        EngineReply::Bytes(self.named(&answer, &self.load(running)))
    }

    fn load(&self, running: usize) -> String {
        let slots = self.play.slots;
        let waiting = running.saturating_sub(slots);
        let taken = match self.play.reports_full {
            true => slots,
            false => running.min(slots),
        };
        format!("\r\nServer-Load: {taken},{waiting},{slots}")
    }

    fn take_slot(&self, lets_wait: bool) -> bool {
        let mut running = self.running.lock();
        let has_room = lets_wait || *running < self.play.slots;
        *running += usize::from(has_room);
        has_room
    }

    /// Turns a request away; with too many in a second the engine falls over.
    fn reject(&self, request: &SeenRequest) -> EngineReply {
        let mut rejected = self.rejected.lock();
        let now = Instant::now();
        rejected.push_back(now);
        rejected.retain(|at| now.duration_since(*at) < Duration::from_secs(1));
        if rejected.len() > self.play.threshold {
            return EngineReply::BytesThenCrash(Vec::new());
        }
        let id = request.message.header("attempt-id").unwrap_or("");
        let answer = format!(
            "HTTP/1.1 503 Full\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        );
        EngineReply::Bytes(self.named(&answer, ""))
    }

    /// Returns an answer with the header that says that its engine is brittle.
    fn named(&self, answer: &str, headers: &str) -> Vec<u8> {
        let threshold = self.play.threshold;
        let headers = format!("\r\nServer-Brittle: {threshold}{headers}\r\n");
        answer.replacen("\r\n", &headers, 1).into_bytes()
    }
}

/// The engines of one play. One that falls over comes back as another process.
struct EngineSet {
    play: BrittlePlay,
    lets_wait: Arc<AtomicBool>,
}

impl EngineSet {
    fn start(&self, store: &UsersStore, number: usize) -> ScriptedEngine {
        let state = BrittleEngine {
            play: self.play,
            running: Mutex::default(),
            rejected: Mutex::default(),
        };
        let lets_wait = Arc::clone(&self.lets_wait);
        let engine = ScriptedEngine::spawn(move |request: &SeenRequest| {
            state.answer(request, lets_wait.load(Ordering::Relaxed))
        });
        let service = if self.play.streams { "engines" } else { "desk" };
        announce(store, &format!("i-{number}"), service, &engine, "available");
        engine
    }

    /// Replaces an engine each time it has fallen over; returns how often it fell over before `until`.
    fn keep_up(
        &self,
        store: &UsersStore,
        number: usize,
        first: ScriptedEngine,
        until: Instant,
    ) -> usize {
        let mut engine = first;
        let mut falls = 0;
        while Instant::now() < until {
            thread::sleep(Duration::from_millis(20));
            if engine.has_crashed() {
                falls += 1;
                thread::sleep(DOWN_TIME);
                engine = self.start(store, number);
            }
        }
        falls
    }
}

/// Calls gateways from many callers at once until `until`, each at one gateway; returns how many calls
/// were made and how many were served.
fn call_until(play: BrittlePlay, gateways: &[TestGateway], until: Instant) -> (usize, usize) {
    thread::scope(|scope| {
        let call = |number: usize| {
            let gateway = &gateways[number % play.called];
            scope.spawn(move || {
                let mut served = 0;
                thread::sleep(play.pause.mul_f64(number as f64 / play.callers as f64));
                for turn in 0.. {
                    if Instant::now() >= until {
                        return (turn, served);
                    }
                    let id = format!("c{number}-{turn}");
                    let call = match play.streams {
                        true => Call::stream(&id),
                        false => Call::lookup(&id),
                    };
                    let answer = gateway.caller().call(&call);
                    served += usize::from(answer.status() == 200);
                    thread::sleep(play.pause);
                }
                unreachable!("the turns have no end")
            })
        };
        let callers: Vec<_> = (0..play.callers).map(call).collect();
        let ends = callers
            .into_iter()
            .map(|caller| caller.join().expect("a caller ends"));
        ends.fold((0, 0), |sum, end| (sum.0 + end.0, sum.1 + end.1))
    })
}

/// Counts the rejections in the logs by why the requests were sent.
fn rejections(gateways: &[TestGateway]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    let lines = gateways
        .iter()
        .flat_map(|gateway| gateway.log("attempt-rejected"));
    for line in lines {
        let room = &line["room"];
        let since = room["since_rejection_ms"].as_f64();
        let is_after_hold = since.is_some_and(|ms| (1_200.0..1_400.0).contains(&ms));
        let grounds = room["grounds"].as_str().expect("a rejection has grounds");
        let name = match is_after_hold {
            true => format!("{grounds}, just after a hold"),
            false => grounds.to_owned(),
        };
        *counts.entry(name).or_default() += 1;
    }
    counts
}

fn play(play: BrittlePlay) -> PlayResult {
    play_with(play, |_, _| ())
}

/// Plays while `disturb` does something to the gateways.
fn play_with(
    play: BrittlePlay,
    disturb: impl FnOnce(&[TestGateway], &UsersStore) + Send,
) -> PlayResult {
    let store = store_with_manifest();
    let lets_wait = Arc::new(AtomicBool::new(true));
    let set = EngineSet { play, lets_wait };
    let engines: Vec<ScriptedEngine> = (0..ENGINES)
        .map(|number| set.start(&store, number))
        .collect();
    let spawn = |number| TestGateway::spawn(&format!("edge-{number}"), &store, &[]);
    let gateways: Vec<TestGateway> = (1..=play.gateways).map(spawn).collect();
    for gateway in &gateways {
        gateway.wait_ready();
    }
    call_until(play, &gateways, Instant::now() + STABLE_TIME);
    set.lets_wait.store(false, Ordering::Relaxed);
    let until = Instant::now() + BRITTLE_TIME;
    let (calls, served, falls) = thread::scope(|scope| {
        let keepers: Vec<_> = engines
            .into_iter()
            .enumerate()
            .map(|(number, engine)| {
                let (set, store) = (&set, &store);
                scope.spawn(move || set.keep_up(store, number, engine, until))
            })
            .collect();
        scope.spawn(|| disturb(&gateways, &store));
        let (calls, served) = call_until(play, &gateways, until);
        let falls = keepers
            .into_iter()
            .map(|keeper| keeper.join().expect("a keeper ends"));
        (calls, served, falls.sum())
    });
    let result = PlayResult {
        falls,
        calls,
        served,
        brittle_lines: gateways[0].log("backend-brittle").len(),
        rejections: rejections(&gateways),
        silent_owners: gateways[0].log("slot-owner-silent").len(),
    };
    println!("{play:?}: {result:?}");
    result
}

// Guards against gateways that press on engines which have turned requests away, until they fall over.
#[test]
fn brittle_engines_that_let_none_wait_stay_up_under_overload() {
    let result = play(BrittlePlay {
        gateways: 3,
        called: 3,
        callers: 24,
        pause: Duration::from_millis(10),
        slots: 2,
        work_time: Duration::from_millis(60),
        threshold: 4,
        reports_full: true,
        streams: false,
    });
    assert!(result.falls <= ALLOWED_FALLS, "{result:?}");
    assert!(result.served > 0, "no call was served");
    assert!(result.brittle_lines > 0);
}

// Guards against gateways that each send one request to the same free slot, or that refuse callers while slots are
// free, once they are more than the rejections that an engine survives.
#[test]
fn brittle_engines_stay_up_and_serve_behind_more_gateways_than_rejections() {
    let result = play(BrittlePlay {
        gateways: 40,
        called: 40,
        callers: 120,
        pause: Duration::from_millis(650),
        slots: 8,
        work_time: Duration::from_millis(150),
        threshold: 2,
        reports_full: false,
        streams: false,
    });
    assert!(result.falls <= ALLOWED_FALLS, "{result:?}");
    // At 0.7 of the engines' slots one chooser that knew all of them would serve nearly every call.
    assert!(result.served * 100 >= result.calls * 90, "{result:?}");
}

// Guards against engines that fall over again and again under the requests that many gateways send at the same moment.
#[test]
fn brittle_engines_stay_up_under_overload_behind_many_gateways() {
    let result = play(BrittlePlay {
        gateways: 78,
        called: 78,
        callers: 240,
        pause: Duration::from_millis(100),
        slots: 8,
        work_time: Duration::from_millis(150),
        threshold: 2,
        reports_full: false,
        streams: false,
    });
    assert!(result.falls <= ALLOWED_FALLS, "{result:?}");
    assert!(result.served > 0, "no call was served");
}

// Guards against model engines that fall over under streams with a shared part, which all gateways send to its home.
#[test]
fn brittle_model_engines_stay_up_and_serve_streams() {
    let result = play(BrittlePlay {
        gateways: 24,
        called: 24,
        callers: 96,
        pause: Duration::from_millis(900),
        slots: 8,
        work_time: Duration::from_millis(300),
        threshold: 2,
        reports_full: false,
        streams: true,
    });
    assert!(result.falls <= ALLOWED_FALLS, "{result:?}");
    assert!(result.served * 100 >= result.calls * 90, "{result:?}");
}

// Guards against engines that fall over while gateways that own their slots stand still, end or are new.
#[test]
fn brittle_engines_stay_up_while_owners_of_their_slots_are_paused_killed_and_started() {
    let load = BrittlePlay {
        gateways: 16,
        called: 8,
        callers: 64,
        pause: Duration::from_millis(300),
        slots: 8,
        work_time: Duration::from_millis(150),
        threshold: 2,
        reports_full: false,
        streams: false,
    };
    let result = play_with(load, |gateways, store| {
        for gateway in &gateways[8..12] {
            gateway.signal(libc::SIGSTOP);
        }
        thread::sleep(Duration::from_secs(2));
        for gateway in &gateways[8..12] {
            gateway.signal(libc::SIGCONT);
        }
        for gateway in &gateways[12..16] {
            gateway.signal(libc::SIGKILL);
        }
        let spawn = |number| TestGateway::spawn(&format!("edge-new-{number}"), store, &[]);
        let new: Vec<TestGateway> = (1..=4).map(spawn).collect();
        thread::sleep(Duration::from_secs(3));
        drop(new);
    });
    assert!(result.silent_owners > 0, "no owner was disturbed");
    assert!(result.falls <= ALLOWED_FALLS, "{result:?}");
    assert!(result.served * 2 >= result.calls, "{result:?}");
}
