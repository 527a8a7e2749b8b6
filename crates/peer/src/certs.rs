//! Generation of a certificate authority and node certificates for demonstrations and tests.

use std::fs;
use std::path::Path;

use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};

use crate::error::{PeerError, PeerResult};
use crate::settings::TlsFiles;
use crate::tls::SERVER_NAME;

/// An in-memory certificate authority.
#[derive(Debug)]
pub struct CertificateAuthority {
    issuer: Issuer<'static, KeyPair>,
    certificate: String,
}

/// The contents of the PEM files of one node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeFiles {
    /// The certificate chain.
    pub certificate: String,
    /// The private key.
    pub key: String,
    /// The authority's certificate.
    pub authority: String,
}

impl CertificateAuthority {
    /// Generates an authority with a new key.
    pub fn generate(name: &str) -> PeerResult<Self> {
        let key = KeyPair::generate().map_err(|e| generation_error(&e))?;
        let mut params = CertificateParams::new(Vec::new()).map_err(|e| generation_error(&e))?;
        params.distinguished_name.push(DnType::CommonName, name);
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        let certificate = params
            .self_signed(&key)
            .map_err(|e| generation_error(&e))?
            .pem();
        let issuer = Issuer::new(params, key);
        Ok(Self {
            issuer,
            certificate,
        })
    }

    /// Generates a key and issues a certificate for one node.
    pub fn issue(&self, node: &str) -> PeerResult<NodeFiles> {
        let key = KeyPair::generate().map_err(|e| generation_error(&e))?;
        let names = vec![SERVER_NAME.to_owned()];
        let mut params = CertificateParams::new(names).map_err(|e| generation_error(&e))?;
        params.distinguished_name.push(DnType::CommonName, node);
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ];
        let certificate = params
            .signed_by(&key, &self.issuer)
            .map_err(|e| generation_error(&e))?;
        Ok(NodeFiles {
            certificate: certificate.pem(),
            key: key.serialize_pem(),
            authority: self.certificate.clone(),
        })
    }
}

impl NodeFiles {
    /// Writes the three files into a directory and returns their paths.
    pub fn write_to(&self, directory: &Path) -> PeerResult<TlsFiles> {
        let files = TlsFiles {
            certificate: directory.join("node.pem"),
            key: directory.join("node.key"),
            authority: directory.join("authority.pem"),
        };
        let parts = [
            (&files.certificate, &self.certificate),
            (&files.key, &self.key),
            (&files.authority, &self.authority),
        ];
        for (path, text) in parts {
            fs::write(path, text).map_err(|e| PeerError::Certificates {
                reason: format!("{}: {e}", path.display()),
            })?;
        }
        Ok(files)
    }
}

fn generation_error(error: &rcgen::Error) -> PeerError {
    PeerError::Certificates {
        reason: error.to_string(),
    }
}
