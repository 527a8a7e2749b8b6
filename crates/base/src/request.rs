//! Request ids, which name the instance that holds the answer.

use std::fmt;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::instance::InstanceId;

/// The id of one request.
///
/// It names the instance that holds the request and its answer, so that any entry VM can route a
/// caller that reconnects there without a look-up in the platform's key-value store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestId {
    /// The instance that accepted the request.
    pub origin: InstanceId,
    /// The serial number of the request at that instance.
    pub serial: u64,
}

/// The error returned when the text form of a request id does not parse.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("`{text}` is not a request id (expected `req-` and hexadecimal fields)")]
pub struct ParseRequestError {
    text: String,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.origin.address.ip() {
            IpAddr::V4(ip) => write!(f, "req-{:08x}", u32::from(ip))?,
            IpAddr::V6(ip) => write!(f, "req-{:032x}", u128::from(ip))?,
        }
        write!(
            f,
            "-{:04x}-{:016x}-{:x}",
            self.origin.address.port(),
            self.origin.incarnation,
            self.serial
        )
    }
}

impl FromStr for RequestId {
    type Err = ParseRequestError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse(text).ok_or_else(|| ParseRequestError {
            text: text.chars().take(80).collect(),
        })
    }
}

fn parse(text: &str) -> Option<RequestId> {
    let mut fields = text.strip_prefix("req-")?.split('-');
    let ip = parse_ip(fields.next()?)?;
    let port = u16::from_str_radix(fields.next()?, 16).ok()?;
    let incarnation = u64::from_str_radix(fields.next()?, 16).ok()?;
    let serial = u64::from_str_radix(fields.next()?, 16).ok()?;
    if fields.next().is_some() {
        return None;
    }
    let address = SocketAddr::new(ip, port);
    Some(RequestId {
        origin: InstanceId {
            address,
            incarnation,
        },
        serial,
    })
}

fn parse_ip(field: &str) -> Option<IpAddr> {
    match field.len() {
        8 => u32::from_str_radix(field, 16)
            .ok()
            .map(|bits| Ipv4Addr::from(bits).into()),
        32 => u128::from_str_radix(field, 16)
            .ok()
            .map(|bits| Ipv6Addr::from(bits).into()),
        _ => None,
    }
}
