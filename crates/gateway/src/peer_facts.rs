//! Lets gateways query each other for their newest facts from the key-value store.
//!
//! One gateway reads the store and the others query each other, as the tree of
//! `oleander_balance::fact_sources` says, because each store call costs the platform. A query is held
//! until there is news or a short time is over, so that a change passes through the tree at once. A
//! gateway that gets no answer from the store queries any other gateway. An answer holds the facts that
//! are newer than the revision in the query (docs/PLATFORM.md, "Between gateways").

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use oleander_base::monotonic_now;
use serde::Serialize;
use thiserror::Error;
use tokio::time::timeout;

use crate::core::GatewayCore;
use crate::facts_message::{FactRow, FactsMessage, UnpackError, VersionsRow};
use crate::http::{AnswerHead, ConnError, HeadLimits, HttpConn, MAX_CONTROL_BYTES, TcpTimeouts};
use crate::platform_view::KnownFact;
use crate::prelude::*;
use crate::store_client::read_body;
use crate::store_watch::apply_facts;

/// The path at which a gateway serves its facts.
pub(crate) const FACTS_PATH: &str = "/facts";

/// How long another gateway may take to begin its answer, besides the time that it holds the query.
const HEAD_TIMEOUT: Span = Span::from_millis(400);

/// How long the rest of an answer may take. A large manifest to many gateways fills a slow link for a
/// while, and an answer that is given up half-way has to be sent again as a whole.
const BODY_TIMEOUT: Span = Span::from_millis(1_000);

/// The longest time that a query is held.
const MAX_HOLD: Span = Span::from_secs(2);

/// The shortest time between the beginnings of two queries. Changes that follow each other within it travel
/// together.
const MIN_QUERY_INTERVAL: Span = Span::from_millis(100);

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
    /// How long the query may be held if there is no news.
    hold: Span,
}

impl FactsQuery {
    /// Returns what this gateway knows.
    fn of(core: &GatewayCore, hold: Span) -> Self {
        let view = core.view.borrow();
        Self {
            after: view.version,
            manifest: view.manifest_version(),
            reads_packed: true,
            hold,
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
            hold: Span::from_millis(number("hold_ms").min(MAX_HOLD.0 / 1_000)),
        }
    }

    fn target(self) -> String {
        let Self {
            after,
            manifest,
            reads_packed,
            hold,
        } = self;
        format!(
            "{FACTS_PATH}?after={}&era={}&manifest={manifest}&packed={}&hold_ms={}",
            after.revision,
            after.era,
            u8::from(reads_packed),
            hold.0 / 1_000
        )
    }
}

/// Holds the query of another gateway until there is news for it, or this gateway cannot tell any.
pub(crate) async fn hold_query(core: &GatewayCore, query: FactsQuery) {
    let until = monotonic_now() + query.hold;
    loop {
        let changed = core.view_changed.notified();
        let has_news = core
            .view
            .borrow()
            .has_facts_after(query.after, query.manifest);
        let left = until.since(monotonic_now());
        if has_news || core.is_store_lost.get() || left == Span::ZERO {
            return;
        }
        // The loop looks again whether the time is over.
        let _ = timeout(Duration::from(left), changed).await;
    }
}

/// Encodes the facts that another gateway does not know.
pub(crate) fn encode_facts(core: &GatewayCore, query: FactsQuery) -> Vec<u8> {
    let view = core.view.borrow();
    let now = monotonic_now();
    let contact = view.store_contact.filter(|_| !core.is_store_lost.get());
    let age = contact.map_or(u64::MAX, |contact| now.since(contact).0 / 1_000);
    let complete_age = view.complete_at.map(|at| now.since(at).0.div_ceil(1_000));
    let facts = view.facts_after(query.after, query.manifest, query.reads_packed);
    let versions = facts.iter().find_map(VersionsRow::of);
    let facts = facts.into_iter().filter_map(FactRow::of);
    let message = FactsMessage {
        era: view.version.era,
        at: view.version.revision.0,
        contact_age_ms: age,
        complete_age_ms: complete_age,
        facts: facts.collect(),
        versions,
    };
    let bytes = serde_json::to_vec(&message).expect("facts always serialize");
    core.metrics.record_peer_bytes("facts", bytes.len());
    bytes
}

/// Queries one other gateway, chosen at random, for newer facts.
pub(crate) async fn query_random_gateway(core: &Rc<GatewayCore>) {
    let Some(address) = pick_gateway(core) else {
        return;
    };
    let mut client = FactsClient::default();
    let outcome = match client.query(core, address, Span::ZERO).await {
        Ok(answer) => format!("{} facts", answer.facts),
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
    /// Queries a gateway for newer facts and applies them. The gateway may hold the query for `hold`.
    pub(crate) async fn query(
        &mut self,
        core: &GatewayCore,
        address: SocketAddr,
        hold: Span,
    ) -> Result<AppliedFacts, FactsError> {
        let started = monotonic_now();
        let query = FactsQuery::of(core, hold);
        let kept = self
            .kept
            .take()
            .filter(|kept| kept.address == address && kept.conn.is_idle());
        let answer = fetch(kept, address, query).await?;
        self.kept = Some(answer.kept);
        let message = answer.message;
        let max_age = core.settings().view_pace().max_contact_age;
        let contact_age_ms = message.contact_age_ms;
        let is_stale = contact_age_ms > max_age.0 / 1_000;
        // A gateway that has just started serves by what the others serve by, however old that is.
        if is_stale && core.manifest().is_some() {
            return Err(FactsError::Stale(contact_age_ms));
        }
        let facts = apply_message(core, message, started)?;
        if is_stale {
            return Err(FactsError::Stale(contact_age_ms));
        }
        // A gateway of an older version answers at once also if there is no news.
        let interval = if facts == 0 { hold } else { Span::ZERO };
        Ok(AppliedFacts {
            facts,
            next_at: started + interval.max(MIN_QUERY_INTERVAL),
        })
    }
}

/// The outcome of a query.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AppliedFacts {
    /// The number of facts that came.
    pub(crate) facts: usize,
    /// When the gateway may be queried again.
    pub(crate) next_at: MonoTime,
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

/// Applies a message that was asked for at a time.
fn apply_message(
    core: &GatewayCore,
    message: FactsMessage,
    asked_at: MonoTime,
) -> Result<usize, FactsError> {
    let facts = message.facts.into_iter().map(FactRow::into_fact);
    let mut facts: Vec<KnownFact> = facts.collect::<Result<_, _>>()?;
    facts.extend(message.versions.map(VersionsRow::into_fact));
    let now = monotonic_now();
    let contact_age = message.contact_age_ms.saturating_mul(1_000);
    let store_contact = MonoTime(now.0.saturating_sub(contact_age));
    let known = core.view.borrow().store_contact;
    core.view.borrow_mut().store_contact = known.max(Some(store_contact));
    if let Some(complete_age) = message.complete_age_ms {
        let complete_age = complete_age.saturating_mul(1_000);
        let complete_at = MonoTime(asked_at.0.saturating_sub(complete_age));
        let known = core.view.borrow().complete_at;
        core.view.borrow_mut().complete_at = known.max(Some(complete_at));
    }
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
    let (mut conn, head) = within(query.hold + HEAD_TIMEOUT, begun).await?;
    let body = async {
        let body = read_body(&mut conn, &head, MAX_CONTROL_BYTES).await;
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
