//! Runs a real gateway process between scripted engines and a stand-in for the users' store.

#![allow(dead_code, unreachable_pub)]

pub mod crashing;
pub mod crowd;
pub mod flooding;
#[path = "../common/ports.rs"]
pub mod ports;
pub mod relaying;
pub mod scaled;
pub mod scripted_replica;

use std::ffi::{OsStr, OsString};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use oleander_standin::users::{
    EngineReply, ScriptedEngine, SeenRequest, UsersStore, WireMessage, read_message,
};
use parking_lot::Mutex;
use serde_json::{Value, json};

pub use ports::free_address;

/// Time after which a wait for an expected event fails.
pub const WAIT_LIMIT: Duration = Duration::from_secs(10);

/// The host name of every route.
pub const HOST: &str = "desk.example";
/// An API key of the customer `press`.
pub const KEY: &str = "key-of-press";

/// The environment variable that may name another gateway program.
const PROGRAM_VARIABLE: &str = "OLEANDERPLANK_PROGRAM";

/// A running gateway process.
pub struct TestGateway {
    child: Child,
    pub frontend: SocketAddr,
    pub readiness: SocketAddr,
    pub control: SocketAddr,
    pub metrics: SocketAddr,
    pub gossip: SocketAddr,
    settings_path: PathBuf,
    program: OsString,
    log: Arc<Mutex<Vec<String>>>,
    _dir: tempfile::TempDir,
}

