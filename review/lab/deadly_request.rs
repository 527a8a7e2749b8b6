//! A request crashes each engine that begins to run it. The engines are back after two seconds. The request comes
//! again and again, with the same path, caller and body.

use std::collections::BTreeSet;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::fleet::{Gateway, Net, Terms, engine_entry, manifest, prompt, request};
use crate::platform::{Engine, Record, Script, Store, call, event, plain_answer, stream_head};

const GATEWAYS: u8 = 3;
const MODEL_ENGINES: u8 = 9;
/// The time after which an engine that crashed is back.
const BACK_AFTER: Duration = Duration::from_secs(2);
const STABLE_S: f64 = 3.0;
const DEADLY: &str = "/lookup/entry-4711/2f";

/// The times at which engines began to run the deadly request, with the requester's attempt.
type Arrivals = Arc<Mutex<Vec<(f64, String, String)>>>;

fn script(name: String, record: Record, arrivals: Arrivals, engine: Engine, is_deadly: bool) -> Script {
    Arc::new(move |message, stream| {
        let id = message.header("attempt-id").unwrap_or("").to_owned();
        if message.target() == DEADLY && is_deadly {
            record.add(format!("run      {id} at engine {name}, which crashes"));
            arrivals.lock().unwrap().push((record.now(), id, name.clone()));
            engine.crash();
            return false;
        }
        thread::sleep(Duration::from_millis(15));
        stream.write_all(&plain_answer(message, "found")).is_ok()
    })
}

/// The engines of the service come back under their ids; sound requests come beside the deadly one.
pub fn run_kept_ids(folder: &str, has_trouble: bool) -> i32 {
    // With new ids the same case shows what is expected.
    let has_new_ids = std::env::var("IDS").as_deref() == Ok("new");
    run(folder, has_trouble, &Setting { engines: 3, has_new_ids, has_sound: true, length_s: 80.0 })
}

/// The engines of the service come back under new ids; nobody else calls the service.
pub fn run_quiet(folder: &str, has_trouble: bool) -> i32 {
    // With sound requests the same case shows what is expected.
    let has_sound = std::env::var("SOUND").as_deref() == Ok("1");
    run(folder, has_trouble, &Setting { engines: 4, has_new_ids: true, has_sound, length_s: 25.0 })
}

struct Setting {
    engines: u8,
    has_new_ids: bool,
    /// Whether sound requests come to the service.
    has_sound: bool,
    /// How long the requests come, in seconds.
    length_s: f64,
}

