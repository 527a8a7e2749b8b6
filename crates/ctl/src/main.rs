//! The command-line program of operators.

mod args;
mod change;
mod demo;
mod endpoint;
mod entry_endpoint;
mod experiment;
mod explain;
mod failure;
mod http_call;
mod observe;
mod output;
mod progress;
mod record;
mod screen_check;
mod standin;
mod store_endpoint;
mod watch;

use std::process::ExitCode;

use clap::ArgMatches;

use crate::failure::CommandFailure;

fn main() -> ExitCode {
    let matches = args::command().get_matches();
    let result = match matches.subcommand() {
        Some(("demo", matches)) => demo::run(matches),
        Some(("experiment", matches)) => experiment::run(matches),
        Some(("record", matches)) => record::run(matches),
        Some(("schema", matches)) => observe::schema(matches),
        Some(("status", matches)) => observe::status(matches),
        Some(("dump", matches)) => observe::dump(matches),
        Some(("screens", matches)) => observe::screens(matches),
        Some(("explain", matches)) => explain::run(matches),
        Some(("standin", matches)) => standin::run(matches),
        Some(("completions", matches)) => print_completions(matches),
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

fn print_completions(matches: &ArgMatches) -> Result<(), CommandFailure> {
    let shell = *matches
        .get_one::<clap_complete::Shell>("shell")
        .expect("clap requires the argument");
    let mut command = args::command();
    clap_complete::generate(shell, &mut command, "oleanderctl", &mut std::io::stdout());
    Ok(())
}
