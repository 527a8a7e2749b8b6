//! A fake of the users' key-value store: keys with revisions, leases, a history and watches.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use parking_lot::{Condvar, Mutex};
use serde_json::{Value, json};

use super::wire_reader::{WireMessage, read_message};

/// How the store responds to calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreMode {
    /// Calls are served normally.
    Serving,
    /// Every call is answered with status 503.
    Busy,
    /// Calls are held without an answer; their connections close when the mode changes.
    Silent,
    /// Every connection is closed without an answer.
    Closing,
    /// Calls are served, but no watch reaches back far enough.
    HistoryGone,
}

/// A copy of what a store holds, from which it can come back later.
#[derive(Debug, Clone)]
pub struct StoreCopy {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
}

#[derive(Debug, Clone)]
struct Item {
    data: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug)]
struct Event {
    key: String,
    revision: u64,
    item: Option<Item>,
}

#[derive(Debug, Clone)]
struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

#[derive(Debug)]
struct State {
    mode: StoreMode,
    /// The number of times that the store has come back from a copy, plus one.
    era: u64,
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    /// The history up to and including this revision is discarded.
    compacted_revision: u64,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    calls: usize,
    watches: usize,
    loss: Option<AnswerLoss>,
}

/// Which answers to writes are lost.
#[derive(Debug, Clone, Copy)]
struct AnswerLoss {
    /// The number of writes still to come whose answers are lost.
    writes: usize,
    /// The time after which they take effect.
    delay: Duration,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// A running fake store; clones share its state.
#[derive(Debug, Clone)]
pub struct UsersStore {
    address: SocketAddr,
    shared: Arc<Shared>,
}

struct Reply {
    status: u16,
    body: Value,
}

impl Reply {
    fn ok(body: Value) -> Self {
        Self { status: 200, body }
    }

    fn empty(status: u16) -> Self {
        Self {
            status,
            body: json!({}),
        }
    }
}

impl UsersStore {
    /// Starts a store on a free loopback port. It serves until the process ends.
    pub fn spawn() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
        let address = listener
            .local_addr()
            .expect("a bound socket has an address");
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                mode: StoreMode::Serving,
                era: 1,
                revision: 1,
                items: BTreeMap::new(),
                events: Vec::new(),
                compacted_revision: 0,
                leases: BTreeMap::new(),
                next_lease: 1,
                calls: 0,
                watches: 0,
                loss: None,
            }),
            changed: Condvar::new(),
        });
        let server_shared = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&server_shared);
                thread::spawn(move || serve(&stream, &shared));
            }
        });
        Self { address, shared }
    }

    /// Returns the address that the store listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how the store responds to calls.
    pub fn set_mode(&self, mode: StoreMode) {
        self.shared.state.lock().mode = mode;
        self.shared.changed.notify_all();
    }

    /// Closes the connections of the next `writes` conditional writes without an answer. They take effect
    /// after `delay`, if their conditions hold then.
    pub fn lose_answers(&self, writes: usize, delay: Duration) {
        self.shared.state.lock().loss = Some(AnswerLoss { writes, delay });
    }

    /// Returns the value of a key as text.
    pub fn value(&self, key: &str) -> Option<String> {
        let state = self.shared.state.lock();
        let item = state.items.get(key)?;
        Some(String::from_utf8_lossy(&item.data).into_owned())
    }

    /// Writes a key without a lease, as the operator or an engine does, and returns its revision.
    pub fn put(&self, key: &str, data: impl Into<Vec<u8>>) -> u64 {
        let mut state = self.shared.state.lock();
        let revision = state.put(key, data.into(), 0);
        self.shared.changed.notify_all();
        revision
    }

    /// Deletes a key.
    pub fn delete(&self, key: &str) {
        self.shared.state.lock().delete(key);
        self.shared.changed.notify_all();
    }

    /// Discards the history, so that watches from an older revision have to list the keys again.
    pub fn compact(&self) {
        let mut state = self.shared.state.lock();
        state.compacted_revision = state.revision;
        state.events.clear();
        self.shared.changed.notify_all();
    }

    /// Takes a copy of what the store holds.
    pub fn copy(&self) -> StoreCopy {
        let state = self.shared.state.lock();
        StoreCopy {
            revision: state.revision,
            items: state.items.clone(),
            leases: state.leases.clone(),
            next_lease: state.next_lease,
        }
    }

    /// Comes back from a copy in a new era: what was written since is lost, and revisions and lease
    /// ids are given out again.
    pub fn restore(&self, copy: StoreCopy) {
        let mut state = self.shared.state.lock();
        state.era += 1;
        state.revision = copy.revision;
        state.items = copy.items;
        state.leases = copy.leases;
        state.next_lease = copy.next_lease;
        state.events.clear();
        state.compacted_revision = copy.revision;
        self.shared.changed.notify_all();
    }

    /// Returns the keys that start with `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.shared.state.lock();
        let keys = state.items.keys();
        keys.filter(|key| key.starts_with(prefix))
            .cloned()
            .collect()
    }

    /// Returns the number of watches that were begun.
    pub fn watches(&self) -> usize {
        self.shared.state.lock().watches
    }

    /// Returns the number of calls received.
    pub fn calls(&self) -> usize {
        self.shared.state.lock().calls
    }
}

