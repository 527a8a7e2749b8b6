//! Settings of an endpoint.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Instant;

use oleander_base::prelude::*;
use oleander_membership::MembershipSettings;
use tokio::runtime::Handle;

use crate::codec::ProtocolRange;

/// The PEM files of mutual TLS.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TlsFiles {
    /// The certificate chain of this node.
    pub certificate: PathBuf,
    /// Its private key.
    pub key: PathBuf,
    /// The authorities whose certificates peers must carry.
    pub authority: PathBuf,
}

/// Settings of a [`crate::PeerEndpoint`].
#[derive(Debug, Clone)]
pub struct PeerSettings {
    /// Where the UDP socket listens.
    pub listen: SocketAddr,
    /// The address that peers dial, if it differs from where the socket listens.
    pub advertise: Option<SocketAddr>,
    /// The random number of this process's life, or none to draw one.
    pub incarnation: Option<u64>,
    /// The data centre.
    pub centre: CentreId,
    /// The size of this VM against the others; 100 is the reference.
    pub weight: u16,
    /// Addresses to dial first.
    pub seeds: Vec<SocketAddr>,
    /// The files of mutual TLS.
    pub tls: TlsFiles,
    /// The runtime to use, or none for an own one with two threads.
    pub runtime: Option<Handle>,
    /// The moment that [`MonoTime`] counts from.
    pub origin: Instant,
    /// The protocol versions to speak.
    pub protocol: ProtocolRange,
    /// Periods and bounds of membership.
    pub membership: MembershipSettings,
    /// The most bytes that wait for one peer; further messages are dropped and counted.
    pub queue_limit: usize,
}

impl PeerSettings {
    /// The bytes that may wait for one peer, if settings do not say otherwise.
    pub const DEFAULT_QUEUE_LIMIT: usize = 4 << 20;

    /// The weight of a VM of the reference size.
    pub const REFERENCE_WEIGHT: u16 = 100;

    /// Returns settings with defaults for everything that has one.
    pub fn new(listen: SocketAddr, centre: CentreId, tls: TlsFiles) -> Self {
        Self {
            listen,
            advertise: None,
            incarnation: None,
            centre,
            weight: Self::REFERENCE_WEIGHT,
            seeds: Vec::new(),
            tls,
            runtime: None,
            origin: Instant::now(),
            protocol: ProtocolRange::SUPPORTED,
            membership: MembershipSettings::default(),
            queue_limit: Self::DEFAULT_QUEUE_LIMIT,
        }
    }
}
