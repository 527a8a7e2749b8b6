//! Small stand-ins of the users' platform, by PROTOCOL.md: the store, engines, links to engines that can be
//! cut for one gateway alone, and requesters. Only the standard library is used.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

// ---------------------------------------------------------------- JSON, as far as the store needs it

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes: Vec<char> = text.chars().collect();
        let mut at = 0;
        value(&bytes, &mut at)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(rows) => rows.iter().find(|(key, _)| key == name).map(|(_, value)| value),
            _ => None,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

fn space(text: &[char], at: &mut usize) {
    while *at < text.len() && text[*at].is_whitespace() {
        *at += 1;
    }
}

fn value(text: &[char], at: &mut usize) -> Option<Json> {
    space(text, at);
    match *text.get(*at)? {
        '{' => {
            *at += 1;
            let mut rows = Vec::new();
            loop {
                space(text, at);
                match text.get(*at)? {
                    '}' => {
                        *at += 1;
                        return Some(Json::Table(rows));
                    }
                    ',' => *at += 1,
                    _ => {
                        let name = value(text, at)?.text().to_owned();
                        space(text, at);
                        *at += 1; // the colon
                        rows.push((name, value(text, at)?));
                    }
                }
            }
        }
        '[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                space(text, at);
                match text.get(*at)? {
                    ']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    ',' => *at += 1,
                    _ => list.push(value(text, at)?),
                }
            }
        }
        '"' => {
            *at += 1;
            let mut out = String::new();
            while *text.get(*at)? != '"' {
                if text[*at] == '\\' {
                    *at += 1;
                    match *text.get(*at)? {
                        'n' => out.push('\n'),
                        't' => out.push('\t'),
                        'r' => out.push('\r'),
                        'u' => {
                            let code: String = text.get(*at + 1..*at + 5)?.iter().collect();
                            out.push(char::from_u32(u32::from_str_radix(&code, 16).ok()?).unwrap_or('?'));
                            *at += 4;
                        }
                        other => out.push(other),
                    }
                } else {
                    out.push(text[*at]);
                }
                *at += 1;
            }
            *at += 1;
            Some(Json::Text(out))
        }
        _ => {
            let start = *at;
            while *at < text.len() && !matches!(text[*at], ',' | '}' | ']') && !text[*at].is_whitespace() {
                *at += 1;
            }
            let word: String = text[start..*at].iter().collect();
            Some(match word.as_str() {
                "null" => Json::Null,
                "true" => Json::Bool(true),
                "false" => Json::Bool(false),
                number => Json::Number(number.parse().ok()?),
            })
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn to_base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let mut word = [0_u8; 3];
        word[..part.len()].copy_from_slice(part);
        let number = u32::from(word[0]) << 16 | u32::from(word[1]) << 8 | u32::from(word[2]);
        for place in 0..4 {
            if place > part.len() {
                out.push('=');
            } else {
                out.push(char::from(DIGITS[(number >> (18 - 6 * place)) as usize & 63]));
            }
        }
    }
    out
}

pub fn of_base64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut number, mut bits) = (0_u32, 0);
    for byte in text.bytes() {
        let Some(digit) = DIGITS.iter().position(|known| *known == byte) else {
            continue;
        };
        number = number << 6 | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((number >> bits) as u8);
        }
    }
    out
}

// ---------------------------------------------------------------- HTTP

#[derive(Debug, Clone, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

fn line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    match reader.read_line(&mut line) {
        Ok(count) if count > 0 && line.ends_with('\n') => Some(line.trim_end().to_owned()),
        _ => None,
    }
}

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message {
        start: line(reader)?,
        ..Message::default()
    };
    loop {
        let line = line(reader)?;
        if line.is_empty() {
            return Some(message);
        }
        let (name, value) = line.split_once(':')?;
        message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

/// Reads one chunk; an empty one is the last.
pub fn read_chunk(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let size = usize::from_str_radix(line(reader)?.split(';').next()?.trim(), 16).ok()?;
    let mut data = vec![0; size];
    reader.read_exact(&mut data).ok()?;
    line(reader)?;
    Some(data)
}

/// Reads the body that a head announces by a length or in chunks; `None` if it is cut.
pub fn read_body(reader: &mut impl BufRead, head: &Message) -> Option<Vec<u8>> {
    if head.header("transfer-encoding").is_some() {
        let mut body = Vec::new();
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Some(body);
            }
            body.extend(chunk);
        }
    }
    let length = head.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = read_head(reader)?;
    message.body = read_body(reader, &message)?;
    Some(message)
}

