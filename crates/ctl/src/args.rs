//! Definition of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, value_parser};

use crate::failure::EXIT_CODES;

/// The record kinds that the command line accepts.
const KINDS: [&str; 5] = ["customer", "class", "priority", "backend", "stop"];

/// Returns the definition of the whole command line.
pub(crate) fn command() -> Command {
    Command::new("oleanderctl")
        .about("Drives, watches and tries out oleanderplank")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(shared_args())
        .subcommand(record_command())
        .subcommand(
            Command::new("schema")
                .about("Prints the schemas of records: fields, units, defaults and ranges")
                .arg(kind_arg()),
        )
        .subcommand(Command::new("status").about("Prints the state of the fleet"))
        .subcommand(dump_command())
        .subcommand(screens_command())
        .subcommand(demo_command())
        .subcommand(experiment_command())
        .subcommand(standin_command())
        .subcommand(explain_command())
        .subcommand(
            Command::new("completions")
                .about("Prints the completions of a shell")
                .arg(
                    Arg::new("shell")
                        .required(true)
                        .value_parser(value_parser!(clap_complete::Shell)),
                ),
        )
}

fn explain_command() -> Command {
    Command::new("explain")
        .about("Tells the life of a request and the cause of its end, from gateways' logs")
        .arg(
            Arg::new("id")
                .value_name("ID")
                .required(true)
                .help("The id of the caller's attempt"),
        )
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .num_args(0..)
                .value_parser(value_parser!(PathBuf))
                .help("Logs of one or several gateways; without any, standard input"),
        )
}

fn shared_args() -> [Arg; 4] {
    [
        Arg::new("entry")
            .long("entry")
            .value_name("ADDRESS")
            .global(true)
            .action(ArgAction::Append)
            .value_parser(value_parser!(SocketAddr))
            .help("Operators' address of an entry VM; given again, the next one to try"),
        Arg::new("operator-key-file")
            .long("operator-key-file")
            .value_name("FILE")
            .global(true)
            .value_parser(value_parser!(PathBuf))
            .help("A file with the operators' key"),
        Arg::new("platform")
            .long("platform")
            .value_name("ADDRESS")
            .global(true)
            .value_parser(value_parser!(SocketAddr))
            .help("The platform's service, for records when no entry VM can be reached"),
        Arg::new("output")
            .long("output")
            .value_name("FORM")
            .global(true)
            .value_parser(["table", "json"])
            .default_value("table")
            .help("How to print what was found"),
    ]
}

fn record_command() -> Command {
    Command::new("record")
        .about("Reads and changes records")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("put")
                .about("Writes a document (JSON or TOML) if nobody else changed the record")
                .args(document_args())
                .arg(expected_arg().help(
                    "The revision that the record must have, 0 if it must not exist; \
                     without it the one that is read first",
                )),
        )
        .subcommand(
            Command::new("get")
                .about("Prints a record")
                .args(name_args()),
        )
        .subcommand(
            Command::new("list")
                .about("Lists the records in force")
                .arg(kind_arg()),
        )
        .subcommand(
            Command::new("delete")
                .about("Deletes a record if nothing in force needs it")
                .args(name_args())
                .arg(expected_arg().help("The revision that the record must have")),
        )
        .subcommand(
            Command::new("edit")
                .about("Replaces some fields of a record and keeps all others")
                .args(name_args())
                .arg(
                    Arg::new("field")
                        .value_name("FIELD=VALUE")
                        .required(true)
                        .num_args(1..)
                        .help("The value as JSON or plain text; an empty one removes the field"),
                ),
        )
        .subcommand(
            Command::new("check")
                .about("Checks a document, and with --entry or --platform against the others")
                .args(document_args()),
        )
        .subcommand(watch_command())
}

fn watch_command() -> Command {
    Command::new("watch")
        .about("Waits until a record is in force at every entry VM that can be seen")
        .args(name_args())
        .arg(
            Arg::new("revision")
                .long("revision")
                .value_name("REVISION")
                .value_parser(value_parser!(u64))
                .help("The revision to wait for; without it the record's own"),
        )
        .arg(
            Arg::new("timeout")
                .long("timeout")
                .value_name("SECONDS")
                .value_parser(value_parser!(f64))
                .default_value("30")
                .help("How long to wait"),
        )
}

fn document_args() -> [Arg; 2] {
    [
        Arg::new("file")
            .value_name("FILE")
            .required(true)
            .help("The document; `-` reads standard input"),
        Arg::new("kind").long("kind").value_parser(KINDS).help(
            "The kind; without it the first word of the file's name (class.fast.toml) or \
             the name of its directory",
        ),
    ]
}

fn name_args() -> [Arg; 2] {
    [
        kind_arg().required(true),
        Arg::new("name").value_name("NAME").required(true),
    ]
}

fn kind_arg() -> Arg {
    Arg::new("kind").value_name("KIND").value_parser(KINDS)
}

fn expected_arg() -> Arg {
    Arg::new("expected")
        .long("expected")
        .value_name("REVISION")
        .value_parser(value_parser!(u64))
}

fn dump_command() -> Command {
    Command::new("dump")
        .about("Prints the whole state of one entry VM")
        .arg(
            Arg::new("format")
                .long("format")
                .value_parser(["text", "json"])
                .default_value("text")
                .help("The form of the dump"),
        )
}

fn screens_command() -> Command {
    Command::new("screens")
        .about("Prints the addresses of the screens and whether they answer")
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Write a record, see whether every screen shows it within 5 s, delete it"),
        )
}

fn standin_command() -> Command {
    let listen = Arg::new("listen")
        .long("listen")
        .value_name("ADDRESS")
        .required(true)
        .value_parser(value_parser!(SocketAddr))
        .help("Where to listen");
    let settings = Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("Settings of the stand-in (TOML)");
    let name = Arg::new("name").long("name").help("Its name");
    Command::new("standin")
        .about("Runs a stand-in of what surrounds the system, for trials")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("engine")
                .about("A model engine")
                .args([listen.clone(), settings.clone(), name.clone()])
                .arg(
                    Arg::new("model")
                        .long("model")
                        .action(ArgAction::Append)
                        .help("Public name of a model in memory; may be given again"),
                ),
        )
        .subcommand(Command::new("service").about("A plain service").args([
            listen.clone(),
            settings,
            name,
        ]))
        .subcommand(
            Command::new("platform")
                .about("The platform's key-value service and VM list")
                .arg(listen),
        )
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
