//! The settings of an endpoint.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Instant;

use oleander_base::prelude::*;
use oleander_membership::MembershipSettings;
use tokio::runtime::Handle;

use crate::codec::ProtocolRange;

/// The PEM files for mutual TLS.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TlsFiles {
    /// The certificate chain of this node.
    pub certificate: PathBuf,
    /// The private key of this node.
    pub key: PathBuf,
    /// The certificate authorities that must have issued the certificates of peers.
    pub authority: PathBuf,
}

/// The settings of a [`crate::PeerEndpoint`].
#[derive(Debug, Clone)]
pub struct PeerSettings {
    /// The address on which the UDP socket listens.
    pub listen: SocketAddr,
    /// The address that peers dial, if it differs from the listen address.
    pub advertise: Option<SocketAddr>,
    /// The incarnation of this process; a random one is drawn if it is absent.
    pub incarnation: Option<u64>,
    /// The local data centre.
    pub centre: CentreId,
    /// The relative capacity of this VM; 100 is the reference.
    pub weight: u16,
    /// The addresses that are dialled to join the fleet.
    pub seeds: Vec<SocketAddr>,
    /// The files for mutual TLS.
    pub tls: TlsFiles,
    /// The runtime to use; the endpoint starts its own one with two threads if it is absent.
    pub runtime: Option<Handle>,
    /// The origin of [`MonoTime`].
    pub origin: Instant,
    /// The supported protocol versions.
    pub protocol: ProtocolRange,
    /// The timeouts, intervals and limits of the membership protocol.
    pub membership: MembershipSettings,
    /// The size of a link's queue, in bytes, at which further messages are dropped and counted.
    pub queue_limit: usize,
}

impl PeerSettings {
    /// The default queue limit of a link, in bytes.
    pub const DEFAULT_QUEUE_LIMIT: usize = 4 << 20;

    /// The weight of a VM of the reference size.
    pub const REFERENCE_WEIGHT: u16 = 100;

    /// Creates settings with defaults for all other fields.
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
