//! An HTTP server on its own thread whose connections can be closed at any point.
//!
//! It has its own accept loop, so that a crash can close the listener and every connection at once.
//! A handler can close the connection of its request (`Request::io`). Commands arrive over a
//! channel and are applied by the accept loop.

use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::mpsc as std_mpsc;
use std::thread::JoinHandle;
use std::time::Duration;

use ntex::http::{HttpService, HttpServiceConfig, KeepAlive, Request, Response};
use ntex::io::IoRef;
use ntex::service::fn_service;
use ntex::time::Seconds;
use ntex::{Pipeline, ServiceFactory, SharedCfg};
use oleander_base::prelude::*;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::faults::FaultError;

/// The idle timeout of a connection, in seconds.
const KEEP_ALIVE_SECONDS: u16 = 30;

/// The delay before a restored server tries again to bind its port.
const REBIND_INTERVAL: Duration = Duration::from_millis(20);

/// A boxed future that is not `Send`.
pub(crate) type LocalFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// The action on the server that follows from a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HostAction {
    /// The server continues.
    None,
    /// The server closes the listener and all connections, and listens again after the given time;
    /// `None` waits for a restore.
    Crash(Option<Duration>),
    /// The server listens again.
    Restore,
}

/// The service that handles the requests and commands of a server.
pub(crate) trait HostedService: 'static {
    /// The type of the commands that the server's handle sends.
    type Command: Send + 'static;

    /// Handles one request.
    fn handle(self: Rc<Self>, request: Request) -> LocalFuture<io::Result<Response>>;

    /// Called for every accepted connection.
    fn on_accepted(&self);

    /// Applies a command and returns the action that the server takes.
    fn apply_command(&self, command: Self::Command) -> HostAction;

    /// Called after all connections were closed by a crash or a stop.
    fn on_crashed(&self);

    /// Starts the background tasks of the service.
    fn start(self: &Rc<Self>);
}

/// The sender of a server's commands.
pub(crate) type CommandSender<C> = mpsc::UnboundedSender<HostCommand<C>>;

/// A command to the server's thread, with a channel on which the thread confirms it.
#[derive(Debug)]
pub(crate) struct HostCommand<C> {
    kind: CommandKind<C>,
    done: Option<std_mpsc::Sender<()>>,
}

#[derive(Debug)]
enum CommandKind<C> {
    Service(C),
    Stop,
}

impl<C> HostCommand<C> {
    /// Returns a command without confirmation.
    pub(crate) fn detached(command: C) -> Self {
        Self {
            kind: CommandKind::Service(command),
            done: None,
        }
    }
}

/// The handle of a running server.
#[derive(Debug)]
pub(crate) struct HttpHost<C> {
    address: SocketAddr,
    commands: CommandSender<C>,
    thread: Option<JoinHandle<()>>,
}

impl<C: Send + 'static> HttpHost<C> {
    /// Binds the address and starts the thread, which creates the service with `build_service`.
    pub(crate) fn spawn<S, F>(name: &str, listen: SocketAddr, build_service: F) -> io::Result<Self>
    where
        S: HostedService<Command = C>,
        F: FnOnce(CommandSender<C>) -> S + Send + 'static,
    {
        let listener = StdListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (commands, command_receiver) = mpsc::unbounded_channel();
        let command_sender = commands.clone();
        let thread = std::thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || {
                let runner = ntex::rt::System::new("stand-in", ntex::rt::DefaultRuntime);
                runner.block_on(async move {
                    let service = Rc::new(build_service(command_sender));
                    HostLoop::run(listener, address, service, command_receiver).await;
                });
            })?;
        Ok(Self {
            address,
            commands,
            thread: Some(thread),
        })
    }

    /// Returns the address that the server listens on.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a command and waits until it is applied.
    pub(crate) fn command(&self, command: C) -> Result<(), FaultError> {
        self.send(CommandKind::Service(command))
    }

    /// Stops the server and joins its thread.
    pub(crate) fn stop(&mut self) {
        let _ = self.send(CommandKind::Stop);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }

    /// Waits until the server's thread ends.
    pub(crate) fn join(&mut self) {
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }

    fn send(&self, kind: CommandKind<C>) -> Result<(), FaultError> {
        let (done, finished) = std_mpsc::channel();
        let command = HostCommand {
            kind,
            done: Some(done),
        };
        self.commands.send(command).map_err(|_| FaultError)?;
        finished.recv().map_err(|_| FaultError)
    }
}

