//! The interface between the gateway and the platform that it runs on.
//!
//! The gateway knows neither header names nor body formats nor keys of the store: a
//! [`PlatformPort`] translates them. Each method is a pure translation of its arguments, without
//! timers, retries or state, so that all decisions stay in this package (docs/PLATFORM.md,
//! "Ports").

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use oleander_balance::{
    AnswerClaim, BackendEntry, Brittleness, LoadReport, NamedRate, PromptPart, StreamOrigin,
    VersionRecord, WorkReport,
};
use oleander_base::prelude::*;
use thiserror::Error;

use crate::duty::FencingToken;
use crate::http::{AnswerHead, RequestHead};
use crate::manifest::{Manifest, RouteSpec};
use crate::settings::GatewaySettings;
use crate::store_version::StoreEra;

/// An error about external text that could not be decoded.
#[derive(Debug, Error)]
#[error("{what}: {reason}")]
pub struct DecodeError {
    /// What was decoded.
    pub what: String,
    /// Why it could not be decoded.
    pub reason: String,
}

impl DecodeError {
    /// Creates an error from what was decoded and why that failed.
    pub fn new(what: impl Into<String>, reason: impl fmt::Display) -> Self {
        Self {
            what: what.into(),
            reason: reason.to_string(),
        }
    }
}

/// The facts in a caller's request head beyond HTTP framing.
#[derive(Debug, Clone, Default)]
pub struct CallFacts {
    /// The id of the caller's attempt.
    pub attempt_id: Option<Arc<str>>,
    /// How long the caller waits for an answer.
    pub time_left: Option<Span>,
    /// The caller's key.
    pub credential: Option<Arc<str>>,
    /// The parts of the prompt, in order.
    pub parts: Vec<PromptPart>,
    /// The size of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// The greatest number of tokens that the answer may have.
    pub answer_limit: u32,
    /// The caller's estimate of the answer's size, in tokens.
    pub answer_hint: Option<u32>,
    /// The id of the last event that the caller has received.
    pub resume_from: Option<u64>,
    /// The id of the caller's attempt that brought the first event of the stream that this request
    /// resumes.
    pub resumed_attempt: Option<Arc<str>>,
    /// Whether another gateway relays the request.
    pub is_relayed: bool,
}

impl CallFacts {
    /// Returns what the caller says about the size of the answer.
    pub fn answer_claim(&self) -> AnswerClaim {
        AnswerClaim {
            hint: self.answer_hint,
            limit: self.answer_limit,
        }
    }
}

/// The facts in an answer's head beyond HTTP framing.
#[derive(Debug, Clone, Default)]
pub struct AnswerFacts {
    /// The id of the attempt that is answered.
    pub attempt_id: Option<Arc<str>>,
    /// Whether the answer carries the backend server's signature.
    pub is_signed: bool,
    /// Whether the backend server states that the request did not run and will not run.
    pub is_not_run: bool,
    /// The load that the backend server reports.
    pub load: Option<LoadReport>,
    /// The number of its slots that the backend server reports.
    pub slots: Option<u32>,
    /// How long the backend server reports that work takes there now.
    pub work: WorkReport,
    /// Whether the backend server says that it leaves.
    pub is_leaving: bool,
    /// How long the backend server asks this gateway to back off.
    pub backoff: Option<Span>,
    /// The request rate that the backend server names.
    pub rate_limit: NamedRate,
    /// The rejections that the backend server says it survives.
    pub brittleness: Brittleness,
    /// Whether another gateway says that it is cut off from backend servers.
    pub is_cut_off: bool,
    /// Another gateway's verdict on a relayed request over all its sends; older gateways state none.
    pub relay_verdict: Option<Verdict>,
}

/// The headers that the gateway sets on one send to a backend server, besides the caller's own.
#[derive(Debug, Clone, Copy)]
pub struct SendHeaders<'a> {
    /// The id of the only backend server that may answer; any other one at its address must refuse.
    pub backend_id: &'a str,
    /// How long the backend server may work.
    pub time_left: Span,
    /// The customer who calls.
    pub customer: Option<&'a str>,
    /// The urgency; 0 is the most urgent.
    pub urgency: Option<u8>,
    /// The id of the last event that the caller has already received.
    pub resume_from: Option<u64>,
    /// The length of the body, in bytes.
    pub body_len: Option<usize>,
}

