//! A manifest raises the longest body. Requests on connections that were idle meanwhile are still measured by the old one.

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::fleet::{Gateway, Net, Terms, engine_entry, manifest, request};
use crate::platform::{Engine, Record, Script, Store, plain_answer, read_message};

const CONNECTIONS: usize = 16;

pub fn run(folder: &str, has_trouble: bool) -> i32 {
    let net = Net::new();
    let record = Record::open();
    let temporary = std::env::temp_dir().join(format!("oleander-review-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    let store = Store::open();
    let small = |version| manifest(version).replace("\"max_body_bytes\":4194304", "\"max_body_bytes\":65536");
    store.put("op/config", &small(7));
    for number in 0..4_u8 {
        let address = net.at(100 + number, 8080);
        let id = format!("i-{number:08x}");
        let script: Script = Arc::new(|message, stream| stream.write_all(&plain_answer(message, "done")).is_ok());
        Engine::start(address, &id, script);
        store.put(&format!("servers/{id}"), &engine_entry("desk", &address.to_string(), "stred-a", "v1", 1, 1));
    }
    let at = net.at(150, 8223);
    store.serve(at, Arc::new(|_, data| data.to_owned()));
    let gateways: Vec<Gateway> =
        (1..=2).map(|number| Gateway::start(net, number, at, &temporary, &Terms::default())).collect();
    if !gateways.iter().all(Gateway::wait_ready) {
        return 2;
    }
    thread::sleep(Duration::from_secs(1));
    let exchange = |stream: &TcpStream, id: &str, body: &str| -> u16 {
        let text = request("POST", "/publish/2f", id, 1_500, "", body);
        let _ = (&mut &*stream).write_all(text.as_bytes());
        let mut reader = BufReader::new(stream);
        let status = read_message(&mut reader).map_or(0, |answer| answer.status());
        record.add(format!("answered {id} of {} bytes: {status}", body.len()));
        status
    };
    let open = |number: usize| {
        let stream = TcpStream::connect(gateways[number % gateways.len()].frontend).expect("the gateway listens");
        let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
        stream
    };
    let kept: Vec<TcpStream> = (0..CONNECTIONS).map(open).collect();
    let first = kept.iter().enumerate().filter(|(number, stream)| exchange(stream, &format!("small-{number}"), "short") == 200).count();
    if has_trouble {
        record.add("MANIFEST 8, with max_body_bytes 4194304".to_owned());
        store.put("op/config", &manifest(8));
    }
    thread::sleep(Duration::from_secs(5));
    let long = "x".repeat(if has_trouble { 100_000 } else { 60_000 });
    let denied = kept.iter().enumerate().filter(|(number, stream)| exchange(stream, &format!("kept-{number}"), &long) == 413).count();
    let new = (0..CONNECTIONS).filter(|number| exchange(&open(*number), &format!("new-{number}"), &long) == 200).count();
    let result = format!("{first} short requests served; {denied} of {CONNECTIONS} on kept connections denied, {new} of {CONNECTIONS} on new ones served");
    record.add(format!("RESULT   {result}"));
    record.write(&format!("{folder}/record.txt"));
    println!("{result}");
    drop(gateways);
    let _ = std::fs::remove_dir_all(&temporary);
    // DENIED: more than 5 + one in 500 of all requests.
    i32::from(denied > 5)
}
