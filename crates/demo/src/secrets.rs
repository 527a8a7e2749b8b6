//! Certificates and keys of a deployment, in a temporary directory.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use oleander_peer::{CertificateAuthority, PeerError};
use tempfile::TempDir;

/// The paths of the certificate and key files in an entry VM's settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryFiles {
    /// The certificate for connections to peers.
    pub certificate: PathBuf,
    /// The certificate's private key.
    pub key: PathBuf,
    /// The certificate of the authority.
    pub authority: PathBuf,
    /// The operators' key.
    pub operator_key: PathBuf,
    /// The key that authenticates bound tokens.
    pub token_key: PathBuf,
}

/// The certificate authority and the keys of a fleet; dropping it deletes their directory.
#[derive(Debug)]
pub struct FleetSecrets {
    directory: TempDir,
    authority: CertificateAuthority,
    operator_key: String,
}

impl FleetSecrets {
    /// Creates a certificate authority, and keys in a new temporary directory.
    pub fn generate() -> io::Result<Self> {
        let directory = tempfile::tempdir()?;
        let authority = CertificateAuthority::generate("oleanderplank demo").map_err(io_error)?;
        let operator_key = random_key();
        fs::write(directory.path().join("operator.key"), &operator_key)?;
        fs::write(directory.path().join("token.key"), random_key())?;
        Ok(Self {
            directory,
            authority,
            operator_key,
        })
    }

    /// Returns the operators' key.
    pub fn operator_key(&self) -> &str {
        &self.operator_key
    }

    /// Returns the directory of the certificates and keys.
    pub fn directory(&self) -> &Path {
        self.directory.path()
    }

    /// Issues the certificate of one entry VM and returns the paths of its files.
    pub fn issue(&self, name: &str) -> io::Result<EntryFiles> {
        let directory = self.directory.path().join(name);
        fs::create_dir_all(&directory)?;
        let files = self.authority.issue(name).map_err(io_error)?;
        let tls = files.write_to(&directory).map_err(io_error)?;
        Ok(EntryFiles {
            certificate: tls.certificate,
            key: tls.key,
            authority: tls.authority,
            operator_key: self.directory.path().join("operator.key"),
            token_key: self.directory.path().join("token.key"),
        })
    }
}

fn random_key() -> String {
    let key: [u8; 32] = rand::random();
    key.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn io_error(error: PeerError) -> io::Error {
    io::Error::other(error)
}