/// The headers that the gateway sets on a request that it relays to another gateway.
#[derive(Debug, Clone, Copy)]
pub struct RelayHeaders<'a> {
    /// How long the other gateway may take.
    pub time_left: Span,
    /// The id of the last event that the caller has already received.
    pub resume_from: Option<u64>,
    /// The id of the attempt that brought the first event of the stream.
    pub resumed_attempt: Option<&'a str>,
    /// The length of the body, in bytes.
    pub body_len: Option<usize>,
}

/// An answer that the gateway itself gives to a caller.
#[derive(Debug, Clone, Copy)]
pub struct GatewayAnswer<'a> {
    /// The status code.
    pub status: u16,
    /// The reason, as text for the caller.
    pub reason: &'a str,
    /// The delay after which the caller may retry.
    pub retry_after: Option<Span>,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Whether the connection closes after the answer.
    pub closes: bool,
    /// Whether this gateway is cut off from backend servers, for another one that relayed the request. It is said
    /// only with [`Verdict::NotRun`], because older gateways take such an answer for "not run".
    pub is_cut_off: bool,
}

/// One call to the key-value store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreRequest {
    /// The method.
    pub method: &'static str,
    /// The path and the query.
    pub target: String,
    /// The body; empty for a read.
    pub body: String,
}

/// A change of one key, or its present state.
#[derive(Debug, Clone)]
pub struct StoreItem {
    /// What the key names.
    pub subject: StoreSubject,
    /// The revision of the change, in the era of the answer that brought it.
    pub revision: Revision,
    /// The value; `None` if the key was deleted.
    pub value: Option<Bytes>,
}

/// What a key in the store names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreSubject {
    /// The manifest in force.
    Manifest,
    /// A backend server in the registry, by its id.
    Backend(Arc<str>),
    /// A gateway, by its name.
    Gateway(Arc<str>),
    /// The record of the software versions.
    Versions,
    /// Any other key.
    Other,
}

/// A backend server's registry entry.
#[derive(Debug, Clone)]
pub struct RegistryEntry {
    /// What the entry says.
    pub backend: BackendEntry,
    /// The number of times that the backend server has written it, which tells an older copy.
    pub writes: u64,
}

/// One page of a listing.
#[derive(Debug, Clone)]
pub struct StorePage {
    /// The items of the page.
    pub items: Vec<StoreItem>,
    /// The key after which the next page starts, if there is one.
    pub next_after: Option<String>,
    /// The revision of the store at which the page was read.
    pub revision: Revision,
}

/// The changes that a watch returned.
#[derive(Debug, Clone)]
pub struct StoreChanges {
    /// The changes, in order.
    pub items: Vec<StoreItem>,
    /// The revision after which the next watch starts.
    pub revision: Revision,
}

/// How another gateway is reached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GatewayEntry {
    /// The address for queries from other gateways.
    pub control: SocketAddr,
    /// The address for gossip from other gateways; older versions have none.
    pub gossip: Option<SocketAddr>,
    /// The address that callers connect to, for relayed requests; older versions have none.
    pub frontend: Option<SocketAddr>,
    /// The data centre.
    pub centre: Arc<str>,
    /// How much it can pass on to other gateways; 0 at older versions.
    pub capacity: u32,
    /// Whether it leases the slots of brittle backend servers; older versions do not.
    pub leases_slots: bool,
}

/// A key of the store that belongs to the duties towards the provider.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum DutyKey {
    /// Names the gateway that holds the duties.
    Holder,
    /// The first usage window whose report needs no older intent, with the era that this holds for.
    UsageStart,
    /// The exact text of the usage report of a window.
    UsageIntent(u64),
}

/// A duty key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DutyEntry {
    /// The key.
    pub key: DutyKey,
    /// The value.
    pub value: Bytes,
    /// The revision of the write, in the era of the answer that brought it.
    pub revision: Revision,
}

/// One page of the keys of the usage reports.
#[derive(Debug, Clone)]
pub struct DutyPage {
    /// The entries of the page, without keys of an unknown kind.
    pub entries: Vec<DutyEntry>,
    /// The key after which the next page starts, if there is one.
    pub next_after: Option<String>,
}

/// A value that is written to a duty key.
#[derive(Debug, Clone, Copy)]
pub struct DutyWrite<'a> {
    /// The key.
    pub key: DutyKey,
    /// The value.
    pub value: &'a [u8],
    /// The lease with which the key disappears; absent if it stays.
    pub lease: Option<u64>,
}

