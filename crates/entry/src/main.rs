//! The router's program: an entry VM on the product's own platform, or a gateway on the platform
//! of the users.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use oleander_adapter::PlatformAdapter;
use oleander_entry::{EntryProcess, EntrySettings, start_logging};
use oleander_gateway::{GatewayProcess, StartError};

/// Exit code if the settings are invalid.
const EXIT_SETTINGS: u8 = 2;
/// Exit code if the process could not start for another reason.
const EXIT_START: u8 = 1;

fn main() -> ExitCode {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("check", matches)) => check(matches),
        Some(("run", matches)) => run(matches),
        Some(("gateway", matches)) => gateway(matches),
        _ => unreachable!("clap requires a subcommand"),
    }
}

fn command() -> Command {
    let settings = Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .help("The settings of this entry VM (TOML)")
        .required(true)
        .value_parser(value_parser!(PathBuf));
    Command::new("oleanderplank")
        .about("Routes language-model traffic with service levels and priorities")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("run")
                .about("Serves until SIGTERM, then drains")
                .arg(settings.clone()),
        )
        .subcommand(
            Command::new("check")
                .about("Checks a settings file and reports every mistake")
                .arg(settings),
        )
        .subcommand(
            Command::new("gateway")
                .about("Serves on the users' platform, by the settings file that it provides")
                .arg(
                    Arg::new("metrics-port")
                        .long("metrics-port")
                        .value_name("PORT")
                        .help("Serves metrics and a dump of state on this port")
                        .value_parser(value_parser!(u16)),
                ),
        )
}

fn read_settings(matches: &ArgMatches) -> Result<EntrySettings, ExitCode> {
    let file = matches
        .get_one::<PathBuf>("settings")
        .expect("clap requires the argument");
    EntrySettings::read(file).map_err(|error| {
        eprintln!("{error}");
        ExitCode::from(EXIT_SETTINGS)
    })
}

fn check(matches: &ArgMatches) -> ExitCode {
    match read_settings(matches) {
        Ok(_) => {
            println!("the settings are valid");
            ExitCode::SUCCESS
        }
        Err(code) => code,
    }
}

fn run(matches: &ArgMatches) -> ExitCode {
    let settings = match read_settings(matches) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    start_logging(&settings.log);
    let process = match EntryProcess::spawn(settings) {
        Ok(process) => process,
        Err(error) => {
            eprintln!("cannot start: {error}");
            return ExitCode::from(EXIT_START);
        }
    };
    process.run_until_signal();
    ExitCode::SUCCESS
}

fn gateway(matches: &ArgMatches) -> ExitCode {
    let metrics_port = matches.get_one::<u16>("metrics-port").copied();
    match GatewayProcess::open(Box::new(PlatformAdapter::open(metrics_port))) {
        Ok(process) => {
            process.run_until_signal();
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            let is_settings = matches!(error, StartError::Settings(_));
            ExitCode::from(if is_settings {
                EXIT_SETTINGS
            } else {
                EXIT_START
            })
        }
    }
}