/// Returns the settings in the form in which the platform writes them.
pub fn settings(
    name: &str,
    store: SocketAddr,
    addresses: [SocketAddr; 3],
    seeds: &[SocketAddr],
) -> Value {
    let [frontend, readiness, control] = addresses;
    let gossip_port = free_address().port();
    json!({
        "node_name": name, "role": "gateway", "machine_class": "edge", "serves": ["edge", "control"],
        "ip_address": "127.0.0.1", "zone": "north-a", "region": "north",
        "zones": {"north-a": "north"},
        "listen": {"frontend": frontend, "readiness": readiness, "control_plane": control},
        "port_range": [gossip_port, gossip_port], "seed_nodes": seeds, "bootstrap": true,
        "limits": {"cpu_quota": 0.25, "cpu_cores": 1, "memory_mb": 110, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
        "data_path": null, "heartbeat_ms": 1200,
        "bounds": {"drain_ms": 2000, "grace_s": 4, "config_apply_ms": 2000, "retry_ratio": 0.2,
            "retry_window_s": 10, "retry_burst": 50, "a_new_bound": true},
        "platform": {"address": store, "form": "kv", "min_ttl_ms": 1000}
    })
}

impl TestGateway {
    /// Starts a gateway and waits until it reports that it is ready.
    pub fn start(store: &UsersStore) -> Self {
        let gateway = Self::spawn("edge-1", store, &[]);
        gateway.wait_ready();
        gateway
    }

    /// Starts a gateway.
    pub fn spawn(name: &str, store: &UsersStore, seeds: &[SocketAddr]) -> Self {
        Self::spawn_with(name, "north-a", store, seeds, true)
    }

    /// Starts a gateway in a data centre.
    pub fn spawn_in(centre: &str, name: &str, store: &UsersStore) -> Self {
        Self::spawn_with(name, centre, store, &[], true)
    }

    /// Starts a gateway whose log is not read.
    pub fn spawn_unread(name: &str, store: &UsersStore) -> Self {
        Self::spawn_with(name, "north-a", store, &[], false)
    }

    /// Returns the resident memory of the process, in kilobytes.
    pub fn resident_kilobytes(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("the process is alive");
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().nth(1));
        number.and_then(|text| text.parse().ok()).expect("a number")
    }

    /// Starts a gateway whose settings name more groups of rules.
    pub fn spawn_under(contracts: &[&str], name: &str, store: &UsersStore) -> Self {
        Self::spawn_changed(name, store.address(), &[], true, |text| {
            text["contracts"] = json!(contracts);
        })
    }

    /// Returns the bytes that the kernel holds for the connections at the gateway's addresses, in kilobytes.
    pub fn kernel_kilobytes(&self) -> u64 {
        self.sockets().into_iter().sum::<u64>() / 1_024
    }

    /// Returns the number of open connections at the gateway's addresses.
    pub fn open_sockets(&self) -> usize {
        self.sockets().len()
    }

    /// Returns the bytes that the kernel holds for each connection at the gateway's addresses.
    fn sockets(&self) -> Vec<u64> {
        const LISTENS: &str = "0A";
        const WAITS_AFTER_CLOSE: &str = "06";
        let table = std::fs::read_to_string("/proc/net/tcp").expect("the kernel lists sockets");
        let addresses = [self.frontend, self.readiness, self.control, self.metrics];
        let ports: Vec<String> = addresses
            .iter()
            .map(|address| format!(":{:04X}", address.port()))
            .collect();
        let held = |line: &str| {
            let fields: Vec<&str> = line.split_whitespace().take(5).collect();
            let [_, local, _, state, queues] = fields[..] else {
                return None;
            };
            let is_ours = ports.iter().any(|port| local.ends_with(port));
            if !is_ours || [LISTENS, WAITS_AFTER_CLOSE].contains(&state) {
                return None;
            }
            let (sent, received) = queues.split_once(':')?;
            let number = |text| u64::from_str_radix(text, 16).ok();
            Some(number(sent)? + number(received)?)
        };
        table.lines().filter_map(held).collect()
    }

    fn spawn_with(
        name: &str,
        centre: &str,
        store: &UsersStore,
        seeds: &[SocketAddr],
        is_read: bool,
    ) -> Self {
        Self::spawn_changed(name, store.address(), seeds, is_read, |text| {
            text["zone"] = centre.into();
        })
    }

    /// Starts a gateway with changed settings, at the given address of the store.
    pub fn spawn_changed(
        name: &str,
        store: SocketAddr,
        seeds: &[SocketAddr],
        is_read: bool,
        change: impl FnOnce(&mut Value),
    ) -> Self {
        Self::spawn_program(program(), name, store, seeds, is_read, change)
    }

    /// Starts a gateway of the given program, with changed settings. It starts again with the same program.
    pub fn spawn_program(
        program: OsString,
        name: &str,
        store: SocketAddr,
        seeds: &[SocketAddr],
        is_read: bool,
        change: impl FnOnce(&mut Value),
    ) -> Self {
        let addresses = [free_address(), free_address(), free_address()];
        let metrics = free_address();
        let dir = tempfile::tempdir().expect("a test may write a folder");
        let settings_path = dir.path().join("local.json");
        let mut text = settings(name, store, addresses, seeds);
        change(&mut text);
        let gossip_port = text["port_range"][0].as_u64().expect("a port");
        let gossip_port = u16::try_from(gossip_port).expect("ports are small");
        std::fs::write(&settings_path, text.to_string()).expect("a test may write a file");
        let log = Arc::new(Mutex::new(Vec::new()));
        let mut child = spawn_process(&program, &settings_path, metrics);
        if is_read {
            read_log(&mut child, &log);
        }
        Self {
            child,
            frontend: addresses[0],
            readiness: addresses[1],
            control: addresses[2],
            metrics,
            gossip: SocketAddr::from(([127, 0, 0, 1], gossip_port)),
            settings_path,
            program,
            log,
            _dir: dir,
        }
    }

    /// Waits until the gateway reports that it is ready.
    pub fn wait_ready(&self) {
        wait_for("the gateway is ready", || {
            fetch(self.readiness, "/readyz") == Some(200)
        });
    }

    /// Returns whether the gateway reports that it is ready.
    pub fn is_ready(&self) -> bool {
        fetch(self.readiness, "/readyz") == Some(200)
    }

    /// Opens a connection as a caller.
    pub fn caller(&self) -> Caller {
        Caller::open(self.frontend)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        let pid = i32::try_from(self.child.id()).expect("process ids are small");
        #[allow(unsafe_code)]
        // SAFETY: the call takes two integers, and the process is one that this test started.
        unsafe {
            libc::kill(pid, signal);
        }
    }

    /// Overwrites the settings file.
    pub fn write_settings(&self, text: &str) {
        std::fs::write(&self.settings_path, text).expect("a test may write a file");
    }

    /// Changes the settings file and waits until the gateway has read it.
    pub fn edit_settings(&self, edit: impl FnOnce(&mut Value)) {
        let text = std::fs::read_to_string(&self.settings_path).expect("the test wrote it");
        let mut settings = serde_json::from_str(&text).expect("settings");
        edit(&mut settings);
        self.write_settings(&settings.to_string());
        self.wait_log("reload", |line| line["outcome"] == "taken over");
    }

    /// Waits until the process ends.
    pub fn wait_end(&mut self) {
        let until = Instant::now() + WAIT_LIMIT;
        while Instant::now() < until {
            if matches!(self.child.try_wait(), Ok(Some(_))) {
                return;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        panic!("the gateway did not end");
    }

    /// Returns the log lines of an event.
    pub fn log(&self, event: &str) -> Vec<Value> {
        let lines = self.log.lock();
        lines
            .iter()
            .filter_map(|line| serde_json::from_str::<Value>(line).ok())
            .filter(|line| line["event"] == event)
            .collect()
    }

    /// Explains a request from the logs of the given gateways.
    pub fn explain(gateways: &[&Self], id: &str) -> String {
        let mut logs = oleander_operator::GatewayLogs::default();
        for gateway in gateways {
            let text = gateway.log.lock().join("\n");
            logs.read(text.as_bytes()).expect("a text can be read");
        }
        logs.explain(id).expect("the request has lines")
    }

    /// Kills the process without warning.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process is this test's own");
        self.wait_end();
    }

    /// Starts the process again, with the same settings and addresses, after it has ended.
    pub fn restart(&mut self) {
        self.child = spawn_process(&self.program, &self.settings_path, self.metrics);
        read_log(&mut self.child, &self.log);
    }

    /// Waits until the process ends, for as long as `limit`. Returns whether it has ended.
    pub fn has_ended_within(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if matches!(self.child.try_wait(), Ok(Some(_))) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Returns the log lines that contain `text`.
    pub fn lines_with(&self, text: &str) -> Vec<String> {
        let lines = self.log.lock();
        let found = lines.iter().filter(|line| line.contains(text));
        found.cloned().collect()
    }

    /// Waits for a log line of `event` for which `matches` holds.
    pub fn wait_log(&self, event: &str, matches: impl Fn(&Value) -> bool) -> Value {
        let mut found = None;
        wait_for(event, || {
            found = self.log(event).into_iter().find(|line| matches(line));
            found.is_some()
        });
        found.expect("the wait ends with a line")
    }

    /// Reads a page from the metrics address.
    pub fn page(&self, path: &str) -> String {
        let mut caller = Caller::open(self.metrics);
        caller.send(&format!("GET {path} HTTP/1.1\r\nHost: m\r\n\r\n"));
        caller.read().expect("a page").text()
    }
}

/// Starts the gateway program.
fn spawn_process(program: &OsStr, settings_path: &Path, metrics: SocketAddr) -> Child {
    Command::new(program)
        .args(["gateway", "--metrics-port", &metrics.port().to_string()])
        .env("OLEANDERPLANK_BOOT", settings_path)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the program starts")
}

/// Returns the gateway program: another build may be named, so that tests show what it does.
pub fn program() -> OsString {
    let named = std::env::var_os(PROGRAM_VARIABLE);
    named.unwrap_or_else(|| env!("CARGO_BIN_EXE_oleanderplank").into())
}

/// Collects the lines of a gateway's log on a thread of its own.
fn read_log(child: &mut Child, log: &Arc<Mutex<Vec<String>>>) {
    let stdout = child.stdout.take().expect("standard output is piped");
    let lines = Arc::clone(log);
    std::thread::spawn(move || {
        let reader = BufReader::new(stdout);
        for line in std::io::BufRead::lines(reader).map_while(Result::ok) {
            lines.lock().push(line);
        }
    });
}

impl Drop for TestGateway {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until a condition holds.
pub fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + WAIT_LIMIT;
    while Instant::now() < until {
        if holds() {
            return;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    panic!("not in time: {what}");
}

fn fetch(address: SocketAddr, path: &str) -> Option<u16> {
    let stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    let mut caller = Caller {
        reader: BufReader::new(stream),
    };
    caller.send(&format!("GET {path} HTTP/1.1\r\nHost: m\r\n\r\n"));
    caller.read().map(|answer| answer.status())
}

/// A caller's connection.
pub struct Caller {
    reader: BufReader<TcpStream>,
}

impl Caller {
    pub fn open(address: SocketAddr) -> Self {
        Self::try_open(address).expect("the gateway listens")
    }

    /// Connects to a gateway that may have ended.
    pub fn try_open(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(address).ok()?;
        stream
            .set_read_timeout(Some(WAIT_LIMIT))
            .expect("a socket takes a timeout");
        Some(Self {
            reader: BufReader::new(stream),
        })
    }

    pub fn send(&mut self, text: &str) {
        // The gateway may close first; the following read then fails.
        let _ = self.reader.get_mut().write_all(text.as_bytes());
    }

    pub fn read(&mut self) -> Option<WireMessage> {
        read_message(&mut self.reader).ok().flatten()
    }

    /// Reads the remaining bytes until the connection ends.
    pub fn read_rest(&mut self) -> Vec<u8> {
        let mut rest = Vec::new();
        // A reset ends the data as a close does.
        let _ = self.reader.read_to_end(&mut rest);
        rest
    }

    /// Reads until the bytes read so far contain `text`.
    pub fn read_until(&mut self, text: &str) -> String {
        let mut seen = Vec::new();
        let mut byte = [0];
        while !String::from_utf8_lossy(&seen).contains(text) {
            match self.reader.read(&mut byte) {
                Ok(1) => seen.push(byte[0]),
                _ => break,
            }
        }
        String::from_utf8_lossy(&seen).into_owned()
    }

    /// Sends a call and reads its answer.
    pub fn call(&mut self, call: &Call<'_>) -> WireMessage {
        self.send(&call.text());
        self.read().expect("an answer")
    }
}

/// A call of a caller.
#[derive(Debug, Clone)]
pub struct Call<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub time_ms: u64,
    pub headers: &'a str,
    pub body: &'a str,
}

impl<'a> Call<'a> {
    /// Creates a call that must run at most once.
    pub fn publish(id: &'a str) -> Self {
        Self {
            method: "POST",
            path: "/publish/x",
            id,
            time_ms: 1_500,
            headers: "",
            body: "a notice",
        }
    }

    /// Creates a call that may be repeated.
    pub fn lookup(id: &'a str) -> Self {
        Self {
            method: "GET",
            path: "/lookup/x",
            body: "",
            ..Self::publish(id)
        }
    }

    /// Creates a streaming call that may be resumed at another engine.
    pub fn stream(id: &'a str) -> Self {
        Self {
            path: "/digest/x",
            time_ms: 8_000,
            headers: "Model: m\r\nToken-Usage: 1460,80\r\nPrompt-Prefix: 5c1e07a2:1000,91bd3f06:460\r\n",
            ..Self::publish(id)
        }
    }

    pub fn text(&self) -> String {
        let Self {
            method,
            path,
            id,
            time_ms,
            headers,
            body,
        } = self;
        let length = match *method {
            "GET" => String::new(),
            _ => format!("Content-Length: {}\r\n", body.len()),
        };
        format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {time_ms}\r\nAuthorization: Bearer {KEY}\r\n{headers}{length}\r\n{body}"
        )
    }
}

/// Returns the manifest that every test starts with.
pub fn manifest(version: u64) -> Value {
    let route = |name: &str,
                 kind: &str,
                 service: &str,
                 target: u64,
                 attempts: u32,
                 resume: bool| {
        json!({
            "name": name, "hostname": HOST, "path_prefix": format!("/{name}/"), "route_type": kind,
            "timeout_ms": 6000, "latency_target_ms": target, "priority": 1, "backend": service,
            "max_attempts": attempts, "anonymous": false, "session_affinity": kind == "streaming",
            "stream_resume": resume, "inter_token_ms": 200
        })
    };
    json!({
        "version": version,
        "routes": [
            route("publish", "non_idempotent", "desk", 100, 1, false),
            route("lookup", "idempotent", "desk", 100, 2, false),
            route("digest", "streaming", "engines", 1200, 2, true),
            route("draft", "streaming", "engines", 1200, 1, false),
        ],
        "backends": [
            {"name": "desk", "health_path": "/healthz", "max_connections": 96},
            {"name": "engines", "health_path": "/healthz", "max_connections": 600}
        ],
        "limits": {"max_header_bytes": 4096, "max_body_bytes": 100_000, "header_timeout_ms": 600, "idle_timeout_ms": 5000},
        "tenants": [{"name": "press", "api_keys": [KEY], "priority": 3}]
    })
}

/// Starts an engine and registers it in the store.
pub fn start_engine(
    store: &UsersStore,
    id: &str,
    service: &str,
    script: impl Fn(&SeenRequest) -> EngineReply + Send + Sync + 'static,
) -> ScriptedEngine {
    let engine = ScriptedEngine::spawn(script);
    announce(store, id, service, &engine, "available");
    engine
}

/// Registers an engine in the store.
pub fn announce(store: &UsersStore, id: &str, service: &str, engine: &ScriptedEngine, phase: &str) {
    announce_version(store, id, service, engine, phase, "v1");
}

/// Registers an engine in the store under an address of its own.
pub fn announce_at(store: &UsersStore, id: &str, service: &str, address: SocketAddr) {
    let entry = registry_entry(service, address, "available", "v1");
    store.put(&format!("servers/{id}"), entry.to_string());
}

/// Registers an engine in the store that has written its entry `writes` times.
pub fn announce_entry(
    store: &UsersStore,
    id: &str,
    service: &str,
    engine: &ScriptedEngine,
    phase: &str,
    writes: u64,
) {
    let mut entry = registry_entry(service, engine.address(), phase, "v1");
    entry["seq"] = json!(writes);
    store.put(&format!("servers/{id}"), entry.to_string());
}

/// Registers an engine of a software version in the store.
pub fn announce_version(
    store: &UsersStore,
    id: &str,
    service: &str,
    engine: &ScriptedEngine,
    phase: &str,
    version: &str,
) {
    let entry = registry_entry(service, engine.address(), phase, version);
    store.put(&format!("servers/{id}"), entry.to_string());
}

/// Registers an engine of a software version in the store whose process started at a time, in milliseconds.
pub fn announce_process(
    store: &UsersStore,
    id: &str,
    engine: &ScriptedEngine,
    version: &str,
    started_ms: u64,
) {
    announce_process_at(store, id, engine.address(), version, started_ms);
}

/// Registers such an engine in the store under an address of its own.
pub fn announce_process_at(
    store: &UsersStore,
    id: &str,
    address: SocketAddr,
    version: &str,
    started_ms: u64,
) {
    let mut entry = registry_entry("engines", address, "available", version);
    entry["born"] = json!(started_ms);
    store.put(&format!("servers/{id}"), entry.to_string());
}

/// Registers an engine of a software version once more, without the time at which its process started.
pub fn announce_without_start(
    store: &UsersStore,
    id: &str,
    engine: &ScriptedEngine,
    version: &str,
) {
    const LATER_WRITE: u64 = 2;
    let mut entry = registry_entry("engines", engine.address(), "available", version);
    let fields = entry.as_object_mut().expect("an entry is an object");
    fields.remove("born");
    fields.insert("seq".to_owned(), json!(LATER_WRITE));
    store.put(&format!("servers/{id}"), entry.to_string());
}

fn registry_entry(service: &str, address: SocketAddr, phase: &str, version: &str) -> Value {
    json!({
        "backend": service, "address": address, "zone": "north-a", "version": version,
        "max_concurrency": 8, "phase": phase, "warmup_left_ms": 0, "seq": 1, "born": 1
    })
}

/// Starts a store with the manifest in force.
pub fn store_with_manifest() -> UsersStore {
    let store = UsersStore::spawn();
    store.put("op/config", manifest(1).to_string());
    store
}
