//! Lets gateways query each other for their newest facts from the key-value store.
//!
//! In a data centre with many gateways a few read the store and the others query them, because each
//! store call costs the platform. A gateway that gets no answer from the store queries any other
//! gateway. An answer holds the facts that are newer than the revision in the query (docs/PLATFORM.md,
//! "Between gateways").

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use oleander_base::monotonic_now;
use serde::Serialize;
use thiserror::Error;
use tokio::time::timeout;

use crate::core::GatewayCore;
use crate::facts_message::{FactRow, FactsMessage, UnpackError};
use crate::http::{AnswerHead, ConnError, HeadLimits, HttpConn, TcpTimeouts};
use crate::platform_view::KnownFact;
use crate::prelude::*;
use crate::store_client::read_body;
use crate::store_watch::apply_facts;

/// The path at which a gateway serves its facts.
pub(crate) const FACTS_PATH: &str = "/facts";

/// How long another gateway may take to begin its answer.
const HEAD_TIMEOUT: Span = Span::from_millis(400);

/// How long the rest of an answer may take. A large manifest to many gateways fills a slow link for a
/// while, and an answer that is given up half-way has to be sent again as a whole.
const BODY_TIMEOUT: Span = Span::from_millis(1_000);

/// The greatest age of the queried gateway's own contact with the store.
const MAX_CONTACT_AGE: Span = Span::from_millis(1_500);

/// The longest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 4 * 1024;

/// Why a query to another gateway failed.
#[derive(Debug, Error)]
pub(crate) enum FactsError {
    #[error("no answer in time")]
    TimedOut,
    #[error("{0}")]
    Connection(#[from] ConnError),
    #[error("malformed answer: {0}")]
    Answer(String),
    #[error("malformed answer: {0}")]
    Packed(#[from] UnpackError),
    #[error("its last contact with the store was {0} ms ago")]
    Stale(u64),
}

#[derive(Debug, Serialize)]
struct PeerQueryFields {
    gateway: SocketAddr,
    outcome: String,
    revision: u64,
}

/// What another gateway already knows.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct FactsQuery {
    after: StoreVersion,
    /// The version of its manifest.
    manifest: u64,
    /// Whether it can read packed values.
    reads_packed: bool,
}

impl FactsQuery {
    /// Returns what this gateway knows.
    fn of(core: &GatewayCore) -> Self {
        let view = core.view.borrow();
        Self {
            after: view.version,
            manifest: view.manifest_version(),
            reads_packed: true,
        }
    }

    /// Reads a query from a request target. A part that is missing or malformed asks for all facts.
    pub(crate) fn parse(target: &str) -> Self {
        let query = target.split_once('?').map_or("", |(_, query)| query);
        let number = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(known, _)| *known == name);
            found.and_then(|(_, text)| text.parse().ok()).unwrap_or(0)
        };
        Self {
            after: StoreVersion {
                era: StoreEra(number("era")),
                revision: Revision(number("after")),
            },
            manifest: number("manifest"),
            reads_packed: number("packed") == 1,
        }
    }

    fn target(self) -> String {
        let Self {
            after,
            manifest,
            reads_packed,
        } = self;
        format!(
            "{FACTS_PATH}?after={}&era={}&manifest={manifest}&packed={}",
            after.revision,
            after.era,
            u8::from(reads_packed)
        )
    }
}

/// Encodes the facts that another gateway does not know.
pub(crate) fn encode_facts(core: &GatewayCore, query: FactsQuery) -> Vec<u8> {
    let view = core.view.borrow();
    let now = monotonic_now();
    let age = view
        .store_contact
        .map_or(u64::MAX, |contact| now.since(contact).0 / 1_000);
    let facts = view.facts_after(query.after, query.manifest, query.reads_packed);
    let facts = facts.into_iter().filter_map(FactRow::of);
    let message = FactsMessage {
        era: view.version.era,
        at: view.version.revision.0,
        contact_age_ms: age,
        facts: facts.collect(),
    };
    serde_json::to_vec(&message).expect("facts always serialize")
}

/// Queries one other gateway, chosen at random, for newer facts.
pub(crate) async fn query_random_gateway(core: &Rc<GatewayCore>) {
    let Some(address) = pick_gateway(core) else {
        return;
    };
    let mut client = FactsClient::default();
    let outcome = match client.query(core, address).await {
        Ok(count) => format!("{count} facts"),
        Err(error) => error.to_string(),
    };
    core.log.change(
        "gateway-asked",
        PeerQueryFields {
            gateway: address,
            outcome,
            revision: core.view.borrow().version.revision.0,
        },
    );
}