impl<C> Drop for HttpHost<C> {
    fn drop(&mut self) {
        let _ = self.commands.send(HostCommand {
            kind: CommandKind::Stop,
            done: None,
        });
    }
}

type Connections = Rc<RefCell<FastMap<u64, IoRef>>>;

/// The accept loop of one server.
struct HostLoop<S> {
    service: Rc<S>,
    address: SocketAddr,
    listener: Option<TcpListener>,
    restore_at: Option<Instant>,
    connections: Connections,
    next_connection_id: u64,
}

impl<S: HostedService> HostLoop<S> {
    async fn run(
        listener: StdListener,
        address: SocketAddr,
        service: Rc<S>,
        mut command_receiver: mpsc::UnboundedReceiver<HostCommand<S::Command>>,
    ) {
        let mut host = Self {
            service: service.clone(),
            address,
            listener: TcpListener::from_std(listener).ok(),
            restore_at: None,
            connections: Connections::default(),
            next_connection_id: 0,
        };
        let config = SharedCfg::new("stand-in")
            .add(
                HttpServiceConfig::new()
                    .set_keepalive(KeepAlive::Timeout(Seconds(KEEP_ALIVE_SECONDS))),
            )
            .build();
        let handler = service.clone();
        let factory = HttpService::h1(fn_service(move |request: Request| {
            handler.clone().handle(request)
        }));
        let Ok(http) = factory.create(config.clone()).await else {
            return;
        };
        let pipeline = Pipeline::new(http);
        service.start();
        loop {
            tokio::select! {
                stream = accept(host.listener.as_ref()) => {
                    let Ok(stream) = stream else { continue };
                    let Ok(io) = stream
                        .into_std()
                        .and_then(|stream| ntex::rt::from_tcp_stream(stream, config.clone()))
                    else {
                        continue;
                    };
                    let connection_id = host.register(io.get_ref());
                    let connections = host.connections.clone();
                    let serving = pipeline.call_static(io);
                    ntex::rt::spawn(async move {
                        let _ = serving.await;
                        connections.borrow_mut().remove(&connection_id);
                    });
                }
                command = command_receiver.recv() => {
                    let Some(command) = command else { return };
                    let stopped = host.apply(command.kind);
                    if let Some(done) = command.done {
                        let _ = done.send(());
                    }
                    if stopped {
                        return;
                    }
                }
                () = wait_until(host.restore_at) => host.restore(),
            }
        }
    }

    fn register(&mut self, io: IoRef) -> u64 {
        self.service.on_accepted();
        self.next_connection_id += 1;
        self.connections
            .borrow_mut()
            .insert(self.next_connection_id, io);
        self.next_connection_id
    }

    fn apply(&mut self, kind: CommandKind<S::Command>) -> bool {
        let action = match kind {
            CommandKind::Stop => {
                self.close_all();
                return true;
            }
            CommandKind::Service(command) => self.service.apply_command(command),
        };
        match action {
            HostAction::None => {}
            HostAction::Restore => self.restore(),
            HostAction::Crash(downtime) => {
                self.restore_at = downtime.map(|downtime| Instant::now() + downtime);
                self.close_all();
            }
        }
        false
    }

    fn close_all(&mut self) {
        self.listener = None;
        for io in self.connections.borrow().values() {
            io.terminate();
        }
        self.service.on_crashed();
    }

    fn restore(&mut self) {
        self.restore_at = None;
        if self.listener.is_some() {
            return;
        }
        let bound = StdListener::bind(self.address).and_then(|listener| {
            listener.set_nonblocking(true)?;
            TcpListener::from_std(listener)
        });
        match bound {
            Ok(listener) => self.listener = Some(listener),
            Err(_) => self.restore_at = Some(Instant::now() + REBIND_INTERVAL),
        }
    }
}

async fn accept(listener: Option<&TcpListener>) -> io::Result<tokio::net::TcpStream> {
    match listener {
        Some(listener) => Ok(listener.accept().await?.0),
        None => std::future::pending().await,
    }
}

async fn wait_until(instant: Option<Instant>) {
    match instant {
        Some(instant) => tokio::time::sleep_until(instant).await,
        None => std::future::pending().await,
    }
}