impl State {
    fn put(&mut self, key: &str, data: Vec<u8>, lease: u64) -> u64 {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |old| old.created);
        let item = Item {
            data,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push(Event {
            key: key.to_owned(),
            revision: self.revision,
            item: Some(item),
        });
        self.revision
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_none() {
            return;
        }
        self.revision += 1;
        self.events.push(Event {
            key: key.to_owned(),
            revision: self.revision,
            item: None,
        });
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.revoke_lease(id);
        }
    }

    fn revoke_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.delete(&key);
        }
    }
}

fn serve(mut stream: &TcpStream, shared: &Arc<Shared>) {
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = read_message(&mut reader) {
        let mode = {
            let mut state = shared.state.lock();
            state.calls += 1;
            state.expire_leases();
            state.mode
        };
        if lose_answer(&request, shared) {
            return;
        }
        let reply = match mode {
            StoreMode::Serving | StoreMode::HistoryGone => answer(&request, shared),
            StoreMode::Busy => Reply::empty(503),
            StoreMode::Closing => return,
            StoreMode::Silent => {
                let mut state = shared.state.lock();
                while state.mode == StoreMode::Silent {
                    shared.changed.wait(&mut state);
                }
                return;
            }
        };
        let body = reply.body.to_string();
        let text = format!(
            "HTTP/1.1 {} X\r\nStore-Era: {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            reply.status,
            shared.state.lock().era,
            body.len()
        );
        if stream.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

/// Returns whether the request is a conditional write whose answer is to be lost. If so, the write takes effect later,
/// on a thread of its own.
fn lose_answer(request: &WireMessage, shared: &Arc<Shared>) -> bool {
    let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    let is_conditional = body["precondition"]
        .as_array()
        .is_some_and(|conditions| !conditions.is_empty());
    let mut state = shared.state.lock();
    let Some(loss) = state.loss.as_mut().filter(|loss| loss.writes > 0) else {
        return false;
    };
    if !is_conditional {
        return false;
    }
    loss.writes -= 1;
    let delay = loss.delay;
    let (body, shared) = (request.body.clone(), Arc::clone(shared));
    thread::spawn(move || {
        thread::sleep(delay);
        shared.state.lock().expire_leases();
        commit_transaction(&body, &shared);
    });
    true
}

fn answer(request: &WireMessage, shared: &Shared) -> Reply {
    let mut parts = request.start.split(' ');
    let (method, target) = (parts.next().unwrap_or(""), parts.next().unwrap_or(""));
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let last_segment = path.rsplit('/').next().unwrap_or("");
    match (method, path) {
        ("GET", "/kv-key") => read_key(query, shared),
        ("GET", "/kv-range") => range(query, shared),
        ("GET", "/kv-watch") => watch(query, shared),
        ("POST", "/kv-txn") => commit_transaction(&request.body, shared),
        ("POST", "/kv-lease") => grant(&request.body, shared),
        ("POST", path) if path.starts_with("/kv-keep/") => renew(last_segment, shared),
        ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
            let mut state = shared.state.lock();
            state.revoke_lease(last_segment.parse().unwrap_or(0));
            shared.changed.notify_all();
            Reply::empty(200)
        }
        _ => Reply::empty(404),
    }
}

fn query_value(query: &str, name: &str) -> String {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(known, _)| *known == name)
        .map_or_else(String::new, |(_, value)| value.replace("%2F", "/"))
}

fn item_json(key: &str, item: &Item) -> Value {
    json!({
        "key": key,
        "data": STANDARD.encode(&item.data),
        "revision": item.revision,
        "created": item.created,
        "lease_id": item.lease,
    })
}

/// The maximum number of items on a page; small, so that tests cover several pages.
const MAX_PAGE_ITEMS: usize = 5;

