//! The command line.

use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, value_parser};

/// Returns the whole command line.
pub(crate) fn command() -> Command {
    Command::new("oleanderctl")
        .about("Drives and tries out oleanderplank")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(demo_command())
        .subcommand(experiment_command())
}

fn demo_command() -> Command {
    Command::new("demo")
        .about("Runs a small deployment on loopback and prints what it measured")
        .arg(scenario_arg().help("A scenario in place of the embedded one (TOML)"))
        .arg(
            Arg::new("keep")
                .long("keep")
                .action(ArgAction::SetTrue)
                .help("Stay up with light traffic and print the address of the screens"),
        )
}

fn experiment_command() -> Command {
    Command::new("experiment")
        .about("Runs a scenario with the policy and the baselines and compares them")
        .arg(scenario_arg().help("The scenario (TOML)").required(true))
        .arg(
            Arg::new("policy")
                .long("policy")
                .action(ArgAction::Append)
                .value_parser(["tiered", "round-robin", "least"])
                .help("Only these policies; all of them without this option"),
        )
        .arg(
            Arg::new("markdown")
                .long("markdown")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Append the tables to this file"),
        )
}

fn scenario_arg() -> Arg {
    Arg::new("scenario")
        .long("scenario")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
}
