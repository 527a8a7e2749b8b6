//! The endpoints at which commands read and write records: entry VMs and the platform's
//! key-value store.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::path::PathBuf;

use clap::ArgMatches;
use oleander_operator::{ChangeDone, ChangeRefusal, RecordChange, RecordLine};

use crate::entry_endpoint::EntryEndpoint;
use crate::failure::CommandFailure;
use crate::store_endpoint::StoreEndpoint;

/// An endpoint at which records are read and changed.
pub(crate) trait RecordEndpoint: Debug {
    /// Returns a description of the endpoint for messages.
    fn name(&self) -> String;

    /// Returns all records at the endpoint.
    fn records(&self) -> Result<Vec<RecordLine>, CommandFailure>;

    /// Checks a change without applying it.
    fn check(&self, change: &RecordChange) -> Result<(), ChangeRefusal>;

    /// Applies a change. [`ChangeRefusal::Unavailable`] means that it did not take effect.
    fn change(&self, change: &RecordChange) -> Result<ChangeDone, ChangeRefusal>;
}

/// The addresses and the key file given on the command line.
#[derive(Debug, Clone)]
pub(crate) struct EndpointOptions {
    /// The operators' addresses of entry VMs, in the order in which they are tried.
    pub(crate) entries: Vec<SocketAddr>,
    /// The address of the platform's key-value store, if given.
    pub(crate) platform: Option<SocketAddr>,
    key_file: Option<PathBuf>,
}

impl EndpointOptions {
    /// Extracts the options that all commands share.
    pub(crate) fn read(matches: &ArgMatches) -> Self {
        let entries = matches.get_many::<SocketAddr>("entry");
        Self {
            entries: entries.map_or_else(Vec::new, |entries| entries.copied().collect()),
            platform: matches.get_one::<SocketAddr>("platform").copied(),
            key_file: matches.get_one::<PathBuf>("operator-key-file").cloned(),
        }
    }

    /// Reads the operators' key from its file.
    pub(crate) fn key(&self) -> Result<String, CommandFailure> {
        let Some(file) = &self.key_file else {
            let message = "give the operators' key with --operator-key-file FILE";
            return Err(CommandFailure::Input(message.to_owned()));
        };
        let text = std::fs::read_to_string(file).map_err(|error| {
            CommandFailure::Input(format!("key file {}: {error}", file.display()))
        })?;
        Ok(text.trim().to_owned())
    }

    /// Returns the endpoints of the given entry VMs.
    pub(crate) fn entry_endpoints(&self) -> Result<Vec<EntryEndpoint>, CommandFailure> {
        if self.entries.is_empty() {
            let message = "give the operators' address of an entry VM with --entry ADDRESS";
            return Err(CommandFailure::Input(message.to_owned()));
        }
        let key = self.key()?;
        let endpoints = self.entries.iter();
        Ok(endpoints
            .map(|address| EntryEndpoint::new(*address, &key))
            .collect())
    }

    /// Returns the endpoints for records in the order in which they are tried: entry VMs, then the
    /// platform's key-value store.
    pub(crate) fn record_endpoints(&self) -> Result<Vec<Box<dyn RecordEndpoint>>, CommandFailure> {
        let mut endpoints: Vec<Box<dyn RecordEndpoint>> = Vec::new();
        if !self.entries.is_empty() {
            for endpoint in self.entry_endpoints()? {
                endpoints.push(Box::new(endpoint));
            }
        }
        if let Some(address) = self.platform {
            endpoints.push(Box::new(StoreEndpoint::open(address)?));
        }
        if endpoints.is_empty() {
            let message = "give --entry ADDRESS of an entry VM or --platform ADDRESS";
            return Err(CommandFailure::Input(message.to_owned()));
        }
        Ok(endpoints)
    }
}

/// Returns the index and the result of the first endpoint that can be reached, and prints each
/// one that cannot be reached to standard error.
pub(crate) fn first_reachable<P, T>(
    endpoints: &[P],
    operation: impl Fn(&P) -> Result<T, CommandFailure>,
) -> Result<(usize, T), CommandFailure> {
    let mut failures = Vec::new();
    for (index, endpoint) in endpoints.iter().enumerate() {
        match operation(endpoint) {
            Ok(found) => return Ok((index, found)),
            Err(CommandFailure::Unreachable(reason)) => {
                eprintln!("oleanderctl: not reachable: {reason}");
                failures.push(reason);
            }
            Err(failure) => return Err(failure),
        }
    }
    let message = format!("nothing can be reached: {}", failures.join("; "));
    Err(CommandFailure::Unreachable(message))
}
