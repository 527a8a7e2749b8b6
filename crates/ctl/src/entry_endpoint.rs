//! The operators' interface of an entry VM as an endpoint for records.

use std::net::SocketAddr;

use ntex::http::Method;
use oleander_base::prelude::*;
use oleander_operator::{ChangeDone, ChangeRefusal, FleetScreen, RecordChange, RecordLine};
use serde::de::DeserializeOwned;

use crate::endpoint::RecordEndpoint;
use crate::failure::CommandFailure;
use crate::http_call::{CallAnswer, call};

/// The status codes of a refused change, whose body is a [`ChangeRefusal`].
const REFUSAL_STATUSES: [u16; 4] = [409, 422, 503, 504];

/// The operators' interface of an entry VM.
#[derive(Clone)]
pub(crate) struct EntryEndpoint {
    address: SocketAddr,
    key: String,
}

impl std::fmt::Debug for EntryEndpoint {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EntryPlace")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl EntryEndpoint {
    /// Creates an endpoint from an entry VM's operators' address and the operators' key.
    pub(crate) fn new(address: SocketAddr, key: &str) -> Self {
        Self {
            address,
            key: key.to_owned(),
        }
    }

    /// Returns the operators' address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Reads the state of the fleet that the screens show.
    pub(crate) fn screen(&self) -> Result<FleetScreen, CommandFailure> {
        self.read("/screen")
    }

    /// Returns the body of a path that the entry VM serves.
    pub(crate) fn text(&self, path: &str) -> Result<String, CommandFailure> {
        let answer = call(self.address, &Method::GET, path, &self.key, None);
        let answer = answer.map_err(|failure| CommandFailure::Unreachable(failure.to_string()))?;
        if answer.status == 200 {
            return Ok(answer.body);
        }
        Err(self.status_failure(&answer))
    }

    fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T, CommandFailure> {
        let text = self.text(path)?;
        serde_json::from_str(&text).map_err(|error| {
            CommandFailure::MalformedAnswer(format!("{}{path}: {error}", self.address))
        })
    }

    fn status_failure(&self, answer: &CallAnswer) -> CommandFailure {
        let message = format!("{}: {} {}", self.address, answer.status, answer.body);
        match answer.status {
            401 => CommandFailure::Input(format!("{}: wrong operators' key", self.address)),
            400..500 => CommandFailure::Input(message),
            _ => CommandFailure::Unreachable(message),
        }
    }

    fn send(&self, path: &str, change: &RecordChange) -> Result<CallAnswer, ChangeRefusal> {
        let body = serde_json::to_string(change).map_err(|error| ChangeRefusal::Invalid {
            messages: vec![error.to_string()],
        })?;
        let answer = call(self.address, &Method::POST, path, &self.key, Some(body));
        let answer = answer.map_err(|failure| {
            let reason = failure.to_string();
            match failure.verdict {
                Verdict::NotRun => ChangeRefusal::Unavailable { reason },
                _ => ChangeRefusal::Unknown { reason },
            }
        })?;
        if REFUSAL_STATUSES.contains(&answer.status)
            && let Ok(refusal) = serde_json::from_str(&answer.body)
        {
            return Err(refusal);
        }
        Ok(answer)
    }
}

impl RecordEndpoint for EntryEndpoint {
    fn name(&self) -> String {
        format!("entry VM {}", self.address)
    }

    fn records(&self) -> Result<Vec<RecordLine>, CommandFailure> {
        self.read("/records")
    }

    fn check(&self, change: &RecordChange) -> Result<(), ChangeRefusal> {
        let answer = self.send("/records/check", change)?;
        match answer.status {
            204 => Ok(()),
            _ => Err(refusal_of(&self.status_failure(&answer))),
        }
    }

    fn change(&self, change: &RecordChange) -> Result<ChangeDone, ChangeRefusal> {
        let answer = self.send("/records/change", change)?;
        if answer.status != 200 {
            return Err(refusal_of(&self.status_failure(&answer)));
        }
        serde_json::from_str(&answer.body).map_err(|error| ChangeRefusal::Unknown {
            reason: format!("{}: {error}", self.address),
        })
    }
}

fn refusal_of(failure: &CommandFailure) -> ChangeRefusal {
    match failure {
        CommandFailure::Unreachable(reason) => ChangeRefusal::Unknown {
            reason: reason.clone(),
        },
        failure => ChangeRefusal::Invalid {
            messages: vec![failure.to_string()],
        },
    }
}
