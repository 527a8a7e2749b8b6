//! The entry VM's program.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use oleander_entry::{EntryProcess, EntrySettings, start_logging};

/// Exit code of a start that failed for its settings.
const EXIT_SETTINGS: u8 = 2;
/// Exit code of a start that failed for its surroundings.
const EXIT_START: u8 = 1;

fn main() -> ExitCode {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("check", matches)) => check(matches),
        Some(("run", matches)) => run(matches),
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
