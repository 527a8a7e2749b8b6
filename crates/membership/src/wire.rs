//! The wire format of membership datagrams.
//!
//! A datagram consists of a version byte and a postcard body. The decoder ignores bytes after the
//! fields it knows, and the driver drops and counts datagrams that cannot be decoded. Times are
//! sent as ages in milliseconds.

use oleander_base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::claim::{Claim, Phase};

/// The version of the datagram format.
const VERSION: u8 = 1;

/// The maximum number of claims in one datagram, which keeps it below QUIC's minimum packet size.
pub(crate) const MAX_CLAIMS: usize = 12;

/// The maximum number of revision updates in one datagram.
pub(crate) const MAX_REVISIONS: usize = 12;

/// The maximum number of data centre statuses in one datagram.
pub(crate) const MAX_CENTRES: usize = 3;

/// The maximum number of data centre statuses in one datagram while rosters differ, larger so that
/// all mismatches are found soon.
pub(crate) const MAX_CENTRES_DURING_SYNC: usize = 10;

/// The request or response that a datagram carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Body {
    /// Requests a [`Body::Ack`] with the same nonce.
    Ping { nonce: u32 },
    /// Acknowledges a ping.
    Ack { nonce: u32 },
    /// Requests an indirect probe of the target.
    IndirectPing { nonce: u32, target: InstanceId },
    /// Reports that the target of an indirect probe sent an acknowledgement.
    IndirectAck { nonce: u32 },
    /// Requests the present members of one data centre, or of all.
    RosterRequest { centre: Option<CentreId> },
    /// Carries claims about present members in response to [`Body::RosterRequest`].
    Roster,
    /// Carries only claims, revision updates and data centre statuses.
    Gossip,
}

/// The sender's claim about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SenderState {
    pub(crate) centre: CentreId,
    pub(crate) sequence: u32,
    pub(crate) phase: Phase,
    pub(crate) weight: u16,
    pub(crate) revision: Revision,
}

/// The revision in force on one member of the sender's data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RevisionUpdate {
    /// The low 32 bits of the member's incarnation.
    pub(crate) tag: u32,
    pub(crate) revision: Revision,
}

/// The sender's knowledge of one data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CentreStatus {
    pub(crate) centre: CentreId,
    /// The time since the data centre's own members made the summary, in milliseconds, or
    /// `u32::MAX` if there is no summary.
    pub(crate) age: u32,
    pub(crate) oldest_revision: Option<Revision>,
    /// The hash of the sender's roster of the data centre.
    pub(crate) hash: u32,
    /// The time since a member of the sender's data centre last received a datagram from it, in
    /// milliseconds.
    pub(crate) contact_age: Option<u32>,
    /// The time since the sender's data centre last found it cut off, in milliseconds.
    pub(crate) cut_age: Option<u32>,
}

/// The body of a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Packet {
    pub(crate) sender: SenderState,
    /// The hash of the sender's roster of its own data centre.
    pub(crate) hash: u32,
    pub(crate) body: Body,
    pub(crate) claims: Vec<Claim>,
    pub(crate) revisions: Vec<RevisionUpdate>,
    pub(crate) centres: Vec<CentreStatus>,
}

impl Packet {
    pub(crate) fn encode(&self) -> Vec<u8> {
        let out = vec![VERSION];
        postcard::to_extend(self, out).expect("a packet always serializes")
    }

    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        let (version, body) = bytes.split_first()?;
        if *version != VERSION {
            return None;
        }
        postcard::take_from_bytes(body)
            .ok()
            .map(|(packet, _)| packet)
    }
}

/// Returns the age of a time in milliseconds, for a datagram.
pub(crate) fn age_of(then: MonoTime, now: MonoTime) -> u32 {
    u32::try_from(now.since(then).0 / 1_000).unwrap_or(u32::MAX)
}

/// Converts an age from a datagram to a time on the local clock.
pub(crate) fn time_of(age: u32, now: MonoTime) -> MonoTime {
    now - Span::from_millis(age.into())
}
