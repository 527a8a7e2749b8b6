//! What the gateway asks of the platform that it runs on, as typed calls.
//!
//! The gateway knows neither header names nor body formats nor keys of the store: a
//! [`PlatformPort`] translates them. Each method is a pure translation of its arguments, without a
//! timer, a retry or a memory, so that everything that decides stays in this package
//! (docs/PLATFORM.md, "Ports").

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use oleander_balance::{BackendEntry, LoadReport, PromptPart};
use oleander_base::prelude::*;
use thiserror::Error;

use crate::http::{AnswerHead, RequestHead};
use crate::manifest::{Manifest, RouteSpec};
use crate::settings::GatewaySettings;

/// A text from outside that could not be read.
#[derive(Debug, Error)]
#[error("{what}: {reason}")]
pub struct DecodeError {
    /// What was read.
    pub what: String,
    /// Why it could not be read.
    pub reason: String,
}

impl DecodeError {
    /// Makes an error from what was read and why that failed.
    pub fn new(what: impl Into<String>, reason: impl fmt::Display) -> Self {
        Self {
            what: what.into(),
            reason: reason.to_string(),
        }
    }
}

/// What a caller's request head says beyond its framing.
#[derive(Debug, Clone, Default)]
pub struct CallFacts {
    /// The id of the caller's attempt.
    pub attempt_id: Option<Arc<str>>,
    /// How long the caller waits.
    pub time_left: Option<Span>,
    /// The caller's key.
    pub credential: Option<Arc<str>>,
    /// The prompt's parts, in order.
    pub parts: Vec<PromptPart>,
    /// The prompt's size in tokens.
    pub prompt_tokens: u32,
    /// The most tokens that the answer may have.
    pub answer_limit: u32,
    /// The caller's own guess of the answer's size in tokens.
    pub answer_hint: Option<u32>,
    /// The last event that the caller has.
    pub resume_from: Option<u64>,
}

/// What an answer's head says beyond its framing.
#[derive(Debug, Clone, Default)]
pub struct AnswerFacts {
    /// The id of the attempt that it answers.
    pub attempt_id: Option<Arc<str>>,
    /// Whether the backend server vouches for the answer.
    pub is_signed: bool,
    /// Whether the backend server says that the request did not run and will not run.
    pub is_not_run: bool,
    /// The load of the backend server.
    pub load: Option<LoadReport>,
}

/// What one send to a backend server sets, besides the caller's own headers.
#[derive(Debug, Clone, Copy)]
pub struct SendHeaders<'a> {
    /// The backend server that must answer, and no other one at its address.
    pub backend_id: &'a str,
    /// How long the backend server may work.
    pub time_left: Span,
    /// The customer who calls.
    pub customer: Option<&'a str>,
    /// The urgency, 0 first.
    pub urgency: Option<u8>,
    /// The last event that the caller has already.
    pub resume_from: Option<u64>,
    /// The length of the body.
    pub body_len: Option<usize>,
}

/// An answer of the gateway itself.
#[derive(Debug, Clone, Copy)]
pub struct GatewayAnswer<'a> {
    /// The status.
    pub status: u16,
    /// Why, in words for the caller.
    pub reason: &'a str,
    /// When the caller may come back.
    pub retry_after: Option<Span>,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Whether the connection closes after it.
    pub closes: bool,
}

/// One call of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreRequest {
    /// The method.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// The body; empty for a read.
    pub body: String,
}

/// A change of one key, or its present state.
#[derive(Debug, Clone)]
pub struct StoreItem {
    /// What the key names.
    pub subject: StoreSubject,
    /// The revision of the change.
    pub revision: Revision,
    /// The value; `None` if the key was deleted.
    pub value: Option<Bytes>,
}

/// What a key of the store names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreSubject {
    /// The manifest in force.
    Manifest,
    /// A backend server of the registry, by its id.
    Backend(Arc<str>),
    /// Another gateway, by its name.
    Gateway(Arc<str>),
    /// Anything else.
    Other,
}