fn read_key(query: &str, shared: &Shared) -> Reply {
    let key = query_value(query, "key");
    let mut state = shared.state.lock();
    state.expire_leases();
    match state.items.get(&key) {
        Some(item) => {
            let mut body = item_json(&key, item);
            body["at"] = json!(state.revision);
            Reply::ok(body)
        }
        None => Reply::empty(404),
    }
}

fn range(query: &str, shared: &Shared) -> Reply {
    let (prefix, after) = (
        query_value(query, "path_prefix"),
        query_value(query, "after"),
    );
    let state = shared.state.lock();
    let mut found = state
        .items
        .iter()
        .filter(|(key, _)| key.starts_with(&prefix) && **key > after);
    let entries: Vec<Value> = found
        .by_ref()
        .take(MAX_PAGE_ITEMS)
        .map(|(key, item)| item_json(key, item))
        .collect();
    let has_more = found.next().is_some();
    Reply::ok(json!({"entries": entries, "has_more": has_more, "at": state.revision}))
}

fn watch(query: &str, shared: &Shared) -> Reply {
    let prefix = query_value(query, "path_prefix");
    let after: u64 = query_value(query, "after").parse().unwrap_or(0);
    let wait: u64 = query_value(query, "wait_ms").parse().unwrap_or(0);
    let deadline = Instant::now() + Duration::from_millis(wait);
    let mut state = shared.state.lock();
    state.watches += 1;
    loop {
        state.expire_leases();
        let is_unknown = after < state.compacted_revision || after > state.revision;
        if is_unknown || state.mode == StoreMode::HistoryGone {
            return Reply::empty(410);
        }
        let events: Vec<Value> = state
            .events
            .iter()
            .filter(|event| event.revision > after && event.key.starts_with(&prefix))
            .map(event_json)
            .collect();
        if !events.is_empty() || Instant::now() >= deadline || state.mode != StoreMode::Serving {
            return Reply::ok(json!({"events": events, "at": state.revision}));
        }
        shared.changed.wait_until(&mut state, deadline);
    }
}

fn event_json(event: &Event) -> Value {
    match &event.item {
        Some(item) => item_json(&event.key, item),
        None => json!({"key": event.key, "revision": event.revision, "deleted": true}),
    }
}

fn grant(body: &[u8], shared: &Shared) -> Reply {
    let request: Value = serde_json::from_slice(body).unwrap_or_default();
    let ttl_ms = request["ttl_ms"].as_u64().unwrap_or(1_000);
    let mut state = shared.state.lock();
    let id = state.next_lease;
    state.next_lease += 1;
    let ttl = Duration::from_millis(ttl_ms);
    let expires_at = Instant::now() + ttl;
    state.leases.insert(id, Lease { ttl, expires_at });
    Reply::ok(json!({"lease_id": id, "ttl_ms": ttl_ms}))
}

fn renew(id: &str, shared: &Shared) -> Reply {
    let mut state = shared.state.lock();
    let id: u64 = id.parse().unwrap_or(0);
    match state.leases.get_mut(&id) {
        Some(lease) => {
            lease.expires_at = Instant::now() + lease.ttl;
            Reply::ok(json!({"ttl_ms": lease.ttl.as_millis() as u64}))
        }
        None => Reply::empty(404),
    }
}

fn commit_transaction(body: &[u8], shared: &Shared) -> Reply {
    let request: Value = serde_json::from_slice(body).unwrap_or_default();
    let mut state = shared.state.lock();
    let preconditions = request["precondition"]
        .as_array()
        .cloned()
        .unwrap_or_default();
    let holds = preconditions.iter().all(|condition| {
        let key = condition["key"].as_str().unwrap_or("");
        let current = state.items.get(key).map_or(0, |item| item.revision);
        condition["revision"].as_u64() == Some(current)
    });
    if !holds {
        return Reply::empty(412);
    }
    for write in request["write"].as_array().cloned().unwrap_or_default() {
        let data = STANDARD.decode(write["data"].as_str().unwrap_or(""));
        let lease = write["lease_id"].as_u64().unwrap_or(0);
        if lease != 0 && !state.leases.contains_key(&lease) {
            return Reply::empty(404);
        }
        let key = write["key"].as_str().unwrap_or("").to_owned();
        state.put(&key, data.unwrap_or_default(), lease);
    }
    for key in request["remove"].as_array().cloned().unwrap_or_default() {
        state.delete(key.as_str().unwrap_or(""));
    }
    let revision = state.revision;
    shared.changed.notify_all();
    Reply::ok(json!({"revision": revision}))
}