/// Queries other gateways for their facts. The connection is kept and reused when the same gateway
/// is queried again.
#[derive(Debug, Default)]
pub(crate) struct FactsClient {
    kept: Option<IdleConn>,
}

#[derive(Debug)]
struct IdleConn {
    address: SocketAddr,
    conn: HttpConn,
}

impl FactsClient {
    /// Queries a gateway for newer facts, applies them and returns their number.
    pub(crate) async fn query(
        &mut self,
        core: &GatewayCore,
        address: SocketAddr,
    ) -> Result<usize, FactsError> {
        let query = FactsQuery::of(core);
        let kept = self
            .kept
            .take()
            .filter(|kept| kept.address == address && kept.conn.is_idle());
        let answer = fetch(kept, address, query).await?;
        self.kept = Some(answer.kept);
        let message = answer.message;
        if Span::from_millis(message.contact_age_ms) > MAX_CONTACT_AGE {
            return Err(FactsError::Stale(message.contact_age_ms));
        }
        apply_message(core, message)
    }
}

#[derive(Debug)]
struct FactsAnswer {
    message: FactsMessage,
    kept: IdleConn,
}

fn pick_gateway(core: &GatewayCore) -> Option<SocketAddr> {
    let settings = core.settings();
    let mut addresses = core.view.borrow().gateway_addresses(&settings.name);
    if addresses.is_empty() {
        addresses = settings
            .seeds
            .iter()
            .copied()
            .filter(|seed| *seed != settings.control)
            .collect();
    }
    let index = (core.random() * addresses.len() as f64) as usize;
    addresses.get(index).copied()
}

fn apply_message(core: &GatewayCore, message: FactsMessage) -> Result<usize, FactsError> {
    let facts = message.facts.into_iter().map(FactRow::into_fact);
    let facts: Vec<KnownFact> = facts.collect::<Result<_, _>>()?;
    let now = monotonic_now();
    let store_contact = MonoTime(now.0.saturating_sub(message.contact_age_ms * 1_000));
    let known = core.view.borrow().store_contact;
    core.view.borrow_mut().store_contact = known.max(Some(store_contact));
    let count = facts.len();
    core.raise_era(message.era, "gateway");
    let at = StoreVersion {
        era: message.era,
        revision: Revision(message.at),
    };
    apply_facts(core, facts, at, "gateway");
    Ok(count)
}

async fn fetch(
    kept: Option<IdleConn>,
    address: SocketAddr,
    query: FactsQuery,
) -> Result<FactsAnswer, FactsError> {
    let begun = begin(kept, address, query);
    let (mut conn, head) = within(HEAD_TIMEOUT, begun).await?;
    let body = async {
        let body = read_body(&mut conn, &head).await;
        body.map_err(|error| FactsError::Answer(error.to_string()))
    };
    let body = within(BODY_TIMEOUT, body).await?;
    let message = serde_json::from_slice(&body);
    Ok(FactsAnswer {
        message: message.map_err(|error| FactsError::Answer(error.to_string()))?,
        kept: IdleConn { address, conn },
    })
}

async fn within<T>(
    limit: Span,
    work: impl Future<Output = Result<T, FactsError>>,
) -> Result<T, FactsError> {
    let done = timeout(Duration::from(limit), work).await;
    done.unwrap_or(Err(FactsError::TimedOut))
}

/// Sends a query and reads the head of its answer.
async fn begin(
    kept: Option<IdleConn>,
    address: SocketAddr,
    query: FactsQuery,
) -> Result<(HttpConn, AnswerHead), FactsError> {
    let mut conn = match kept {
        Some(kept) => kept.conn,
        None => HttpConn::connect(address, &TcpTimeouts::default())
            .await
            .map_err(ConnError::from)?,
    };
    let target = query.target();
    let request = format!("GET {target} HTTP/1.1\r\nHost: {address}\r\n\r\n");
    conn.write_all(request.as_bytes())
        .await
        .map_err(ConnError::from)?;
    let limits = HeadLimits {
        head_bytes: MAX_HEAD_BYTES,
    };
    let bytes = conn.read_head(&limits).await?;
    let head = AnswerHead::parse(bytes, "GET");
    let head = head.map_err(|error| FactsError::Answer(error.to_string()))?;
    Ok((conn, head))
}