/// A change of duty keys, which takes effect as a whole or not at all.
#[derive(Debug, Clone, Copy)]
pub struct DutyChange<'a> {
    /// The revisions that the keys must have; revision 0 means that the key does not exist.
    pub conditions: &'a [(DutyKey, Revision)],
    /// What is written.
    pub writes: &'a [DutyWrite<'a>],
    /// The keys that are removed.
    pub removes: &'a [DutyKey],
}

/// One page of the origins of streams in the store.
#[derive(Debug, Clone)]
pub struct OriginPage {
    /// The origins.
    pub origins: Vec<StreamOrigin>,
    /// The key after which the next page starts, if there is one.
    pub next_after: Option<String>,
}

/// One call of the provider, without the headers that name the holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProviderRequest {
    /// The path.
    pub target: &'static str,
    /// The body.
    pub body: String,
}

/// The usage of one window.
#[derive(Debug, Clone, Copy)]
pub struct UsageReport<'a> {
    /// The number of the window.
    pub window: u64,
    /// The number of requests that began, by customer.
    pub counts: &'a BTreeMap<Arc<str>, u64>,
}

/// An order of backend servers for one service in one data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ScalingOrder<'a> {
    /// The service.
    pub service: &'a str,
    /// The data centre.
    pub centre: &'a str,
    /// The number of backend servers that is wanted.
    pub count: u32,
    /// Whether backend servers are wanted that may be reclaimed.
    pub is_preemptible: bool,
}

/// The holder that a call of the provider is made for.
#[derive(Debug, Clone, Copy)]
pub struct DutyHeaders<'a> {
    /// The name of the gateway.
    pub holder: &'a str,
    /// The fencing token.
    pub token: FencingToken,
}

/// Translates between the gateway and its platform.
pub trait PlatformPort: fmt::Debug {
    /// Reads the settings of this process.
    fn read_settings(&self) -> Result<GatewaySettings, DecodeError>;
    /// Returns the path of the settings file.
    fn settings_path(&self) -> std::path::PathBuf;

