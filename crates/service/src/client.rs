//! The service client of one ntex thread.

use std::io;
use std::net::SocketAddr;

use ntex::http::{HeaderMap, Method, StatusCode};
use ntex::util::Bytes;
use oleander_attempt::{
    AttemptClient, AttemptRequest, AttemptResponse, AttemptSettings, AttemptTimeouts,
};
use oleander_base::prelude::*;

use crate::error::{Result, ServiceError, ServiceFailure};
use crate::headers::{is_forwarded_answer, is_forwarded_request};

/// The header with which a service states that a call did not run.
const NOT_RUN_HEADER: &str = "x-not-run";

/// The settings of a service client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceSettings {
    /// How connections are opened and kept alive.
    pub attempt: AttemptSettings,
    /// The largest request body, in bytes.
    pub body_limit: usize,
    /// The largest response body, in bytes.
    pub answer_limit: usize,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            attempt: AttemptSettings::default(),
            body_limit: 1 << 20,
            answer_limit: 4 << 20,
        }
    }
}

/// One call to a plain service.
#[derive(Debug, Clone)]
pub struct ServiceCall<'a> {
    /// The service's address.
    pub address: SocketAddr,
    /// The HTTP method.
    pub method: Method,
    /// The path and query below the service's prefix, with a leading slash.
    pub path: &'a str,
    /// The caller's headers; connection headers and credentials are not forwarded.
    pub headers: &'a HeaderMap,
    /// The complete request body.
    pub body: Bytes,
    /// Whether repeating the call has no further effect.
    pub idempotent: bool,
    /// The time limit of each phase of the call.
    pub timeouts: AttemptTimeouts,
}

/// The complete response of a plain service to a call that ran.
#[derive(Debug, Clone)]
pub struct ServiceAnswer {
    /// The HTTP status that the service returned.
    pub status: StatusCode,
    /// The response headers that are forwarded to the caller.
    pub headers: Vec<(String, String)>,
    /// The response body.
    pub body: Bytes,
}

/// Calls plain services from one ntex thread; each worker thread opens its own client.
#[derive(Debug, Clone)]
pub struct ServiceClient {
    client: AttemptClient,
    settings: ServiceSettings,
}

impl ServiceClient {
    /// Opens a client on the current ntex thread.
    pub async fn open(settings: ServiceSettings) -> io::Result<Self> {
        Ok(Self {
            client: AttemptClient::open(settings.attempt).await?,
            settings,
        })
    }

    /// Forwards a call once, without retries, and returns the complete response.
    pub async fn forward(&self, call: ServiceCall<'_>) -> Result<ServiceAnswer> {
        let limit = self.settings.body_limit;
        if call.body.len() > limit {
            return Err(ServiceError::not_run(ServiceFailure::BodyTooLarge {
                limit,
            }));
        }
        let headers = forwarded_request_headers(call.headers);
        let request = AttemptRequest {
            method: call.method,
            address: call.address,
            path: call.path,
            headers: &headers,
            body: call.body,
            fresh: !call.idempotent,
            timeouts: call.timeouts,
        };
        let response = self.client.send(request).await?;
        if let Some(refusal) = refusal_error(&response) {
            return Err(refusal);
        }
        let status = response.status;
        let headers = forwarded_answer_headers(&response.headers);
        let body = response.body.read(self.settings.answer_limit).await?;
        Ok(ServiceAnswer {
            status,
            headers,
            body,
        })
    }
}

fn forwarded_request_headers(headers: &HeaderMap) -> Vec<(&str, &str)> {
    let mut forwarded = Vec::with_capacity(headers.len());
    for (name, value) in headers {
        if !is_forwarded_request(name.as_str()) {
            continue;
        }
        if let Ok(value) = value.to_str() {
            forwarded.push((name.as_str(), value));
        }
    }
    forwarded
}

fn forwarded_answer_headers(headers: &HeaderMap) -> Vec<(String, String)> {
    let mut forwarded = Vec::with_capacity(headers.len());
    for (name, value) in headers {
        if !is_forwarded_answer(name.as_str()) {
            continue;
        }
        if let Ok(value) = value.to_str() {
            forwarded.push((name.as_str().to_owned(), value.to_owned()));
        }
    }
    forwarded
}

fn refusal_error(response: &AttemptResponse) -> Option<ServiceError> {
    if response.header(NOT_RUN_HEADER) != Some("true") {
        return None;
    }
    let retry_after = response
        .header("retry-after")
        .and_then(|text| text.parse().ok())
        .map(Span::from_secs);
    Some(ServiceError::not_run(ServiceFailure::Refused {
        status: response.status.as_u16(),
        retry_after,
    }))
}
