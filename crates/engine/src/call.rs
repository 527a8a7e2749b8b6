//! One call to an engine.

use std::net::SocketAddr;

use ntex::util::{Bytes, BytesMut};
use oleander_attempt::AttemptTimeouts;
use oleander_base::PrefixHash;
use oleander_base::prelude::*;

/// The interface of the call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum EnginePath {
    /// Chat completions.
    Chat,
    /// Completions.
    Completions,
}

impl EnginePath {
    /// Returns the path below the engine's address.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Completions => "/v1/completions",
        }
    }
}

/// Where an answer that began elsewhere goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ResumePoint {
    /// The number of tokens that the caller has.
    pub from_token: u32,
}

/// One call to an engine.
#[derive(Debug, Clone)]
pub struct EngineCall<'a> {
    /// The engine.
    pub address: SocketAddr,
    /// The interface.
    pub path: EnginePath,
    /// The caller's body: a JSON object.
    pub body: Bytes,
    /// The request's name at the engine, by which it can be cancelled.
    pub request: &'a str,
    /// The tier; engines take it as their priority.
    pub tier: Tier,
    /// The prompt's prefix, if the engine is to keep it.
    pub prefix: Option<PrefixHash>,
    /// Where the answer goes on, or none for a new one.
    pub resume: Option<ResumePoint>,
    /// Further headers.
    pub headers: &'a [(&'a str, &'a str)],
    /// How long each phase may take.
    pub timeouts: AttemptTimeouts,
}

impl EngineCall<'_> {
    /// Returns the body with the resume point in it.
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