    /// Decodes a caller's request head.
    fn decode_call(&self, head: &RequestHead) -> Result<CallFacts, DecodeError>;
    /// Writes the head of a request to a backend server.
    fn encode_send(&self, head: &RequestHead, headers: &SendHeaders<'_>, out: &mut Vec<u8>);
    /// Writes the head of a request to another gateway, which finds out customer and route itself.
    fn encode_relay(&self, head: &RequestHead, headers: &RelayHeaders<'_>, out: &mut Vec<u8>);
    /// Writes the query by which the process at an address tells its start time.
    fn encode_process_query(&self, address: SocketAddr, out: &mut Vec<u8>);
    /// Decodes the start time that a process told, in milliseconds since the Unix epoch by its own clock; `None` if the
    /// answer names none.
    fn decode_process_start(&self, head: &AnswerHead, body: &[u8]) -> Option<u64>;
    /// Decodes the head of a backend server's answer, or of another gateway's.
    fn decode_answer(&self, head: &AnswerHead) -> AnswerFacts;
    /// Writes the head of a backend server's answer as it is sent to the caller.
    fn encode_answer(&self, head: &AnswerHead, framing: AnswerFraming, out: &mut Vec<u8>);
    /// Writes an answer of the gateway itself.
    fn encode_gateway_answer(
        &self,
        facts: &CallFacts,
        answer: &GatewayAnswer<'_>,
        out: &mut Vec<u8>,
    );

    /// Decodes a manifest.
    fn decode_manifest(&self, value: &[u8]) -> Result<Manifest, DecodeError>;
    /// Decodes a registry entry.
    fn decode_backend(&self, id: &str, value: &[u8]) -> Result<RegistryEntry, DecodeError>;
    /// Decodes the entry of another gateway.
    fn decode_gateway(&self, value: &[u8]) -> Result<GatewayEntry, DecodeError>;

    /// Decodes the era in the head of a store's answer; `None` if the store names none.
    fn decode_era(&self, head: &AnswerHead) -> Result<Option<StoreEra>, DecodeError>;
    /// Returns the call that reads the page of all keys after `after`.
    fn list_request(&self, after: Option<&str>) -> StoreRequest;
    /// Decodes a page.
    fn decode_page(&self, body: &[u8]) -> Result<StorePage, DecodeError>;
    /// Returns the call that waits up to `wait` for changes after a revision.
    fn watch_request(&self, after: Revision, wait: Span) -> StoreRequest;
    /// Decodes the changes that a watch returned.
    fn decode_changes(&self, body: &[u8]) -> Result<StoreChanges, DecodeError>;
    /// Returns the call that grants a lease.
    fn lease_request(&self, ttl: Span) -> StoreRequest;
    /// Decodes the id of a granted lease.
    fn decode_lease(&self, body: &[u8]) -> Result<u64, DecodeError>;
    /// Returns the call that renews a lease.
    fn renew_request(&self, lease: u64) -> StoreRequest;
    /// Returns the call that ends a lease.
    fn release_request(&self, lease: u64) -> StoreRequest;
    /// Returns the call that announces this gateway under a lease.
    fn announce_request(&self, name: &str, entry: &GatewayEntry, lease: u64) -> StoreRequest;

    /// Decodes the record of the software versions.
    fn decode_versions(&self, value: &[u8]) -> Result<VersionRecord, DecodeError>;
    /// Returns the call that reads the record of the software versions.
    fn versions_read_request(&self) -> StoreRequest;
    /// Decodes the record's key that was read.
    fn decode_versions_item(&self, body: &[u8]) -> Result<StoreItem, DecodeError>;
    /// Returns the call that writes a record in place of the one of revision `known`; revision 0 means that there is
    /// none.
    fn versions_write_request(&self, record: &VersionRecord, known: Revision) -> StoreRequest;
    /// Decodes the key that a write of this record has made.
    fn decode_versions_write(
        &self,
        record: &VersionRecord,
        body: &[u8],
    ) -> Result<StoreItem, DecodeError>;

    /// Returns the call that writes origins of streams under a lease, as the part `part` of those of one collector.
    fn origins_write_request(
        &self,
        part: &str,
        origins: &[StreamOrigin],
        lease: u64,
    ) -> StoreRequest;
    /// Returns the call that reads the page of all origins after `after`.
    fn origins_list_request(&self, after: Option<&str>) -> StoreRequest;
    /// Decodes a page of origins. What cannot be decoded is left out.
    fn decode_origins_page(&self, body: &[u8]) -> Result<OriginPage, DecodeError>;

    /// Returns the call that reads a duty key.
    fn duty_read_request(&self, key: DutyKey) -> StoreRequest;
    /// Decodes a duty key that was read.
    fn decode_duty_entry(&self, body: &[u8]) -> Result<DutyEntry, DecodeError>;
    /// Returns the call that reads the page of the keys of the usage reports after `after`.
    fn usage_list_request(&self, after: Option<&str>) -> StoreRequest;
    /// Decodes a page of the keys of the usage reports.
    fn decode_usage_page(&self, body: &[u8]) -> Result<DutyPage, DecodeError>;
    /// Returns the call that changes duty keys.
    fn duty_change_request(&self, change: &DutyChange<'_>) -> StoreRequest;
    /// Decodes the revision of a change of duty keys.
    fn decode_duty_change(&self, body: &[u8]) -> Result<Revision, DecodeError>;

    /// Returns the call that reports the usage of a window.
    fn usage_request(&self, report: &UsageReport<'_>) -> ProviderRequest;
    /// Returns the call that repeats a usage report with the body of an earlier one.
    fn repeated_usage_request(&self, body: String) -> ProviderRequest;
    /// Returns the call that orders backend servers.
    fn scaling_request(&self, order: &ScalingOrder<'_>) -> ProviderRequest;
    /// Writes a call of the provider.
    fn encode_provider_call(
        &self,
        request: &ProviderRequest,
        headers: &DutyHeaders<'_>,
        address: SocketAddr,
        out: &mut Vec<u8>,
    );
}

/// How the body of an answer is framed for the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerFraming {
    /// The length of the body, in bytes; `None` sends it in chunks.
    pub length: Option<usize>,
    /// Whether the connection closes after the answer.
    pub closes: bool,
}

/// The route of a request, with the urgency that results from the route and the customer.
#[derive(Debug, Clone)]
pub struct RoutedCall {
    /// The route.
    pub route: Arc<RouteSpec>,
    /// The service that the request goes to.
    pub service: Arc<str>,
    /// The customer who calls.
    pub customer: Option<Arc<str>>,
    /// The urgency; 0 is the most urgent.
    pub urgency: u8,
}
