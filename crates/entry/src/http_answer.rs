//! An HTTP response as plain data, so that it can be sent between entry VMs.

use ntex::http::StatusCode;
use ntex::util::Bytes;
use ntex::web::HttpResponse;
use oleander_base::prelude::*;
use oleander_caller::{CallerError, REQUEST_HEADER, VERDICT_HEADER};
use serde::{Deserialize, Serialize};

/// A whole HTTP response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct HttpAnswer {
    /// The status code.
    pub status: u16,
    /// The headers for the caller.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
}

/// A response as entry VMs send it to each other.
#[derive(Debug, Serialize, Deserialize)]
struct WireAnswer {
    status: u16,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl HttpAnswer {
    /// Creates the response for an error.
    pub(crate) fn from_error(error: &CallerError) -> Self {
        let mut headers = vec![
            ("content-type".to_owned(), "application/json".to_owned()),
            (VERDICT_HEADER.to_owned(), error.verdict.as_str().to_owned()),
        ];
        if let Some(request) = error.request {
            headers.push((REQUEST_HEADER.to_owned(), request.to_string()));
        }
        if let Some(span) = error.retry_after {
            headers.push((
                "retry-after".to_owned(),
                span.0.div_ceil(1_000_000).max(1).to_string(),
            ));
        }
        Self {
            status: error.code.status().as_u16(),
            headers,
            body: Bytes::from(error.to_json()),
        }
    }

    /// Adds headers for the request's id and verdict.
    #[must_use]
    pub(crate) fn with_verdict(self, request: RequestId, verdict: Verdict) -> Self {
        self.with_header(REQUEST_HEADER, &request.to_string())
            .with_header(VERDICT_HEADER, verdict.as_str())
    }

    /// Adds a header.
    #[must_use]
    pub(crate) fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Converts to a response of the HTTP server.
    pub(crate) fn into_response(self) -> HttpResponse {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut response = HttpResponse::build(status);
        for (name, value) in &self.headers {
            response.header(name.as_str(), value.as_str());
        }
        response.body(self.body)
    }

    /// Encodes the response for another entry VM.
    pub(crate) fn encode(&self) -> bytes::Bytes {
        let wire = WireAnswer {
            status: self.status,
            headers: self.headers.clone(),
            body: self.body.to_vec(),
        };
        postcard::to_allocvec(&wire)
            .map(bytes::Bytes::from)
            .unwrap_or_default()
    }

    /// Decodes a response of another entry VM.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        let wire: WireAnswer = postcard::from_bytes(bytes).ok()?;
        Some(Self {
            status: wire.status,
            headers: wire.headers,
            body: Bytes::from(wire.body),
        })
    }
}
