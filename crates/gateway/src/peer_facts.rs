//! Lets gateways query each other for their newest facts from the key-value store.
//!
//! In a data centre with many gateways a few read the store and the others query them, because each
//! store call costs the platform. A gateway that gets no answer from the store queries any other
//! gateway. An answer holds the facts that are newer than the revision in the query. It is JSON,
//! with each value as the store holds it (docs/PLATFORM.md, "Between gateways").

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use oleander_base::monotonic_now;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::time::timeout;

use crate::core::GatewayCore;
use crate::http::{AnswerHead, ConnError, HeadLimits, HttpConn, TcpTimeouts};
use crate::platform_view::{KnownFact, RemovalMode};
use crate::port::{StoreItem, StoreSubject};
use crate::prelude::*;
use crate::store_client::read_body;
use crate::store_watch::apply_facts;

/// The path at which a gateway serves its facts.
pub(crate) const FACTS_PATH: &str = "/facts";

/// The timeout of a query to another gateway.
const QUERY_TIMEOUT: Span = Span::from_millis(400);

/// The greatest age of the queried gateway's own contact with the store.
const MAX_CONTACT_AGE: Span = Span::from_millis(1_500);

/// The longest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 4 * 1024;

/// The facts of one gateway, as its answer carries them.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct FactsMessage {
    /// The era of the store in which the facts are complete; older gateways name none.
    #[serde(default)]
    era: StoreEra,
    /// The revision up to which the facts are complete.
    at: u64,
    /// The time since the gateway's last contact with the store, in milliseconds.
    contact_age_ms: u64,
    facts: Vec<FactRow>,
}

#[derive(Debug, Serialize, Deserialize)]
struct FactRow {
    subject: FactSubject,
    #[serde(default)]
    era: StoreEra,
    revision: u64,
    /// The value as the store holds it; absent for a tombstone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    value: Option<String>,
    /// Whether a tombstone may stand for an entry that expired only because the store was
    /// unreachable.
    #[serde(default, skip_serializing_if = "is_false")]
    may_have_lapsed: bool,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde asks for a reference"
)]
fn is_false(value: &bool) -> bool {
    !*value
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum FactSubject {
    Manifest,
    Backend(Arc<str>),
    Gateway(Arc<str>),
}

/// Why a query to another gateway failed.
#[derive(Debug, Error)]
pub(crate) enum FactsError {
    #[error("no answer in time")]
    TimedOut,
    #[error("{0}")]
    Connection(#[from] ConnError),
    #[error("malformed answer: {0}")]
    Answer(String),
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
}

impl FactsQuery {
    /// Returns what this gateway knows.
    fn of(core: &GatewayCore) -> Self {
        let view = core.view.borrow();
        Self {
            after: view.version,
            manifest: view.manifest_version(),
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
        }
    }

    fn target(self) -> String {
        let Self { after, manifest } = self;
        format!(
            "{FACTS_PATH}?after={}&era={}&manifest={manifest}",
            after.revision, after.era
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
    let facts = view.facts_after(query.after, query.manifest);
    let facts = facts.into_iter().filter_map(fact_row);
    let message = FactsMessage {
        era: view.version.era,
        at: view.version.revision.0,
        contact_age_ms: age,
        facts: facts.collect(),
    };
    serde_json::to_vec(&message).expect("facts always serialize")
}

/// Converts a fact to its row. A value that is not UTF-8 cannot be decoded by any gateway and is
/// left out.
fn fact_row(fact: KnownFact) -> Option<FactRow> {
    let item = fact.item;
    let subject = match item.subject {
        StoreSubject::Manifest => FactSubject::Manifest,
        StoreSubject::Backend(id) => FactSubject::Backend(id),
        StoreSubject::Gateway(name) => FactSubject::Gateway(name),
        StoreSubject::Other => return None,
    };
    let value = match item.value {
        None => None,
        Some(bytes) => Some(String::from_utf8(bytes.to_vec()).ok()?),
    };
    Some(FactRow {
        subject,
        era: fact.era,
        revision: item.revision.0,
        value,
        may_have_lapsed: fact.mode == RemovalMode::MayHaveLapsed,
    })
}

fn known_fact(row: FactRow) -> KnownFact {
    let subject = match row.subject {
        FactSubject::Manifest => StoreSubject::Manifest,
        FactSubject::Backend(id) => StoreSubject::Backend(id),
        FactSubject::Gateway(name) => StoreSubject::Gateway(name),
    };
    KnownFact {
        item: StoreItem {
            subject,
            revision: Revision(row.revision),
            value: row.value.map(Bytes::from),
        },
        era: row.era,
        mode: if row.may_have_lapsed {
            RemovalMode::MayHaveLapsed
        } else {
            RemovalMode::Gone
        },
    }
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
        let fetched = timeout(Duration::from(QUERY_TIMEOUT), fetch(kept, address, query)).await;
        let answer = fetched.unwrap_or(Err(FactsError::TimedOut))?;
        self.kept = Some(answer.kept);
        let message = answer.message;
        if Span::from_millis(message.contact_age_ms) > MAX_CONTACT_AGE {
            return Err(FactsError::Stale(message.contact_age_ms));
        }
        Ok(apply_message(core, message))
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

fn apply_message(core: &GatewayCore, message: FactsMessage) -> usize {
    let now = monotonic_now();
    let store_contact = MonoTime(now.0.saturating_sub(message.contact_age_ms * 1_000));
    let known = core.view.borrow().store_contact;
    core.view.borrow_mut().store_contact = known.max(Some(store_contact));
    let count = message.facts.len();
    let facts = message.facts.into_iter().map(known_fact).collect();
    core.raise_era(message.era, "gateway");
    let at = StoreVersion {
        era: message.era,
        revision: Revision(message.at),
    };
    apply_facts(core, facts, at, "gateway");
    count
}

async fn fetch(
    kept: Option<IdleConn>,
    address: SocketAddr,
    query: FactsQuery,
) -> Result<FactsAnswer, FactsError> {
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
    let answer_error = |error: &dyn std::fmt::Display| FactsError::Answer(error.to_string());
    let bytes = conn.read_head(&limits).await?;
    let head = AnswerHead::parse(bytes, "GET").map_err(|error| answer_error(&error))?;
    let body = read_body(&mut conn, &head)
        .await
        .map_err(|error| answer_error(&error))?;
    let message = serde_json::from_slice(&body).map_err(|error| answer_error(&error))?;
    Ok(FactsAnswer {
        message,
        kept: IdleConn { address, conn },
    })
}
