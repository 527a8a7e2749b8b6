//! All gateways are killed and start again while engines of two software versions serve side by side, or while the
//! last engine of one of them leaves. The streams that were broken off are taken up by their requesters.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Gateway, Net, Terms, engine_entry, manifest, prompt, request};
use crate::platform::{Engine, Record, Script, Store, call_stream, event, stream_head};

const GATEWAYS: u8 = 3;
const STREAMS: u64 = 24;
const EVENTS: u64 = 60;
const GAP: Duration = Duration::from_millis(150);
const LIMIT: Duration = Duration::from_millis(15_000);
const STABLE_S: f64 = 3.0;
/// What a requester waits before each further attempt: at once, or longer each time.
const SOON: [Duration; 4] = [Duration::from_millis(100); 4];
const LATER: [Duration; 3] = [Duration::from_millis(1_000), Duration::from_millis(3_000), Duration::from_millis(3_000)];

fn script(version: &'static str, record: Record, running: Arc<AtomicUsize>) -> Script {
    Arc::new(move |message, stream| {
        use std::io::Write;
        let id = message.header("attempt-id").unwrap_or("").to_owned();
        let last: u64 = message.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        running.fetch_add(1, Ordering::SeqCst);
        record.add(format!("run      {id} at an engine of {version} after event {last}"));
        thread::sleep(Duration::from_millis(100));
        let mut is_whole = stream.write_all(&stream_head(message)).is_ok();
        for number in last + 1..=EVENTS {
            is_whole = is_whole && stream.write_all(&event(number, version)).is_ok();
            if !is_whole {
                break;
            }
            thread::sleep(GAP);
        }
        is_whole = is_whole && stream.write_all(b"0\r\n\r\n").is_ok();
        running.fetch_sub(1, Ordering::SeqCst);
        is_whole
    })
}

/// What a requester has of its stream, over all of its attempts.
#[derive(Default)]
struct Taken {
    versions: BTreeSet<String>,
    last: u64,
    is_whole: bool,
    attempts: usize,
    /// When each attempt was sent, and whether it brought an event.
    sent: Vec<(f64, bool)>,
}

/// Follows one stream like a requester: after a broken connection it is taken up with its last event, and the id
/// of the attempt that brought the first one.
///
/// It waits a while before each further attempt, or as long as it is told to.
fn follow(number: u64, gateways: &[(SocketAddr, SocketAddr)], record: &Record, waits: &[Duration]) -> Taken {
    let started = Instant::now();
    let mut taken = Taken::default();
    let mut first_attempt = String::new();
    while !taken.is_whole && taken.attempts <= waits.len() {
        let left = LIMIT.saturating_sub(started.elapsed());
        if left < Duration::from_millis(500) {
            break;
        }
        // The platform forwards a new connection to a machine that is ready.
        let mut frontend = None;
        for turn in 0..gateways.len() {
            let (front, ready) = gateways[(number as usize + taken.attempts + turn) % gateways.len()];
            if Gateway::answers_ready(ready) {
                frontend = Some(front);
                break;
            }
        }
        let Some(frontend) = frontend else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        let id = format!("stream-{number:02}-{}", taken.attempts);
        taken.attempts += 1;
        let mut headers = prompt(0x91bd_0000 + number);
        if taken.last > 0 {
            headers.push_str(&format!("Last-Event-Id: {}\r\nResumes: {first_attempt}\r\n", taken.last));
        }
        record.add(format!("sent     {id} after event {}", taken.last));
        let text = request("POST", "/archive/2f", &id, left.as_millis() as u64, &headers, &format!("story {number}"));
        taken.sent.push((record.now(), false));
        let answer = call_stream(frontend, &text, left);
        if let Some(last) = taken.sent.last_mut() {
            last.1 = !answer.events.is_empty();
        }
        for (event, version) in &answer.events {
            if taken.last == 0 {
                first_attempt = id.clone();
            }
            taken.last = *event;
            taken.versions.insert(version.clone());
        }
        taken.is_whole = answer.is_whole && answer.status == 200;
        record.add(format!(
            "answered {id} {} whole {} up to event {} {}",
            answer.status, taken.is_whole, taken.last, answer.error
        ));
        let Some(wait) = waits.get(taken.attempts - 1) else {
            break;
        };
        thread::sleep((*wait).max(answer.retry_after.unwrap_or_default()));
    }
    taken
}

