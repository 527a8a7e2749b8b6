//! Peers of other protocol versions or without valid certificates, most of them hand-written on
//! quinn.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;

use common::{TestFiles, bind, settings, status, wait_until};
use oleander_base::prelude::*;
use oleander_peer::encode_message;
use quinn::crypto::rustls::QuicClientConfig;
use quinn::{ClientConfig, Connection, Endpoint};
use rustls::RootCertStore;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};

const MESSAGE: &str = "still understood";

fn client(files: &TestFiles, with_certificate: bool) -> ClientConfig {
    let certificates = |path| -> Vec<CertificateDer<'static>> {
        CertificateDer::pem_file_iter(path)
            .expect("a file")
            .map(|certificate| certificate.expect("a certificate"))
            .collect()
    };
    let mut roots = RootCertStore::empty();
    roots.add_parsable_certificates(certificates(&files.tls.authority));
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let builder = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .expect("a version")
        .with_root_certificates(roots);
    let mut tls = if with_certificate {
        let key = PrivateKeyDer::from_pem_file(&files.tls.key).expect("a key");
        let chain = certificates(&files.tls.certificate);
        builder.with_client_auth_cert(chain, key).expect("a client")
    } else {
        builder.with_no_client_auth()
    };
    tls.alpn_protocols = vec![b"oleander-peer".to_vec()];
    ClientConfig::new(Arc::new(QuicClientConfig::try_from(tls).expect("a config")))
}

fn frame(kind: u16, body: &[u8]) -> Vec<u8> {
    let mut bytes = (body.len() as u32).to_le_bytes().to_vec();
    bytes.extend_from_slice(&kind.to_le_bytes());
    bytes.extend_from_slice(body);
    bytes
}

/// Returns the hello of a program that supports these versions and appends an unknown field.
fn hello(oldest: u16, newest: u16, address: SocketAddr) -> Vec<u8> {
    let instance = InstanceId {
        address,
        incarnation: 77,
    };
    let centre = CentreId::from_name("a");
    let known = ((oldest, newest), instance, centre);
    let mut body = postcard::to_allocvec(&known).expect("a body");
    body.extend_from_slice(b"a field of a later version");
    frame(0, &body)
}

async fn connect(config: ClientConfig, to: SocketAddr) -> Option<(Endpoint, Connection)> {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let endpoint = Endpoint::client(listen).expect("a socket");
    let connecting = endpoint.connect_with(config, to, "oleander-peer");
    let connection = connecting.expect("a config").await.ok()?;
    Some((endpoint, connection))
}

fn run(test: impl Future<Output = ()>) {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime")
        .block_on(test);
}

#[test]
fn a_newer_program_is_understood_and_its_unknown_kinds_are_counted() {
    let files = TestFiles::generate();
    let node = bind(settings(&files, "a"));
    run(async {
        let (endpoint, connection) = connect(client(&files, true), node.endpoint.local_address())
            .await
            .expect("a connection");
        let mut send = connection.open_uni().await.expect("a stream");
        let address = endpoint.local_addr().expect("an address");
        let mut bytes = hello(1, 9, address);
        bytes.extend(frame(4_000, b"a kind of a later version"));
        bytes.extend(frame(1, b"\xff\xff\xff\xff\xff\xff not a list of tickets"));
        let mut known = bytes::BytesMut::new();
        encode_message(&status(MESSAGE), &mut known);
        bytes.extend_from_slice(&known);
        send.write_all(&bytes).await.expect("sent");

        let (mut request, mut reply) = connection.open_bi().await.expect("a stream");
        let call = frame(4_001, b"a call of a later version");
        request.write_all(&call).await.expect("sent");
        let reply = reply.read_to_end(1_000).await.expect("a reply");
        assert_eq!(reply, frame(0x302, b""));

        wait_until("the known message is there", || {
            !node.handler.messages.lock().is_empty()
        });
        let counters = node.endpoint.counters();
        assert_eq!(counters.unknown, 2, "{counters}");
        assert_eq!(counters.malformed, 1, "{counters}");
        let (from, message) = node.handler.messages.lock()[0].clone();
        assert_eq!(from.incarnation, 77);
        assert_eq!(message, status(MESSAGE));
    });
}

#[test]
fn a_program_without_a_common_version_is_refused() {
    let files = TestFiles::generate();
    let node = bind(settings(&files, "a"));
    run(async {
        let (endpoint, connection) = connect(client(&files, true), node.endpoint.local_address())
            .await
            .expect("a connection");
        let mut send = connection.open_uni().await.expect("a stream");
        let address = endpoint.local_addr().expect("an address");
        send.write_all(&hello(5, 9, address)).await.expect("sent");
        connection.closed().await;
    });
    assert_eq!(node.endpoint.counters().refused, 1);
}

#[test]
fn a_peer_without_a_certificate_is_refused() {
    let files = TestFiles::generate();
    let node = bind(settings(&files, "a"));
    run(async {
        let connected = connect(client(&files, false), node.endpoint.local_address()).await;
        if let Some((_endpoint, connection)) = connected {
            connection.closed().await;
        }
    });
    wait_until("the refusal is counted", || {
        node.endpoint.counters().refused == 1
    });
    assert_eq!(node.endpoint.counters().accepted, 0);
}

#[test]
fn a_certificate_of_another_authority_is_refused_until_the_files_are_read_again() {
    let files = TestFiles::generate();
    let foreign = TestFiles::generate();
    let node = bind(settings(&files, "a"));
    let foreign_node = bind(settings(&foreign, "a"));
    let call = || {
        let call = oleander_peer::PeerCall::FetchRecords(bytes::Bytes::new());
        let limit = std::time::Duration::from_secs(20);
        let called = foreign_node.endpoint.call(node.id(), call, limit);
        tokio::runtime::Runtime::new()
            .expect("a runtime")
            .block_on(called)
    };
    let error = call().expect_err("a refusal");
    assert_eq!(error.verdict(), oleander_base::Verdict::NotRun);
    for (from, to) in [
        (&files.tls.certificate, &foreign.tls.certificate),
        (&files.tls.key, &foreign.tls.key),
        (&files.tls.authority, &foreign.tls.authority),
    ] {
        std::fs::copy(from, to).expect("a copy");
    }
    foreign_node
        .endpoint
        .reload_certificates()
        .expect("good files");
    call().expect("a reply");
}
