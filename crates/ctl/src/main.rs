//! The operators' program.

mod args;
mod demo;
mod experiment;
mod failure;
mod progress;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = args::command().get_matches();
    let result = match matches.subcommand() {
        Some(("demo", matches)) => demo::run(matches),
        Some(("experiment", matches)) => experiment::run(matches),
        _ => unreachable!("clap requires a known subcommand"),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("oleanderctl: {failure}");
            failure.exit_code()
        }
    }
}