/// A page of items.
#[derive(Debug, Clone)]
pub struct StorePage {
    /// The items.
    pub items: Vec<StoreItem>,
    /// The key to read on after, if there is more.
    pub next_after: Option<String>,
    /// The store's revision.
    pub revision: Revision,
}

/// The changes of a watch.
#[derive(Debug, Clone)]
pub struct StoreChanges {
    /// The changes, in order.
    pub items: Vec<StoreItem>,
    /// Where to go on.
    pub revision: Revision,
}

/// How another gateway is reached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GatewayEntry {
    /// Its address for other gateways' questions.
    pub control: SocketAddr,
    /// Its address for other gateways' news of load; older versions have none.
    pub gossip: Option<SocketAddr>,
    /// Its data centre.
    pub centre: Arc<str>,
}

/// The translations between the gateway and its platform.
pub trait PlatformPort: fmt::Debug {
    /// Reads the settings of this process; also says when their file last changed.
    fn read_settings(&self) -> Result<GatewaySettings, DecodeError>;
    /// Returns the path of the settings file.
    fn settings_path(&self) -> std::path::PathBuf;

    /// Reads a caller's request head.
    fn decode_call(&self, head: &RequestHead) -> Result<CallFacts, DecodeError>;
    /// Writes the head that goes to a backend server.
    fn encode_send(&self, head: &RequestHead, headers: &SendHeaders<'_>, out: &mut Vec<u8>);
    /// Reads a backend server's answer head.
    fn decode_answer(&self, head: &AnswerHead) -> AnswerFacts;
    /// Writes the head of a backend server's answer that goes to the caller.
    fn encode_answer(&self, head: &AnswerHead, framing: AnswerFraming, out: &mut Vec<u8>);
    /// Writes an answer of the gateway itself.
    fn encode_gateway_answer(&self, facts: &CallFacts, answer: &GatewayAnswer<'_>, out: &mut Vec<u8>);

    /// Reads a manifest.
    fn decode_manifest(&self, value: &[u8]) -> Result<Manifest, DecodeError>;
    /// Reads an entry of the registry.
    fn decode_backend(&self, id: &str, value: &[u8]) -> Result<BackendEntry, DecodeError>;
    /// Reads the entry of another gateway.
    fn decode_gateway(&self, value: &[u8]) -> Result<GatewayEntry, DecodeError>;

    /// Reads every key, page after page.
    fn list_request(&self, after: Option<&str>) -> StoreRequest;
    /// Reads a page.
    fn decode_page(&self, body: &[u8]) -> Result<StorePage, DecodeError>;
    /// Waits for changes after a revision.
    fn watch_request(&self, after: Revision, wait: Span) -> StoreRequest;
    /// Reads the changes.
    fn decode_changes(&self, body: &[u8]) -> Result<StoreChanges, DecodeError>;
    /// Asks for a lease.
    fn lease_request(&self, ttl: Span) -> StoreRequest;
    /// Reads the lease.
    fn decode_lease(&self, body: &[u8]) -> Result<u64, DecodeError>;
    /// Renews a lease.
    fn renew_request(&self, lease: u64) -> StoreRequest;
    /// Ends a lease.
    fn release_request(&self, lease: u64) -> StoreRequest;
    /// Announces this gateway under a lease.
    fn announce_request(&self, name: &str, entry: &GatewayEntry, lease: u64) -> StoreRequest;
}

/// How the body of an answer is framed towards the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerFraming {
    /// The body's length; `None` sends it in chunks.
    pub length: Option<usize>,
    /// Whether the connection closes after it.
    pub closes: bool,
}

/// What a route means for a request, with the customer's own urgency applied.
#[derive(Debug, Clone)]
pub struct RoutedCall {
    /// The route.
    pub route: Arc<RouteSpec>,
    /// The service that the request goes to.
    pub service: Arc<str>,
    /// The customer who calls.
    pub customer: Option<Arc<str>>,
    /// The urgency, 0 first.
    pub urgency: u8,
}
