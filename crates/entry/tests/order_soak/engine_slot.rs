//! A place in the fleet for one engine after the other: its address stays, its process, id and software version change.

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use oleander_base::{FastMap, FastSet};
use oleander_standin::users::{FaultyLink, UsersStore};
use parking_lot::Mutex;
use serde_json::{Value, json};

use super::checker::Runs;
use super::engine::{self, EngineSettings};
use crate::gateway::free_address;

/// The name of the test that is the engine process.
const ENGINE_TEST: &str = "engine_process";
/// The number of requests that an engine runs at once, as its entry names it.
const CONCURRENCY: u32 = 32;
/// The longest time that the start of a process takes.
const START_LIMIT: Duration = Duration::from_secs(10);

/// The reports of the engines.
#[derive(Debug, Default)]
pub struct Reports {
    /// The runs of each request.
    pub runs: Runs,
    /// The attempt ids of the runs that were written to the end.
    pub finished: FastSet<String>,
    /// The number of processes killed, by service.
    pub kills: FastMap<&'static str, usize>,
}

/// A place for an engine.
pub struct EngineSlot {
    pub service: &'static str,
    centre: String,
    engine_address: SocketAddr,
    link: Option<FaultyLink>,
    /// Held by the one fault that is in progress at this engine.
    pub busy: Mutex<()>,
    tenant: Mutex<Option<EngineTenant>>,
}

/// The engine that is at a place now.
struct EngineTenant {
    process: EngineProcess,
    id: String,
    version: String,
    born_ms: u64,
    seq: u64,
    phase: &'static str,
    service: &'static str,
    is_unlisted: bool,
}

/// A child process that is killed when it is dropped.
struct EngineProcess {
    child: Child,
    commands: ChildStdin,
}

impl Drop for EngineProcess {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl EngineSlot {
    /// Creates a place without an engine. Gateways reach it through a link if `has_link`.
    pub fn new(service: &'static str, centre: &str, has_link: bool) -> Self {
        let engine_address = free_address();
        Self {
            service,
            centre: centre.to_owned(),
            engine_address,
            link: has_link.then(|| FaultyLink::spawn(engine_address)),
            busy: Mutex::new(()),
            tenant: Mutex::new(None),
        }
    }

    /// Returns the link to the engine, if there is one.
    pub fn link(&self) -> Option<&FaultyLink> {
        self.link.as_ref()
    }

    /// Returns whether an engine is here that takes requests.
    pub fn is_available(&self) -> bool {
        let tenant = self.tenant.lock();
        tenant
            .as_ref()
            .is_some_and(|tenant| tenant.phase == "available" && tenant.service == self.service)
    }

    /// Returns the software version of the engine that is here.
    pub fn version(&self) -> Option<String> {
        self.tenant
            .lock()
            .as_ref()
            .map(|tenant| tenant.version.clone())
    }

    /// Starts an engine here, which obeys the command first, and registers it once it accepts connections.
    pub fn start(
        &self,
        id: &str,
        version: &str,
        first_command: &str,
        store: &UsersStore,
        reports: &Arc<Mutex<Reports>>,
    ) {
        self.start_of(self.service, id, version, first_command, store, reports);
    }

    /// Starts an engine of a service that may be another one than its place is for.
    pub fn start_of(
        &self,
        service: &'static str,
        id: &str,
        version: &str,
        first_command: &str,
        store: &UsersStore,
        reports: &Arc<Mutex<Reports>>,
    ) {
        let settings = EngineSettings {
            id: id.to_owned(),
            version: version.to_owned(),
            address: self.engine_address,
            born_ms: unix_ms(),
            first_command: first_command.to_owned(),
        };
        let process = spawn_process(&settings, reports);
        *self.tenant.lock() = Some(EngineTenant {
            process,
            id: settings.id,
            version: settings.version,
            born_ms: settings.born_ms,
            seq: 0,
            phase: "available",
            service,
            is_unlisted: false,
        });
        self.write_entry(store);
    }

    /// Writes the engine's entry in the registry once more.
    pub fn write_entry(&self, store: &UsersStore) {
        let mut tenant = self.tenant.lock();
        let Some(tenant) = tenant.as_mut() else {
            return;
        };
        if tenant.is_unlisted {
            return;
        }
        tenant.seq += 1;
        let key = format!("servers/{}", tenant.id);
        store.put(&key, self.entry(tenant).to_string());
    }

    /// Returns the text of the engine's entry.
    fn entry(&self, tenant: &EngineTenant) -> Value {
        let link = self.link.as_ref().map(FaultyLink::address);
        json!({
            "backend": tenant.service, "address": link.unwrap_or(self.engine_address), "zone": self.centre,
            "version": tenant.version, "max_concurrency": CONCURRENCY, "phase": tenant.phase,
            "warmup_left_ms": 0, "seq": tenant.seq, "born": tenant.born_ms
        })
    }

