//! The `oleanderctl standin` command, which runs a stand-in as a separate process.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::ArgMatches;
use oleander_standin::{EngineSettings, ServiceSettings, run_engine, run_platform, run_service};
use serde::de::DeserializeOwned;

use crate::failure::CommandFailure;

/// Runs a stand-in until the process is terminated.
pub(crate) fn run(matches: &ArgMatches) -> Result<(), CommandFailure> {
    let (name, matches) = matches.subcommand().expect("clap requires a subcommand");
    let listen = *matches
        .get_one::<SocketAddr>("listen")
        .expect("clap requires the argument");
    match name {
        "engine" => run_engine(engine_settings(matches, listen)?)?,
        "service" => run_service(service_settings(matches, listen)?)?,
        "platform" => {
            println!("{listen}");
            run_platform(listen)?;
        }
        _ => unreachable!("clap requires a known subcommand"),
    }
    Ok(())
}

fn engine_settings(
    matches: &ArgMatches,
    listen: SocketAddr,
) -> Result<EngineSettings, CommandFailure> {
    let mut settings: EngineSettings = read_settings(matches)?;
    settings.listen = listen;
    if let Some(name) = matches.get_one::<String>("name") {
        settings.name.clone_from(name);
    }
    if let Some(models) = matches.get_many::<String>("model") {
        settings.models = models.cloned().collect();
    }
    Ok(settings)
}

fn service_settings(
    matches: &ArgMatches,
    listen: SocketAddr,
) -> Result<ServiceSettings, CommandFailure> {
    let mut settings: ServiceSettings = read_settings(matches)?;
    settings.listen = listen;
    if let Some(name) = matches.get_one::<String>("name") {
        settings.name.clone_from(name);
    }
    Ok(settings)
}

/// Reads the settings file, or returns the default settings if none is given.
fn read_settings<T: DeserializeOwned + Default>(matches: &ArgMatches) -> Result<T, CommandFailure> {
    let Some(file) = matches.get_one::<PathBuf>("settings") else {
        return Ok(T::default());
    };
    let invalid = |error: &dyn std::fmt::Display| {
        CommandFailure::Input(format!("{}: {error}", file.display()))
    };
    let text = std::fs::read_to_string(file).map_err(|error| invalid(&error))?;
    toml::from_str(&text).map_err(|error| invalid(&error))
}