// ---------------------------------------------------------------- the record of what was seen

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Record {
    pub fn open() -> Self {
        Self {
            started: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn add(&self, text: String) {
        let at = self.started.elapsed().as_secs_f64();
        self.lines.lock().unwrap().push((at, text));
    }

    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn write(&self, path: &str) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by(|one, other| one.0.total_cmp(&other.0));
        let text: String = lines.iter().map(|(at, text)| format!("{at:9.3} {text}\n")).collect();
        std::fs::write(path, text).expect("the folder of the case can be written");
    }
}

// ---------------------------------------------------------------- the store

#[derive(Debug, Clone)]
struct Item {
    data: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

/// How one machine sees the data of a key. Machines reach an engine by links of their own.
pub type View = Arc<dyn Fn(&str, &str) -> String + Send + Sync>;

#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<StoreState>>,
    changed: Arc<Condvar>,
}

impl StoreState {
    fn put(&mut self, key: &str, data: String, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |old| old.created);
        let item = Item { data, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push((self.revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.events.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> =
            self.items.iter().filter(|(_, item)| item.lease == id).map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self.leases.iter().filter(|(_, (_, at))| *at <= now).map(|(id, _)| *id).collect();
        for id in ended {
            self.end_lease(id);
        }
    }
}

impl Store {
    pub fn open() -> Self {
        let state = StoreState { revision: 10, next_lease: 77_000, ..StoreState::default() };
        Self { state: Arc::new(Mutex::new(state)), changed: Arc::default() }
    }

    pub fn put(&self, key: &str, data: &str) {
        self.state.lock().unwrap().put(key, data.to_owned(), 0);
        self.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        self.state.lock().unwrap().remove(key);
        self.changed.notify_all();
    }

    /// Serves one address, with the view of the machine that calls there.
    pub fn serve(&self, address: SocketAddr, view: View) {
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, view) = (store.clone(), Arc::clone(&view));
                thread::spawn(move || store.connection(stream, &view));
            }
        });
    }

    fn connection(&self, stream: TcpStream, view: &View) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().expect("a socket can be cloned"));
        let mut stream = stream;
        while let Some(call) = read_message(&mut reader) {
            let (status, body) = self.answer(&call, view);
            let text = format!(
                "HTTP/1.1 {status} X\r\nStore-Era: 1\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Message, view: &View) -> (u16, String) {
        let method = call.start.split(' ').next().unwrap_or("");
        let (path, query) = call.target().split_once('?').unwrap_or((call.target(), ""));
        let of = |name: &str| -> String {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(known, _)| *known == name);
            found.map_or_else(String::new, |(_, text)| text.replace("%2F", "/"))
        };
        let row = |key: &str, item: &Item| {
            format!(
                "{{\"key\":\"{key}\",\"data\":\"{}\",\"revision\":{},\"created\":{},\"lease_id\":{}}}",
                to_base64(view(key, &item.data).as_bytes()),
                item.revision,
                item.created,
                item.lease
            )
        };
        let mut state = self.state.lock().unwrap();
        state.expire();
        match (method, path) {
            ("GET", "/kv-key") => match state.items.get(&of("key")) {
                Some(item) => (200, row(&of("key"), item)),
                None => (404, "{}".to_owned()),
            },
            ("GET", "/kv-range") => {
                let (prefix, after) = (of("path_prefix"), of("after"));
                let rows: Vec<String> = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                    .map(|(key, item)| row(key, item))
                    .collect();
                (200, format!("{{\"entries\":[{}],\"has_more\":false,\"at\":{}}}", rows.join(","), state.revision))
            }
            ("GET", "/kv-watch") => {
                let (prefix, after) = (of("path_prefix"), of("after").parse().unwrap_or(0));
                let until = Instant::now() + Duration::from_millis(of("wait_ms").parse().unwrap_or(0));
                loop {
                    state.expire();
                    let rows: Vec<String> = state
                        .events
                        .iter()
                        .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                        .map(|(revision, key, item)| match item {
                            Some(item) => row(key, item),
                            None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
                        })
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !rows.is_empty() || left.is_zero() {
                        return (200, format!("{{\"events\":[{}],\"at\":{}}}", rows.join(","), state.revision));
                    }
                    state = self.changed.wait_timeout(state, left.min(Duration::from_millis(100))).unwrap().0;
                }
            }
            ("POST", "/kv-txn") => {
                let body = Json::parse(&String::from_utf8_lossy(&call.body)).unwrap_or(Json::Null);
                let rows = |name: &str| body.get(name).map_or(&[][..], Json::list);
                let holds = rows("precondition").iter().all(|row| {
                    let key = row.get("key").map_or("", Json::text);
                    let known = state.items.get(key).map_or(0, |item| item.revision);
                    row.get("revision").map(Json::number) == Some(known)
                });
                if !holds {
                    return (412, "{\"entries\":[]}".to_owned());
                }
                for row in rows("write") {
                    let lease = row.get("lease_id").map_or(0, Json::number);
                    if lease != 0 && !state.leases.contains_key(&lease) {
                        return (404, "{}".to_owned());
                    }
                    let data = of_base64(row.get("data").map_or("", Json::text));
                    let key = row.get("key").map_or("", Json::text).to_owned();
                    state.put(&key, String::from_utf8_lossy(&data).into_owned(), lease);
                }
                for key in rows("remove") {
                    state.remove(key.text());
                }
                self.changed.notify_all();
                (200, format!("{{\"revision\":{}}}", state.revision))
            }
            ("POST", "/kv-lease") => {
                let body = Json::parse(&String::from_utf8_lossy(&call.body)).unwrap_or(Json::Null);
                let ttl = body.get("ttl_ms").map_or(1_000, Json::number);
                let id = state.next_lease;
                state.next_lease += 1;
                let span = Duration::from_millis(ttl);
                state.leases.insert(id, (span, Instant::now() + span));
                (200, format!("{{\"lease_id\":{id},\"ttl_ms\":{ttl}}}"))
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                let id: u64 = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
                match state.leases.get_mut(&id) {
                    Some((span, at)) => {
                        *at = Instant::now() + *span;
                        (200, format!("{{\"ttl_ms\":{}}}", span.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                let id: u64 = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
                state.end_lease(id);
                self.changed.notify_all();
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }
}

// ---------------------------------------------------------------- links that can be cut

unsafe extern "C" {
    fn listen(fd: i32, backlog: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const u8, length: u32) -> i32;
}

/// Makes a connection end with a reset as soon as all its users have dropped it, and wakes one that reads.
pub fn reset(stream: &TcpStream) {
    let linger: [i32; 2] = [1, 0];
    // SAFETY: SOL_SOCKET and SO_LINGER with a value of the right size, which outlives the call.
    unsafe {
        setsockopt(stream.as_raw_fd(), 1, 13, linger.as_ptr().cast(), 8);
    }
    let _ = stream.shutdown(Shutdown::Read);
}

/// A connection through a link.
struct Pair {
    near: TcpStream,
    far: TcpStream,
    is_over: AtomicBool,
}

#[derive(Default)]
struct LinkState {
    /// Nothing passes on open connections, and new ones do not come about.
    is_cut: AtomicBool,
    pairs: Mutex<Vec<Arc<Pair>>>,
    fillers: Mutex<Vec<thread::JoinHandle<()>>>,
}

/// The way from one gateway to one engine.
pub struct Link {
    address: SocketAddr,
    listener: Arc<TcpListener>,
    state: Arc<LinkState>,
}

impl Link {
    pub fn open(address: SocketAddr, engine: SocketAddr) -> Self {
        let listener = Arc::new(TcpListener::bind(address).expect("the link's address is free"));
        let state = Arc::<LinkState>::default();
        let (accepting, shared) = (Arc::clone(&listener), Arc::clone(&state));
        thread::spawn(move || {
            loop {
                if shared.is_cut.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(10));
                    continue;
                }
                let Ok((near, _)) = accepting.accept() else { return };
                // A connection that came about just as the link was cut waits for its end.
                while shared.is_cut.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(10));
                }
                let Ok(far) = TcpStream::connect(engine) else {
                    reset(&near);
                    continue;
                };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let pair = Arc::new(Pair { near, far, is_over: AtomicBool::new(false) });
                shared.pairs.lock().unwrap().push(Arc::clone(&pair));
                for is_back in [false, true] {
                    let (pair, state) = (Arc::clone(&pair), Arc::clone(&shared));
                    thread::spawn(move || copy(&pair, is_back, &state));
                }
            }
        });
        Self { address, listener, state }
    }

    /// Cuts the link: open connections carry nothing, and new ones hang.
    pub fn cut(&self) {
        self.state.is_cut.store(true, Ordering::SeqCst);
        // SAFETY: the descriptor is that of the listening socket, which lives on.
        unsafe {
            listen(self.listener.as_raw_fd(), 0);
        }
        // The short queue of connections that nobody accepts is filled, so that the kernel drops what asks
        // for another one. The accept that waits takes the first.
        for _ in 0..4 {
            let address = self.address;
            let state = Arc::clone(&self.state);
            let filler = thread::spawn(move || {
                let filler = TcpStream::connect_timeout(&address, Duration::from_secs(30));
                while state.is_cut.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(20));
                }
                drop(filler);
            });
            self.state.fillers.lock().unwrap().push(filler);
        }
    }

    /// Ends the connections that hang, as the kernel of the gateway's machine does after its time-out.
    pub fn reset_open(&self) {
        for pair in self.state.pairs.lock().unwrap().drain(..) {
            pair.is_over.store(true, Ordering::SeqCst);
            reset(&pair.near);
            let _ = pair.far.shutdown(Shutdown::Read);
        }
    }

    pub fn heal(&self) {
        // SAFETY: as above.
        unsafe {
            listen(self.listener.as_raw_fd(), 128);
        }
        self.state.is_cut.store(false, Ordering::SeqCst);
    }
}

