//! A fake of the users' provider that takes scaling orders only, answers each by a function of the order, and checks
//! the rules for their holders. For usage reports there is [`UsersProvider`](super::UsersProvider).

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use parking_lot::Mutex;

use super::duty_checker::{DutyChecker, ProviderCall};
use super::wire_reader::{WireMessage, read_message};

/// An order that the provider received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeenOrder {
    /// The service.
    pub service: String,
    /// The data centre.
    pub centre: String,
    /// The number that is to be there.
    pub count: usize,
    /// Whether preemptible backend servers are ordered.
    pub is_preemptible: bool,
    /// The gateway that sent it.
    pub holder: String,
}

impl SeenOrder {
    fn decode(call: &ProviderCall) -> Option<Self> {
        let body = &call.body;
        let text = |name: &str| Some(body[name].as_str()?.to_owned());
        Some(Self {
            service: text("backend")?,
            centre: text("zone")?,
            count: usize::try_from(body["desired_count"].as_u64()?).ok()?,
            is_preemptible: body["preemptible"].as_bool().unwrap_or(false),
            holder: call.holder.clone(),
        })
    }
}

#[derive(Debug)]
struct ProviderLog {
    orders: Vec<SeenOrder>,
    checker: DutyChecker,
    /// The calls that were no orders.
    others: Vec<String>,
}

impl ProviderLog {
    fn record(&mut self, message: &WireMessage) -> Option<SeenOrder> {
        let token = message.header("fencing-token");
        let call = ProviderCall {
            at: Instant::now(),
            path: message.start.split(' ').nth(1).unwrap_or("").to_owned(),
            holder: message.header("duty-holder").unwrap_or("").to_owned(),
            token: token.and_then(|text| text.parse().ok()).unwrap_or(0),
            body: serde_json::from_slice(&message.body).unwrap_or_default(),
            is_accepted: true,
        };
        self.checker.observe(&call);
        let is_order = message.start.starts_with("POST /scaling ");
        let order = SeenOrder::decode(&call).filter(|_| is_order);
        match &order {
            Some(order) => self.orders.push(order.clone()),
            None => self.others.push(format!("no order: {}", message.start)),
        }
        order
    }
}

type Answer = dyn Fn(&SeenOrder) -> u16 + Send + Sync;

/// A running fake provider.
#[derive(Debug)]
pub struct ScalingProvider {
    address: SocketAddr,
    log: Arc<Mutex<ProviderLog>>,
}

impl ScalingProvider {
    /// Starts a provider on a free loopback port. The rules are checked for holders with leases of `lease`;
    /// `answer` returns the status for an order.
    pub fn spawn(
        lease: Duration,
        answer: impl Fn(&SeenOrder) -> u16 + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
        let address = listener
            .local_addr()
            .expect("a bound socket has an address");
        let log = Arc::new(Mutex::new(ProviderLog {
            orders: Vec::new(),
            checker: DutyChecker::new(lease),
            others: Vec::new(),
        }));
        let (answer, accepted): (Arc<Answer>, _) = (Arc::new(answer), Arc::clone(&log));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (answer, log) = (Arc::clone(&answer), Arc::clone(&accepted));
                thread::spawn(move || serve(&stream, &*answer, &log));
            }
        });
        Self { address, log }
    }

    /// Returns the address that the provider listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the orders so far.
    pub fn orders(&self) -> Vec<SeenOrder> {
        self.log.lock().orders.clone()
    }

    /// Returns how the rules on holders were broken, and the calls that were no orders.
    pub fn breaches(&self) -> Vec<String> {
        let log = self.log.lock();
        [log.checker.breaches(), &log.others].concat()
    }
}

fn serve(mut stream: &TcpStream, answer: &Answer, log: &Mutex<ProviderLog>) {
    let mut reader = BufReader::new(stream);
    while let Ok(Some(message)) = read_message(&mut reader) {
        let order = log.lock().record(&message);
        let status = order.map_or(400, |order| answer(&order));
        let reply = format!("HTTP/1.1 {status} Status\r\nContent-Length: 0\r\n\r\n");
        if stream.write_all(reply.as_bytes()).is_err() {
            return;
        }
    }
}
