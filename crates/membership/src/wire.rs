//! The datagrams of membership.
//!
//! Each has a version byte and a postcard body. A decoder ignores bytes after the fields it knows,
//! and the driver drops and counts what does not parse. Times travel as ages in milliseconds.

use oleander_base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::claim::{Claim, Phase};

/// The version of the datagrams.
const VERSION: u8 = 1;

/// The most claims in one datagram, so that it stays under the smallest packet size of QUIC.
pub(crate) const MAX_CLAIMS: usize = 12;

/// The most revision notes in one datagram.
pub(crate) const MAX_REVISIONS: usize = 12;

/// The most notes on data centres in one datagram.
pub(crate) const MAX_CENTRES: usize = 3;

/// The same while rosters differ, so that all differences are found soon.
pub(crate) const MAX_CENTRES_DURING_SYNC: usize = 10;

/// What a datagram asks or answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Body {
    /// Asks for an [`Body::Ack`] with the same number.
    Ping { nonce: u32 },
    /// Answers a ping.
    Ack { nonce: u32 },
    /// Asks the receiver to probe a third member.
    IndirectPing { nonce: u32, target: InstanceId },
    /// Tells that the third member answered.
    IndirectAck { nonce: u32 },
    /// Asks for the members of one data centre, or of all.
    RosterRequest { centre: Option<CentreId> },
    /// Carries members in answer to [`Body::RosterRequest`].
    Roster,
    /// Carries claims and notes only.
    Gossip,
}

/// The sender's word on itself.
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
    /// The low bits of the member's incarnation.
    pub(crate) tag: u32,
    pub(crate) revision: Revision,
}

/// What the sender knows of one data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CentreStatus {
    pub(crate) centre: CentreId,
    /// How long ago the data centre's own members made the summary.
    pub(crate) age: u32,
    pub(crate) oldest_revision: Option<Revision>,
    /// The hash of the sender's roster of the data centre.
    pub(crate) hash: u32,
    /// How long ago the sender's data centre heard from it directly.
    pub(crate) contact_age: Option<u32>,
    /// How long ago the sender's data centre found it cut off.
    pub(crate) cut_age: Option<u32>,
}

/// One datagram.
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
        postcard::to_extend(self, out).expect("plain data always has a postcard form")
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

/// Returns an age for a datagram.
pub(crate) fn age_of(then: MonoTime, now: MonoTime) -> u32 {
    u32::try_from(now.since(then).0 / 1_000).unwrap_or(u32::MAX)
}

/// Returns the point on our clock that an age in a datagram means.
pub(crate) fn time_of(age: u32, now: MonoTime) -> MonoTime {
    now - Span::from_millis(age.into())
}
