//! Instances: one life of an entry VM's process.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// One life of one entry VM's process.
///
/// An address is used again by new VMs, so an instance is its random incarnation; the address
/// (of the peers' UDP socket) only tells how to reach it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct InstanceId {
    /// Where the peers' socket listens.
    pub address: SocketAddr,
    /// A random number drawn at the start of the process.
    pub incarnation: u64,
}

/// An instance's text form does not parse.
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
