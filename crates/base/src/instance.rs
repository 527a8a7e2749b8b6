//! Instances: single runs of an entry VM's process.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The id of one run of an entry VM's process.
///
/// New VMs reuse addresses, so the random incarnation identifies the instance; the address, that of
/// its UDP socket for peers, says only where to reach it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct InstanceId {
    /// The address of the UDP socket for peers.
    pub address: SocketAddr,
    /// A random number drawn at the start of the process.
    pub incarnation: u64,
}

/// The error returned when the text form of an instance does not parse.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("instance `{text}` is not of the form ADDRESS:PORT#HEX")]
pub struct ParseInstanceError {
    text: String,
}

impl fmt::Display for InstanceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:016x}", self.address, self.incarnation)
    }
}

impl FromStr for InstanceId {
    type Err = ParseInstanceError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parse = || {
            let (address, incarnation) = text.split_once('#')?;
            let address = address.parse().ok()?;
            let incarnation = u64::from_str_radix(incarnation, 16).ok()?;
            Some(Self {
                address,
                incarnation,
            })
        };
        parse().ok_or_else(|| ParseInstanceError {
            text: text.to_owned(),
        })
    }
}