/// What all parts of a run share.
struct Lab {
    net: Net,
    record: Record,
    temporary: PathBuf,
    store: Store,
    engines: Vec<Engine>,
    /// The streams that run at the first engine.
    old_running: Arc<AtomicUsize>,
}

impl Lab {
    fn open(versions: &[&'static str]) -> Self {
        let net = Net::new();
        let record = Record::open();
        let temporary = std::env::temp_dir().join(format!("oleander-review-{}", std::process::id()));
        std::fs::create_dir_all(&temporary).expect("a temporary folder");
        let store = Store::open();
        store.put("op/config", &manifest(7));
        let old_running = Arc::new(AtomicUsize::new(0));
        let mut engines = Vec::new();
        for (number, version) in (0_u8..).zip(versions) {
            let running = if number == 0 { old_running.clone() } else { Arc::default() };
            let address = net.at(100 + number, 8080);
            let id = format!("i-{number:08x}");
            engines.push(Engine::start(address, &id, script(version, record.clone(), running)));
            let zone = ["stred-a", "stred-b", "stred-c", "stred-d"][number as usize % 4];
            store.put(&format!("servers/{id}"), &engine_entry("plank", &address.to_string(), zone, version, 1, 1));
        }
        store.serve(net.at(150, 8223), Arc::new(|_, data| data.to_owned()));
        Self { net, record, temporary, store, engines, old_running }
    }

    fn start_gateways(&self) -> Vec<Gateway> {
        let at = self.net.at(150, 8223);
        (1..=GATEWAYS).map(|number| Gateway::start(self.net, number, at, &self.temporary, &Terms::default())).collect()
    }

    fn close(&self, folder: &str, result: &str, gateways: Vec<Gateway>) {
        self.record.add(format!("RESULT   {result}"));
        self.record.write(&format!("{folder}/record.txt"));
        println!("{result}");
        drop(gateways);
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = std::fs::remove_dir_all(&self.temporary);
        }
    }
}

/// Starts a number of streams, whose requesters follow them.
fn begin(
    numbers: std::ops::Range<u64>,
    gateways: &[Gateway],
    record: &Record,
    waits: &'static [Duration],
    taken: &Arc<Mutex<BTreeMap<u64, Taken>>>,
) -> Vec<thread::JoinHandle<()>> {
    let addresses: Vec<_> = gateways.iter().map(|gateway| (gateway.frontend, gateway.readiness)).collect();
    let mut callers = Vec::new();
    for number in numbers {
        let (addresses, record, taken) = (addresses.clone(), record.clone(), taken.clone());
        callers.push(thread::spawn(move || {
            let stream = follow(number, &addresses, &record, waits);
            taken.lock().unwrap().insert(number, stream);
        }));
        thread::sleep(Duration::from_millis(40));
    }
    callers
}

