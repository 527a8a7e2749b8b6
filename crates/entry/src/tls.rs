//! TLS for callers, if the settings name a certificate.

use std::fs::File;
use std::io::{self, BufReader};
use std::path::Path;
use std::sync::Arc;

use rustls::ServerConfig;
use rustls::crypto::ring::default_provider;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};

use crate::settings::CallerSettings;

/// Reads the callers' certificate and key; returns `None` for plain HTTP.
pub(crate) fn caller_tls(settings: &CallerSettings) -> io::Result<Option<ServerConfig>> {
    let (Some(certificate), Some(key)) = (&settings.tls_certificate, &settings.tls_key) else {
        return Ok(None);
    };
    let config = ServerConfig::builder_with_provider(Arc::new(default_provider()))
        .with_safe_default_protocol_versions()
        .map_err(io::Error::other)?
        .with_no_client_auth()
        .with_single_cert(read_chain(certificate)?, read_key(key)?)
        .map_err(io::Error::other)?;
    Ok(Some(config))
}

fn read_chain(file: &Path) -> io::Result<Vec<CertificateDer<'static>>> {
    let mut reader = BufReader::new(File::open(file)?);
    rustls_pemfile::certs(&mut reader).collect()
}

fn read_key(file: &Path) -> io::Result<PrivateKeyDer<'static>> {
    let mut reader = BufReader::new(File::open(file)?);
    let missing = || io::Error::other(format!("{} holds no private key", file.display()));
    rustls_pemfile::private_key(&mut reader)?.ok_or_else(missing)
}
