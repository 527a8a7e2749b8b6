//! The context of each worker thread of the callers' server.

use std::io;
use std::rc::Rc;
use std::sync::Arc;

use oleander_engine::{ClientSettings, EngineClient};
use oleander_once::OnceGuard;
use oleander_peer::PeerEndpoint;
use oleander_service::{ServiceClient, ServiceSettings};

use crate::node::EntryNode;

/// The state that all workers share.
#[derive(Clone)]
pub(crate) struct SharedContext {
    /// The shared state of the process.
    pub node: Arc<EntryNode>,
    /// The at-most-once guard of requests that are not idempotent.
    pub guard: Arc<dyn OnceGuard>,
    /// The endpoint for messages to the other entry VMs.
    pub peers: PeerEndpoint,
}

impl std::fmt::Debug for SharedContext {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("SharedContext")
            .field("node", &self.node)
            .finish_non_exhaustive()
    }
}

/// The clients and shared state of one worker thread.
#[derive(Debug)]
pub(crate) struct WorkerContext {
    /// The shared state of the process.
    pub node: Arc<EntryNode>,
    /// The state that all workers share.
    pub shared: SharedContext,
    /// The client of model engines.
    pub engines: EngineClient,
    /// The client of plain services.
    pub services: ServiceClient,
}

impl WorkerContext {
    /// Opens the clients of the current thread.
    pub(crate) async fn open(shared: &SharedContext) -> io::Result<Rc<Self>> {
        Ok(Rc::new(Self {
            node: Arc::clone(&shared.node),
            shared: shared.clone(),
            engines: EngineClient::open(ClientSettings::default()).await?,
            services: ServiceClient::open(ServiceSettings::default()).await?,
        }))
    }
}
