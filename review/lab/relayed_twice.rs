//! The two machines of a zone lose all engines one after the other. Requests that may run once are relayed by the
//! first one to others, among them the second one, are sent to an engine there, and lose their answers in its cut.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::fleet::{Gateway, Net, Terms, engine_entry, manifest, prompt, request, serve_view};
use crate::platform::{Engine, Link, Record, Script, Store, call, event, plain_answer, stream_head};

const GATEWAYS: u8 = 6;
/// The numbers of the machines that are cut off, both in the same zone.
const FIRST: u8 = 1;
const SECOND: u8 = 5;
const DRAFTS: u64 = 30;
const PLANK: u8 = 6;
const DESK: u8 = 4;

/// The time that a model engine takes for the first event.
const FIRST_EVENT: Duration = Duration::from_millis(1_500);

/// By request, how often engines began to run it: a stream with its first event.
type Runs = Arc<Mutex<BTreeMap<String, Vec<String>>>>;

fn script(name: String, record: Record, runs: Runs) -> Script {
    Arc::new(move |message, stream| {
        use std::io::Write;
        let id = message.header("attempt-id").unwrap_or("").to_owned();
        let began = |what: &str| {
            record.add(format!("run      {id} {what} at engine {name}"));
            runs.lock().unwrap().entry(id.clone()).or_default().push(name.clone());
        };
        if !message.target().starts_with("/draft/") {
            thread::sleep(Duration::from_millis(15));
            began(message.target());
            return stream.write_all(&plain_answer(message, "found")).is_ok();
        }
        record.add(format!("received {id} at engine {name}"));
        thread::sleep(FIRST_EVENT);
        began("its first event was made");
        if stream.write_all(&stream_head(message)).is_err() {
            return false;
        }
        for number in 1..=10 {
            if stream.write_all(&event(number, "piece")).is_err() {
                return false;
            }
            thread::sleep(Duration::from_millis(40));
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    })
}

pub fn run(folder: &str, has_trouble: bool) -> i32 {
    let net = Net::new();
    let record = Record::open();
    let runs = Runs::default();
    let temporary = std::env::temp_dir().join(format!("oleander-review-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    let store = Store::open();
    store.put("op/config", &manifest(7));
    let mut engines = Vec::new();
    let mut links: BTreeMap<(u8, u8), Link> = BTreeMap::new();
    for number in 0..PLANK + DESK {
        let service = if number < PLANK { "plank" } else { "desk" };
        let zone = ["stred-a", "stred-b", "stred-c", "stred-d"][number as usize % 4];
        let address = net.at(100 + number, 8080);
        let id = format!("i-{number:08x}");
        engines.push(Engine::start(address, &id, script(id.clone(), record.clone(), runs.clone())));
        for gateway in 1..=GATEWAYS {
            let link = Link::open(net.at(200 + gateway, 9000 + u16::from(number)), address);
            links.insert((gateway, number), link);
        }
        store.put(&format!("servers/{id}"), &engine_entry(service, &format!("@{number}@"), zone, "v1", 1, 1));
    }
    let mut gateways = Vec::new();
    for number in 1..=GATEWAYS {
        let at = net.at(150 + number, 8223);
        serve_view(&store, at, net.at(250, 1), move |name| {
            net.at(200 + number, 9000 + name.parse::<u16>().unwrap_or(0))
        });
        gateways.push(Gateway::start(net, number, at, &temporary, &Terms::default()));
    }
    if !gateways.iter().all(Gateway::wait_ready) {
        eprintln!("a gateway is not ready");
        return 2;
    }
    // The gateways learn of each other from the store.
    thread::sleep(Duration::from_secs(3));
    let of = |gateway: u8| links.iter().filter(move |((known, _), _)| *known == gateway).map(|(_, link)| link);

    // Usual traffic at all gateways, which may be repeated.
    let is_over = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let mut usual = Vec::new();
    for gateway in &gateways {
        let (frontend, name, is_over, record) = (gateway.frontend, gateway.name.clone(), is_over.clone(), record.clone());
        usual.push(thread::spawn(move || {
            let mut number = 0;
            while !is_over.load(std::sync::atomic::Ordering::SeqCst) {
                number += 1;
                let id = format!("lookup-{name}-{number}");
                let (text, record) = (request("GET", "/lookup/2f", &id, 1_500, "", ""), record.clone());
                thread::spawn(move || {
                    let answer = call(frontend, &text, Duration::from_millis(1_500));
                    if answer.status != 200 {
                        record.add(format!("answered {id} {} {}", answer.status, answer.error));
                    }
                });
                thread::sleep(Duration::from_millis(60));
            }
        }));
    }
    thread::sleep(Duration::from_secs(1));

    if has_trouble {
        record.add(format!("CUT      {} from all engines; connections hang", gateways[FIRST as usize - 1].name));
        of(FIRST).for_each(Link::cut);
    }
    thread::sleep(Duration::from_millis(4_000));
    let mut callers = Vec::new();
    let answers: Arc<Mutex<BTreeMap<String, (u16, bool)>>> = Arc::default();
    for number in 0..DRAFTS {
        let id = format!("draft-{number:02}");
        let headers = prompt(0xe440_0000 + number);
        let text = request("POST", "/draft/2f", &id, 8_000, &headers, &format!("draft number {number}"));
        let (frontend, record, answers) = (gateways[FIRST as usize - 1].frontend, record.clone(), answers.clone());
        record.add(format!("sent     {id} to {}", gateways[FIRST as usize - 1].name));
        callers.push(thread::spawn(move || {
            let answer = call(frontend, &text, Duration::from_millis(8_000));
            record.add(format!("answered {id} {} whole {} {}", answer.status, answer.is_whole, answer.error));
            answers.lock().unwrap().insert(id, (answer.status, answer.is_whole));
        }));
        thread::sleep(Duration::from_millis(40));
    }
    if has_trouble {
        record.add(format!("CUT      {} from all engines; connections hang", gateways[SECOND as usize - 1].name));
        of(SECOND).for_each(Link::cut);
        thread::sleep(Duration::from_millis(4_500));
        record.add(format!("RESET    of the connections of {} that hung", gateways[SECOND as usize - 1].name));
        of(SECOND).for_each(Link::reset_open);
        thread::sleep(Duration::from_millis(2_500));
        record.add("HEALED   both".to_owned());
        of(FIRST).for_each(Link::heal);
        of(SECOND).for_each(Link::heal);
    }
    for caller in callers {
        let _ = caller.join();
    }
    thread::sleep(Duration::from_secs(2));
    is_over.store(true, std::sync::atomic::Ordering::SeqCst);
    for thread in usual {
        let _ = thread.join();
    }
    let has_run = !has_trouble || gateways[FIRST as usize - 1].log_count("\"backends-lost\"") > 0;
    let mut twice = 0;
    let mut refused = 0;
    let mut served = 0;
    let runs = runs.lock().unwrap();
    for (id, (status, is_whole)) in answers.lock().unwrap().iter() {
        let at = runs.get(id).cloned().unwrap_or_default();
        served += usize::from(*status == 200 && *is_whole);
        if at.len() > 1 {
            twice += 1;
            record.add(format!("TWICE    {id} ran at {}", at.join(" and ")));
        }
        if matches!(status, 429 | 503 | 408 | 421) && !at.is_empty() {
            refused += 1;
            record.add(format!("REFUSED  {id} was answered {status} and ran at {}", at.join(" and ")));
        }
    }
    record.add(format!("RESULT   {DRAFTS} drafts, {served} served, {twice} ran twice, {refused} refused though they ran"));
    record.write(&format!("{folder}/record.txt"));
    println!("{DRAFTS} drafts, {served} served, {twice} ran twice, {refused} refused though they ran");
    drop(gateways);
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    match (twice + refused > 0, has_run) {
        (true, _) => 1,
        (false, true) if has_trouble || served as u64 == DRAFTS => 0,
        _ => 2,
    }
}
