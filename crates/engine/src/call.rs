//! The parameters of one call to an engine.

use std::net::SocketAddr;

use ntex::util::{Bytes, BytesMut};
use oleander_attempt::AttemptTimeouts;
use oleander_base::PrefixHash;
use oleander_base::prelude::*;

/// The completion interface of an engine that a call uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum EnginePath {
    /// Chat completions, at `/v1/chat/completions`.
    Chat,
    /// Text completions, at `/v1/completions`.
    Completions,
}

impl EnginePath {
    /// Returns the request path at the engine.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Completions => "/v1/completions",
        }
    }
}

/// The position at which an engine continues an answer that another engine began.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ResumePoint {
    /// The number of tokens that the caller has already received.
    pub from_token: u32,
}

/// One call for a completion to an engine.
#[derive(Debug, Clone)]
pub struct EngineCall<'a> {
    /// The engine's address.
    pub address: SocketAddr,
    /// The completion interface.
    pub path: EnginePath,
    /// The request body as the caller sent it: a JSON object.
    pub body: Bytes,
    /// The request's name at the engine, by which [`EngineClient::cancel`] ends it.
    ///
    /// [`EngineClient::cancel`]: crate::EngineClient::cancel
    pub request: &'a str,
    /// The tier, which is sent as the engine's priority.
    pub tier: Tier,
    /// The hash of the prompt's prefix, if the engine is to keep that prefix in its cache.
    pub prefix: Option<PrefixHash>,
    /// Where the engine continues an answer, or none for a new answer.
    pub resume: Option<ResumePoint>,
    /// Headers that are sent in addition to those of the client.
    pub headers: &'a [(&'a str, &'a str)],
    /// The time limit of each phase of the call.
    pub timeouts: AttemptTimeouts,
}

impl EngineCall<'_> {
    /// Returns the body with the resume point as its first field, or the caller's body unchanged
    /// if there is no resume point or no JSON object.
    pub(crate) fn body_with_resume(&self) -> Bytes {
        let Some(resume) = self.resume else {
            return self.body.clone();
        };
        let Some(brace) = self.body.iter().position(|byte| *byte == b'{') else {
            return self.body.clone();
        };
        let rest = &self.body[brace + 1..];
        let is_empty = rest.iter().find(|byte| !byte.is_ascii_whitespace()) == Some(&b'}');
        let resume_field = format!("{{\"resume\":{{\"from_token\":{}}}", resume.from_token);
        let mut body = BytesMut::with_capacity(self.body.len() + resume_field.len() + 1);
        body.extend_from_slice(resume_field.as_bytes());
        if !is_empty {
            body.extend_from_slice(b",");
        }
        body.extend_from_slice(rest);
        body.freeze()
    }
}