    /// Takes the engine's entry out of the registry, or has it written again, while the engine lives.
    pub fn unlist(&self, is_unlisted: bool, store: &UsersStore) {
        if let Some(tenant) = self.tenant.lock().as_mut() {
            tenant.is_unlisted = is_unlisted;
            if is_unlisted {
                store.delete(&format!("servers/{}", tenant.id));
            }
        }
        self.write_entry(store);
    }

    /// Writes the engine's entry once without the time at which its process started.
    pub fn write_entry_without_start(&self, store: &UsersStore) {
        let mut tenant = self.tenant.lock();
        let Some(tenant) = tenant.as_mut() else {
            return;
        };
        tenant.seq += 1;
        let mut entry = self.entry(tenant);
        entry.as_object_mut().expect("an object").remove("born");
        store.put(&format!("servers/{}", tenant.id), entry.to_string());
    }

    /// Returns the id of the engine that is here.
    pub fn id(&self) -> Option<String> {
        self.tenant.lock().as_ref().map(|tenant| tenant.id.clone())
    }

    /// Kills the engine. Returns its id and version; its entry stays.
    pub fn kill(&self, reports: &Mutex<Reports>) -> Option<(String, String)> {
        let EngineTenant {
            process,
            id,
            version,
            ..
        } = self.tenant.lock().take()?;
        drop(process);
        *reports.lock().kills.entry(self.service).or_default() += 1;
        Some((id, version))
    }

    /// Writes a line on the standard input of the engine.
    pub fn command(&self, line: &str) {
        if let Some(tenant) = self.tenant.lock().as_mut() {
            // An engine that was killed reads no command.
            let _ = writeln!(tenant.process.commands, "{line}");
        }
    }

    /// Has the engine say that it leaves.
    pub fn leave(&self, store: &UsersStore) {
        if let Some(tenant) = self.tenant.lock().as_mut() {
            tenant.phase = "draining";
            // An engine that was killed reads no command.
            let _ = writeln!(tenant.process.commands, "{}", engine::LEAVE);
        }
        self.write_entry(store);
    }

    /// Sends a signal to the engine's process.
    pub fn signal(&self, signal: i32) {
        if let Some(tenant) = self.tenant.lock().as_ref() {
            send_signal(&tenant.process.child, signal);
        }
    }
}

fn send_signal(child: &Child, signal: i32) {
    let pid = i32::try_from(child.id()).expect("process ids are small");
    #[allow(unsafe_code)]
    // SAFETY: the call takes two integers, and the process is one that this test started and has not waited for.
    unsafe {
        libc::kill(pid, signal);
    }
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let now = now.expect("the clock is after 1970").as_millis();
    u64::try_from(now).expect("the time fits")
}

/// Starts this test program as an engine and waits until it accepts connections.
fn spawn_process(settings: &EngineSettings, reports: &Arc<Mutex<Reports>>) -> EngineProcess {
    let program = std::env::current_exe().expect("the test program has a path");
    let text = serde_json::to_string(settings).expect("settings are plain");
    let mut child = Command::new(program)
        .args([ENGINE_TEST, "--exact", "--nocapture", "--test-threads=1"])
        .env(engine::SETTINGS_VARIABLE, text)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("the test program starts");
    let commands = child.stdin.take().expect("standard input is piped");
    let output = child.stdout.take().expect("standard output is piped");
    let (listening, listens): (Sender<()>, Receiver<()>) = channel();
    let reports = Arc::clone(reports);
    thread::spawn(move || read_reports(output, &listening, &reports));
    // An engine that does not listen is out of reach; the gateways have to bear it.
    let _ = listens.recv_timeout(START_LIMIT);
    EngineProcess { child, commands }
}

fn read_reports(output: ChildStdout, listening: &Sender<()>, reports: &Mutex<Reports>) {
    for line in BufReader::new(output).lines().map_while(Result::ok) {
        let Some(text) = line.strip_prefix(engine::REPORT_MARK) else {
            continue;
        };
        let parts: Vec<&str> = text.split(' ').collect();
        match parts[..] {
            [engine::LISTENING] => {
                // The fleet may have given up waiting.
                let _ = listening.send(());
            }
            ["run", name, attempt] => {
                let mut reports = reports.lock();
                let runs = reports.runs.entry(name.to_owned()).or_default();
                runs.push(attempt.to_owned());
            }
            ["done", _, attempt] => {
                reports.lock().finished.insert(attempt.to_owned());
            }
            _ => {}
        }
    }
}