/// Two versions serve all the while. Streams that are taken up at machines in touch have to go on.
pub fn run_side_by_side(folder: &str, has_trouble: bool) -> i32 {
    let lab = Lab::open(&["v1", "v1", "v2", "v2"]);
    let record = &lab.record;
    let mut gateways = lab.start_gateways();
    if !gateways.iter().all(Gateway::wait_ready) {
        eprintln!("a gateway is not ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(3));
    let taken: Arc<Mutex<BTreeMap<u64, Taken>>> = Arc::default();
    let mut callers = begin(0..STREAMS, &gateways, record, &LATER, &taken);
    thread::sleep(Duration::from_millis(1_500));
    let mut started = 0.0;
    if has_trouble {
        record.add("KILLED   all gateways".to_owned());
        drop(gateways);
        thread::sleep(Duration::from_millis(500));
        started = record.now();
        record.add("STARTED  all gateways again".to_owned());
        gateways = lab.start_gateways();
    }
    thread::sleep(Duration::from_millis(3_500));
    // New streams at the same time, to compare with.
    callers.extend(begin(STREAMS..STREAMS + 12, &gateways, record, &[], &taken));
    for caller in callers {
        let _ = caller.join();
    }
    let taken = taken.lock().unwrap();
    let is_in_touch = |at: f64| at > started + STABLE_S;
    let (mut again, mut goes_on, mut new, mut begun, mut mixed) = (0, 0, 0, 0, 0);
    for (number, stream) in taken.iter() {
        mixed += usize::from(stream.versions.len() > 1);
        if *number >= STREAMS {
            new += 1;
            begun += usize::from(stream.last > 0);
            continue;
        }
        let later: Vec<bool> =
            stream.sent.iter().skip(1).filter(|(at, _)| is_in_touch(*at)).map(|(_, brought)| *brought).collect();
        if !later.is_empty() {
            again += 1;
            goes_on += usize::from(later.contains(&true));
        }
    }
    let result = format!(
        "{STREAMS} streams, {again} taken up again at machines in touch, {goes_on} of these go on; {begun} of {new} new streams begin; {mixed} hold events of two versions"
    );
    lab.close(folder, &result, gateways);
    // LOST: of 12 or more such streams, under half of the share of new streams that begin.
    if again >= 12 && goes_on * new * 2 < begun * again {
        return 1;
    }
    match has_trouble && again < 12 {
        true => 2,
        false => 0,
    }
}

/// The last engine of a version leaves while all gateways are killed.
pub fn run(folder: &str, has_trouble: bool) -> i32 {
    // One engine of the old version is left, and two of the new one serve beside it.
    let lab = Lab::open(&["v1", "v2", "v2"]);
    let (net, store, record, old_running) = (lab.net, &lab.store, &lab.record, &lab.old_running);
    let mut gateways = lab.start_gateways();
    if !gateways.iter().all(Gateway::wait_ready) {
        eprintln!("a gateway is not ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(3));

    let taken: Arc<Mutex<BTreeMap<u64, Taken>>> = Arc::default();
    let callers = begin(0..STREAMS, &gateways, record, &SOON, &taken);
    thread::sleep(Duration::from_millis(500));
    record.add("DRAINING the last engine of v1 (planned)".to_owned());
    let address = net.at(100, 8080).to_string();
    let draining = engine_entry("plank", &address, "stred-a", "v1", 1, 2).replace("available", "draining");
    store.put("servers/i-00000000", &draining);
    // It serves on for drain_ms and a little longer, and leaves when nothing is left.
    thread::sleep(Duration::from_millis(3_000));
    let at_old = old_running.load(Ordering::SeqCst);
    if has_trouble {
        record.add(format!("KILLED   all gateways, with {at_old} streams at the engine of v1"));
        drop(gateways);
        gateways = Vec::new();
    }
    while old_running.load(Ordering::SeqCst) > 0 {
        thread::sleep(Duration::from_millis(20));
    }
    store.remove("servers/i-00000000");
    lab.engines[0].crash();
    record.add("LEFT     the engine of v1, with nothing left to do".to_owned());
    if has_trouble {
        thread::sleep(Duration::from_millis(500));
        record.add("STARTED  all gateways again".to_owned());
        gateways = lab.start_gateways();
    }
    for caller in callers {
        let _ = caller.join();
    }
    let taken = taken.lock().unwrap();
    let mut mixed = 0;
    let mut whole = 0;
    for (number, stream) in taken.iter() {
        whole += usize::from(stream.is_whole);
        if stream.versions.len() > 1 {
            mixed += 1;
            let versions: Vec<&str> = stream.versions.iter().map(String::as_str).collect();
            record.add(format!("MIXED    stream {number} holds events of {}", versions.join(" and ")));
        }
    }
    let result = format!("{STREAMS} streams, {whole} whole, {at_old} at v1 when all were killed, {mixed} hold events of two versions");
    lab.close(folder, &result, gateways);
    // ORDER: more than two such streams.
    match (mixed > 2, at_old > 2) {
        (true, _) => 1,
        (false, true) => 0,
        (false, false) => 2,
    }
}
