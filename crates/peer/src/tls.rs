//! Mutual TLS: both sides of a connection present certificates of a configured authority.
//!
//! Peers are identified by address and incarnation, not by host name, so the certificates of all
//! nodes have the same name, [`SERVER_NAME`].

use std::fs::File;
use std::io::BufReader;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{ClientConfig, IdleTimeout, ServerConfig, TransportConfig, VarInt};
use rustls::RootCertStore;
use rustls::crypto::ring;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;

use crate::error::{PeerError, PeerResult};
use crate::settings::TlsFiles;

/// The subject alternative name in every node's certificate.
pub(crate) const SERVER_NAME: &str = "oleander-peer";

const APPLICATION_PROTOCOL: &[u8] = b"oleander-peer";

/// The idle timeout of a connection, in milliseconds.
const IDLE_TIMEOUT_MS: u32 = 30_000;

/// The initial round-trip estimate of a connection, which determines how soon a lost packet is
/// retransmitted.
const INITIAL_ROUND_TRIP: Duration = Duration::from_millis(100);

/// The maximum number of bidirectional streams that a peer may have open on one connection.
const MAX_BIDI_STREAMS: u32 = 4_096;

/// The size of each datagram buffer of a connection, in bytes.
const DATAGRAM_BUFFER_SIZE: usize = 64 << 10;

/// The client and server configurations built from one set of files.
#[derive(Debug, Clone)]
pub(crate) struct TlsConfigs {
    pub(crate) client: ClientConfig,
    pub(crate) server: ServerConfig,
}

impl TlsConfigs {
    /// Reads the files, checks that they match and builds both configurations.
    pub(crate) fn load(files: &TlsFiles) -> PeerResult<Self> {
        let chain = read_chain(&files.certificate)?;
        let key = read_key(&files.key)?;
        let roots = Arc::new(read_roots(&files.authority)?);
        let transport = Arc::new(transport());
        let client = client_config(&chain, &key, &roots, &transport)?;
        let server = server_config(chain, key, roots, transport)?;
        Ok(Self { client, server })
    }
}

fn client_config(
    chain: &[CertificateDer<'static>],
    key: &PrivateKeyDer<'static>,
    roots: &Arc<RootCertStore>,
    transport: &Arc<TransportConfig>,
) -> PeerResult<ClientConfig> {
    let mut tls = rustls::ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|e| certificate_error(&e))?
        .with_root_certificates(Arc::clone(roots))
        .with_client_auth_cert(chain.to_vec(), key.clone_key())
        .map_err(|e| certificate_error(&e))?;
    tls.alpn_protocols = vec![APPLICATION_PROTOCOL.to_vec()];
    let crypto = QuicClientConfig::try_from(tls).map_err(|e| certificate_error(&e))?;
    let mut config = ClientConfig::new(Arc::new(crypto));
    config.transport_config(Arc::clone(transport));
    Ok(config)
}

fn server_config(
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    roots: Arc<RootCertStore>,
    transport: Arc<TransportConfig>,
) -> PeerResult<ServerConfig> {
    let provider = Arc::new(ring::default_provider());
    let verifier = WebPkiClientVerifier::builder_with_provider(roots, Arc::clone(&provider))
        .build()
        .map_err(|e| certificate_error(&e))?;
    let mut tls = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|e| certificate_error(&e))?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain, key)
        .map_err(|e| certificate_error(&e))?;
    tls.alpn_protocols = vec![APPLICATION_PROTOCOL.to_vec()];
    let crypto = QuicServerConfig::try_from(tls).map_err(|e| certificate_error(&e))?;
    let mut config = ServerConfig::with_crypto(Arc::new(crypto));
    config.transport_config(transport);
    Ok(config)
}

fn transport() -> TransportConfig {
    let mut config = TransportConfig::default();
    config
        .initial_rtt(INITIAL_ROUND_TRIP)
        .max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_TIMEOUT_MS))))
        .max_concurrent_bidi_streams(VarInt::from_u32(MAX_BIDI_STREAMS))
        .max_concurrent_uni_streams(VarInt::from_u32(4))
        .datagram_receive_buffer_size(Some(DATAGRAM_BUFFER_SIZE))
        .datagram_send_buffer_size(DATAGRAM_BUFFER_SIZE)
        .mtu_discovery_config(None);
    config
}

fn read_chain(path: &Path) -> PeerResult<Vec<CertificateDer<'static>>> {
    let mut reader = open(path)?;
    let chain: Result<Vec<_>, _> = rustls_pemfile::certs(&mut reader).collect();
    let chain = chain.map_err(|e| file_error(path, &e))?;
    if chain.is_empty() {
        return Err(file_error(path, &"no certificate inside"));
    }
    Ok(chain)
}

fn read_key(path: &Path) -> PeerResult<PrivateKeyDer<'static>> {
    let mut reader = open(path)?;
    rustls_pemfile::private_key(&mut reader)
        .map_err(|e| file_error(path, &e))?
        .ok_or_else(|| file_error(path, &"no private key inside"))
}

fn read_roots(path: &Path) -> PeerResult<RootCertStore> {
    let mut store = RootCertStore::empty();
    for certificate in read_chain(path)? {
        store.add(certificate).map_err(|e| file_error(path, &e))?;
    }
    Ok(store)
}

fn open(path: &Path) -> PeerResult<BufReader<File>> {
    let file = File::open(path).map_err(|e| file_error(path, &e))?;
    Ok(BufReader::new(file))
}

fn file_error(path: &Path, error: &dyn std::fmt::Display) -> PeerError {
    PeerError::Certificates {
        reason: format!("{}: {error}", path.display()),
    }
}

fn certificate_error(error: &dyn std::fmt::Display) -> PeerError {
    PeerError::Certificates {
        reason: error.to_string(),
    }
}