/// Copies bytes one way until either side ends the connection; while the link is cut, none.
fn copy(pair: &Pair, is_back: bool, state: &LinkState) {
    let (from, to) = if is_back { (&pair.far, &pair.near) } else { (&pair.near, &pair.far) };
    let mut buffer = [0; 16 * 1024];
    loop {
        let count = (&mut &*from).read(&mut buffer).unwrap_or(0);
        while state.is_cut.load(Ordering::SeqCst) && !pair.is_over.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
        if pair.is_over.load(Ordering::SeqCst) {
            return;
        }
        if count == 0 || (&mut &*to).write_all(&buffer[..count]).is_err() {
            let _ = (to.shutdown(Shutdown::Both), from.shutdown(Shutdown::Both));
            return;
        }
    }
}

// ---------------------------------------------------------------- engines

/// What an engine does with a request; returns whether the connection can be used again.
pub type Script = Arc<dyn Fn(&Message, &mut TcpStream) -> bool + Send + Sync>;

/// A process of an engine; one that has ended serves nothing any more.
#[derive(Clone)]
pub struct Engine {
    address: SocketAddr,
    is_over: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Engine {
    /// Names a process that is started by [`Self::serve`].
    pub fn at(address: SocketAddr) -> Self {
        Self { address, is_over: Arc::default(), open: Arc::default() }
    }

    pub fn start(address: SocketAddr, id: &str, script: Script) -> Self {
        let engine = Self::at(address);
        engine.serve(id, script);
        engine
    }

    pub fn serve(&self, id: &str, script: Script) {
        let listener = TcpListener::bind(self.address).expect("the engine's address is free");
        let (engine, id) = (self.clone(), id.to_owned());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if engine.has_ended() {
                    return;
                }
                let _ = stream.set_nodelay(true);
                engine.open.lock().unwrap().push(stream.try_clone().expect("a socket can be cloned"));
                let (script, id, over) = (Arc::clone(&script), id.clone(), Arc::clone(&engine.is_over));
                thread::spawn(move || serve(stream, &id, &script, &over));
            }
        });
    }

    pub fn has_ended(&self) -> bool {
        self.is_over.load(Ordering::SeqCst)
    }

    /// Ends the process: new connections are refused and those that are open end.
    pub fn crash(&self) {
        self.is_over.store(true, Ordering::SeqCst);
        // One more connection ends the loop that accepts.
        while TcpStream::connect(self.address).is_ok() {
            thread::sleep(Duration::from_millis(1));
        }
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(mut stream: TcpStream, id: &str, script: &Script, over: &AtomicBool) {
    let mut reader = BufReader::new(stream.try_clone().expect("a socket can be cloned"));
    while let Some(request) = read_message(&mut reader) {
        if over.load(Ordering::SeqCst) {
            return;
        }
        if request.target() == "/healthz" {
            let text = format!("HTTP/1.1 200 OK\r\nInstance-Id: {id}\r\nServer-Load: 0,0,8\r\nContent-Length: 0\r\n\r\n");
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        if request.header("target-instance").is_some_and(|named| named != id) {
            let text = format!("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n");
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        if !script(&request, &mut stream) {
            let _ = stream.shutdown(Shutdown::Both);
            return;
        }
    }
}

/// Returns a whole answer of an engine.
pub fn plain_answer(request: &Message, body: &str) -> Vec<u8> {
    let id = request.header("attempt-id").unwrap_or("");
    format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: sig.{id}\r\nServer-Load: 1,0,8\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Returns the head of a stream of an engine.
pub fn stream_head(request: &Message) -> Vec<u8> {
    let id = request.header("attempt-id").unwrap_or("");
    format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: sig.{id}\r\nServer-Load: 1,0,8\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    .into_bytes()
}

/// Returns one event as a chunk.
pub fn event(id: u64, data: &str) -> Vec<u8> {
    let text = format!("id: {id}\ndata: {data}\n\n");
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

// ---------------------------------------------------------------- requesters

#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// 0 if the connection ended without a head.
    pub status: u16,
    pub is_whole: bool,
    pub body: String,
    pub error: String,
}

/// A stream as far as it came.
#[derive(Debug, Clone, Default)]
pub struct StreamAnswer {
    pub status: u16,
    pub is_whole: bool,
    /// The number and the data of each whole event.
    pub events: Vec<(u64, String)>,
    pub retry_after: Option<Duration>,
    pub error: String,
}

/// Sends one request for a stream on a new connection, and reads the stream until it ends in any way.
pub fn call_stream(address: SocketAddr, text: &str, limit: Duration) -> StreamAnswer {
    let failed = |error: String| StreamAnswer { error, ..StreamAnswer::default() };
    let stream = match TcpStream::connect_timeout(&address, Duration::from_secs(1)) {
        Ok(stream) => stream,
        Err(error) => return failed(error.to_string()),
    };
    let _ = (stream.set_read_timeout(Some(limit)), stream.set_nodelay(true));
    let mut reader = BufReader::new(stream.try_clone().expect("a socket can be cloned"));
    if let Err(error) = (&mut &stream).write_all(text.as_bytes()) {
        return failed(error.to_string());
    }
    let Some(head) = read_head(&mut reader) else {
        return failed("no answer".to_owned());
    };
    let mut answer = StreamAnswer { status: head.status(), ..StreamAnswer::default() };
    let seconds = head.header("retry-after").and_then(|text| text.parse::<f64>().ok());
    answer.retry_after = seconds.map(Duration::from_secs_f64);
    if head.header("transfer-encoding").is_none() {
        answer.is_whole = read_body(&mut reader, &head).is_some();
        return answer;
    }
    let mut pending = String::new();
    while let Some(chunk) = read_chunk(&mut reader) {
        if chunk.is_empty() {
            answer.is_whole = true;
            break;
        }
        pending.push_str(&String::from_utf8_lossy(&chunk));
        while let Some(end) = pending.find("\n\n") {
            let event: String = pending.drain(..end + 2).collect();
            let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name)).unwrap_or("").trim().to_owned();
            if let Ok(id) = field("id:").parse() {
                answer.events.push((id, field("data:")));
            }
        }
    }
    answer
}

/// Sends one request on a new connection and reads its answer, as long as the requester waits.
pub fn call(address: SocketAddr, text: &str, limit: Duration) -> Answer {
    let failed = |error: String| Answer { error, ..Answer::default() };
    let stream = match TcpStream::connect_timeout(&address, Duration::from_secs(1)) {
        Ok(stream) => stream,
        Err(error) => return failed(error.to_string()),
    };
    let _ = (stream.set_read_timeout(Some(limit)), stream.set_nodelay(true));
    let mut reader = BufReader::new(stream.try_clone().expect("a socket can be cloned"));
    if let Err(error) = (&mut &stream).write_all(text.as_bytes()) {
        return failed(error.to_string());
    }
    let Some(head) = read_head(&mut reader) else {
        return failed("no answer".to_owned());
    };
    let mut answer = Answer { status: head.status(), ..Answer::default() };
    if head.header("transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(&mut reader) {
            if chunk.is_empty() {
                answer.is_whole = true;
                break;
            }
            answer.body.push_str(&String::from_utf8_lossy(&chunk));
        }
    } else if let Some(body) = read_body(&mut reader, &head) {
        answer.is_whole = true;
        answer.body = String::from_utf8_lossy(&body).into_owned();
    }
    answer
}
