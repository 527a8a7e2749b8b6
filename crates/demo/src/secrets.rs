//! Certificates and keys of a deployment, in a directory that goes with it.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use oleander_peer::{CertificateAuthority, PeerError};
use tempfile::TempDir;

/// The files that an entry VM's settings name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryFiles {
    /// The peers' certificate.
    pub certificate: PathBuf,
    /// Its key.
    pub key: PathBuf,
    /// The authority.
    pub authority: PathBuf,
    /// The operators' key.
    pub operator_key: PathBuf,
    /// The key of bound tokens.
    pub token_key: PathBuf,
}

/// The secrets of a fleet.
#[derive(Debug)]
pub struct FleetSecrets {
    directory: TempDir,
    authority: CertificateAuthority,
    operator_key: String,
}

impl FleetSecrets {
    /// Makes an authority and keys in a new directory.
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

    /// Returns the directory.
    pub fn directory(&self) -> &Path {
        self.directory.path()
    }

    /// Makes the files of one entry VM.
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