fn run(folder: &str, has_trouble: bool, setting: &Setting) -> i32 {
    let Setting { engines, has_new_ids, has_sound, length_s } = *setting;
    let net = Net::new();
    let record = Record::open();
    let arrivals = Arrivals::default();
    let temporary = std::env::temp_dir().join(format!("oleander-review-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    let store = Store::open();
    store.put("op/config", &manifest(7));
    let is_over = Arc::new(AtomicBool::new(false));
    for number in 0..engines {
        let (store, record, arrivals, is_over) = (store.clone(), record.clone(), arrivals.clone(), is_over.clone());
        thread::spawn(move || {
            let address = net.at(100 + number, 8080);
            let zone = ["stred-a", "stred-b", "stred-c", "stred-d"][number as usize];
            let mut boot = 0_u64;
            while !is_over.load(Ordering::SeqCst) {
                boot += 1;
                let id = match has_new_ids {
                    true => format!("i-{number:04x}{boot:04x}"),
                    false => format!("i-{number:08x}"),
                };
                let engine = Engine::at(address);
                engine.serve(&id, script(id.clone(), record.clone(), arrivals.clone(), engine.clone(), has_trouble));
                let key = format!("servers/{id}");
                let mut writes = 0;
                // It writes its entry about each heartbeat.
                while !engine.has_ended() && !is_over.load(Ordering::SeqCst) {
                    if writes % 120 == 0 {
                        let entry = engine_entry("desk", &address.to_string(), zone, "v1", 1_000 + boot, 1 + writes / 120);
                        store.put(&key, &entry);
                    }
                    writes += 1;
                    thread::sleep(Duration::from_millis(10));
                }
                thread::sleep(BACK_AFTER);
                if has_new_ids {
                    // The entry of the old id is removed after three heartbeats of silence.
                    let store = store.clone();
                    thread::spawn(move || {
                        thread::sleep(Duration::from_millis(1_600));
                        store.remove(&key);
                    });
                }
            }
        });
    }
    // The model engines of the other service, which are sound.
    for number in 0..MODEL_ENGINES {
        let address = net.at(120 + number, 8080);
        let id = format!("i-{:08x}", 0x100 + u32::from(number));
        let script: Script = Arc::new(|message, stream| {
            let answer = [stream_head(message), event(1, "piece"), b"0\r\n\r\n".to_vec()].concat();
            stream.write_all(&answer).is_ok()
        });
        drop(Engine::start(address, &id, script));
        let zone = ["stred-a", "stred-b", "stred-c"][number as usize % 3];
        store.put(&format!("servers/{id}"), &engine_entry("plank", &address.to_string(), zone, "v1", 1, 1));
    }
    let at = net.at(150, 8223);
    store.serve(at, Arc::new(|_, data| data.to_owned()));
    let gateways: Vec<Gateway> =
        (1..=GATEWAYS).map(|number| Gateway::start(net, number, at, &temporary, &Terms::default())).collect();
    if !gateways.iter().all(Gateway::wait_ready) {
        eprintln!("a gateway is not ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(2));

    // Sound requests at all gateways.
    let mut usual = Vec::new();
    let served = Arc::new(Mutex::new((0_usize, 0_usize)));
    for gateway in &gateways {
        let (frontend, name, is_over, served) = (gateway.frontend, gateway.name.clone(), is_over.clone(), served.clone());
        usual.push(thread::spawn(move || {
            let mut number = 0;
            while !is_over.load(Ordering::SeqCst) {
                number += 1;
                let path = if has_sound { "/lookup/sound/2f" } else { "/archive/sound/2f" };
                let headers = if has_sound { String::new() } else { prompt(number) };
                let text = request("GET", path, &format!("sound-{name}-{number}"), 1_500, &headers, "");
                let answer = call(frontend, &text, Duration::from_millis(1_500));
                let mut served = served.lock().unwrap();
                served.0 += usize::from(answer.status == 200);
                served.1 += 1;
                drop(served);
                thread::sleep(Duration::from_millis(100));
            }
        }));
    }
    thread::sleep(Duration::from_secs(1));
    let started = record.now();
    let mut number = 0_usize;
    while record.now() - started < length_s {
        number += 1;
        let frontend: SocketAddr = gateways[number % gateways.len()].frontend;
        let id = format!("deadly-{number:03}");
        let text = request("GET", DEADLY, &id, 1_500, "", "");
        let answer = call(frontend, &text, Duration::from_millis(1_500));
        record.add(format!("answered {id} {} {}", answer.status, answer.error));
        thread::sleep(Duration::from_millis(700));
    }
    is_over.store(true, Ordering::SeqCst);
    for thread in usual {
        let _ = thread.join();
    }
    let arrivals = arrivals.lock().unwrap();
    let third = arrivals.get(2).map(|(at, ..)| *at);
    let late: BTreeSet<&str> = arrivals
        .iter()
        .filter(|(at, ..)| third.is_some_and(|third| *at > third + STABLE_S))
        .map(|(_, id, _)| id.as_str())
        .collect();
    let (good, all) = *served.lock().unwrap();
    let result = format!(
        "{number} deadly requests, {} crashes, the third at {:.1} s; {} attempts reached engines later than {STABLE_S} s after it; {good} of {all} sound requests served",
        arrivals.len(),
        third.unwrap_or(0.0),
        late.len()
    );
    record.add(format!("RESULT   {result}"));
    record.write(&format!("{folder}/record.txt"));
    println!("{result}");
    drop(gateways);
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    match (late.len() > 3, has_trouble, third) {
        (true, ..) => 1,
        (false, true, None) => 2,
        _ => 0,
    }
}
