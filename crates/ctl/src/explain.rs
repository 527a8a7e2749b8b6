//! The `oleanderctl explain ID [FILE...]` command, which explains the course of one request from
//! the logs of gateways.

use std::path::PathBuf;

use clap::ArgMatches;
use oleander_operator::GatewayLogs;

use crate::failure::CommandFailure;

/// Reads the logs and prints the explanation of the request.
pub(crate) fn run(matches: &ArgMatches) -> Result<(), CommandFailure> {
    let id = matches
        .get_one::<String>("id")
        .expect("clap requires the argument");
    let files: Vec<&PathBuf> = matches
        .get_many::<PathBuf>("file")
        .map(Iterator::collect)
        .unwrap_or_default();
    let mut logs = GatewayLogs::default();
    if files.is_empty() {
        logs.read(std::io::stdin().lock())?;
    }
    for file in files {
        let read_failure =
            |error| CommandFailure::Input(format!("cannot read {}: {error}", file.display()));
        let opened = std::fs::File::open(file).map_err(read_failure)?;
        logs.read(opened).map_err(read_failure)?;
    }
    print!("{}", logs.explain(id)?);
    Ok(())
}
