//! Errors that are returned to callers.

use std::fmt;

use ntex::http::StatusCode;
use ntex::web::HttpResponse;
use oleander_base::ShedReason;
use oleander_base::prelude::*;
use serde::Serialize;
use thiserror::Error;

use crate::header::{REQUEST_HEADER, VERDICT_HEADER};

/// The kind of an error, as a stable identifier that a caller's program can match.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ErrorCode {
    /// The API key is missing or unknown.
    Unauthorized,
    /// The request is malformed; the message names the faulty part.
    BadRequest,
    /// The body is over the size limit.
    TooLarge,
    /// The path, model, service or request does not exist.
    NotFound,
    /// The customer exceeded its own rate or concurrency limit.
    OverLimit,
    /// The pool is saturated and the request was shed.
    Shed,
    /// The idempotency key was used before with a different body.
    KeyMismatch,
    /// The request is running elsewhere or has run; repeating it is not safe.
    Repeat,
    /// The platform's key-value store is needed and does not answer.
    #[serde(rename = "store-away")]
    StoreUnavailable,
    /// The entry VM is not ready to serve or is leaving.
    NotReady,
    /// The backend server failed.
    BackendFailed,
    /// The backend server or the answer took too long.
    Timeout,
}

impl ErrorCode {
    /// Returns the HTTP status.
    pub fn status(self) -> StatusCode {
        match self {
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NotFound => StatusCode::NOT_FOUND,
            Self::OverLimit => StatusCode::TOO_MANY_REQUESTS,
            Self::KeyMismatch => StatusCode::UNPROCESSABLE_ENTITY,
            Self::Repeat => StatusCode::CONFLICT,
            Self::Shed | Self::StoreUnavailable | Self::NotReady => StatusCode::SERVICE_UNAVAILABLE,
            Self::BackendFailed => StatusCode::BAD_GATEWAY,
            Self::Timeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

impl fmt::Display for ErrorCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.serialize(f)
    }
}

/// A refusal or failure with all details that are returned to the caller.
#[derive(Debug, Clone, PartialEq, Error)]
#[error("{code}: {message} ({verdict})")]
pub struct CallerError {
    /// The kind of the error.
    pub code: ErrorCode,
    /// A description for people.
    pub message: String,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// The request's id, if it has one already.
    pub request: Option<RequestId>,
    /// The time after which the caller may retry.
    pub retry_after: Option<Span>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    code: ErrorCode,
    message: &'a str,
    verdict: Verdict,
    #[serde(skip_serializing_if = "Option::is_none")]
    request: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl CallerError {
    /// Creates the error of a request that did not run.
    pub fn not_run(code: ErrorCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            verdict: Verdict::NotRun,
            request: None,
            retry_after: None,
        }
    }

    /// Creates the error of a ticket that a dispatcher shed.
    pub fn shed(reason: ShedReason, retry_after: Span) -> Self {
        let message = match reason {
            ShedReason::QueueFull => "the queue is full",
            ShedReason::Expired => "the request waited as long as its class allows",
            ShedReason::Hopeless => "the request cannot meet its target any more",
            ShedReason::NoBackend => "no backend server can take the request now",
            ShedReason::Quarantined => "the request has crashed backend servers",
        };
        Self::not_run(ErrorCode::Shed, message).after(retry_after)
    }

    /// Sets the verdict.
    #[must_use]
    pub fn with_verdict(mut self, verdict: Verdict) -> Self {
        self.verdict = verdict;
        self
    }

    /// Sets the request's id.
    #[must_use]
    pub fn of(mut self, request: RequestId) -> Self {
        self.request = Some(request);
        self
    }

    /// Sets the time after which the caller may retry.
    #[must_use]
    pub fn after(mut self, retry_after: Span) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Returns the error as JSON: the response body, and the payload of an `error` event in a
    /// stream.
    pub fn to_json(&self) -> String {
        let detail = ErrorDetail {
            code: self.code,
            message: &self.message,
            verdict: self.verdict,
            request: self.request.map(|request| request.to_string()),
            retry_after_ms: self.retry_after.map(|span| span.0 / 1_000),
        };
        serde_json::to_string(&ErrorBody { error: detail }).expect("an error body is serializable")
    }

    /// Returns the HTTP response.
    pub fn to_response(&self) -> HttpResponse {
        let mut response = HttpResponse::build(self.code.status());
        response.content_type("application/json");
        response.header(VERDICT_HEADER, self.verdict.as_str());
        if let Some(request) = self.request {
            response.header(REQUEST_HEADER, request.to_string());
        }
        if let Some(span) = self.retry_after {
            response.header("retry-after", span.0.div_ceil(1_000_000).max(1).to_string());
        }
        response.body(self.to_json())
    }
}
