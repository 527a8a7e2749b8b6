//! Commands that show state without changing it: `status`, `dump`, `screens` and `schema`.
//!
//! The exception is `screens --check`, which writes and deletes a record.

use std::time::{Duration, Instant};

use clap::ArgMatches;
use oleander_operator::{FleetScreen, TrafficCount};
use oleander_records::{RecordKind, schemas};

use crate::endpoint::{EndpointOptions, first_reachable};
use crate::failure::CommandFailure;
use crate::output::{Output, TextTable};

/// The time limit for an entry VM to receive the status of the others, which it collects only
/// while an operator watches.
const STATUS_TIMEOUT: Duration = Duration::from_secs(4);
/// The interval between two reads of the fleet's state.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Prints the state of the fleet as soon as the status of all live entry VMs has arrived or the
/// time limit has passed.
pub(crate) fn status(matches: &ArgMatches) -> Result<(), CommandFailure> {
    let endpoints = EndpointOptions::read(matches).entry_endpoints()?;
    let (index, mut screen) = first_reachable(&endpoints, |endpoint| endpoint.screen())?;
    let begin = Instant::now();
    while has_missing_status(&screen) && begin.elapsed() < STATUS_TIMEOUT {
        std::thread::sleep(POLL_INTERVAL);
        screen = endpoints[index].screen()?;
    }
    match Output::read(matches) {
        Output::Json => {
            let text = serde_json::to_string(&screen);
            println!(
                "{}",
                text.map_err(|error| CommandFailure::MalformedAnswer(error.to_string()))?
            );
        }
        Output::Table => print_status(&screen),
    }
    Ok(())
}

/// Returns whether the status of a live entry VM has not arrived yet.
fn has_missing_status(screen: &FleetScreen) -> bool {
    let mut entries = screen.entries.iter();
    entries.any(|line| line.stage == "live" && line.age_ms.is_none())
}

fn print_status(screen: &FleetScreen) {
    println!(
        "seen by {} at revision {}, policy {}\n",
        screen.shown_by, screen.revision, screen.policy
    );
    println!("{}", centre_table(screen));
    println!("{}", entry_table(screen));
    println!("{}", backend_table(screen));
    println!("{}", class_table(screen));
    println!("{}", customer_table(screen));
    for stop in &screen.stops {
        println!(
            "planned stop {}: {}, {} requests left: {}",
            stop.name, stop.target, stop.streams_left, stop.reason
        );
    }
    for fault in &screen.faults {
        println!("not in force: {}: {}", fault.key, fault.message);
    }
}

fn centre_table(screen: &FleetScreen) -> TextTable {
    let mut table = TextTable::new(&["data centre", "entry VMs", "seen"]);
    for line in &screen.centres {
        let seen = if line.seen {
            "yes".to_owned()
        } else {
            format!("NOT SEEN for {} s", line.unseen_ms / 1_000)
        };
        table.add_row([line.name.clone(), line.entries.to_string(), seen]);
    }
    table
}

fn entry_table(screen: &FleetScreen) -> TextTable {
    let header = [
        "entry VM", "centre", "stage", "revision", "waiting", "running", "age",
    ];
    let mut table = TextTable::new(&header);
    for line in &screen.entries {
        table.add_row([
            line.name.clone(),
            line.centre.clone(),
            line.stage.clone(),
            line.revision.to_string(),
            line.pending.to_string(),
            line.held.to_string(),
            age_text(line.age_ms),
        ]);
    }
    table
}

fn backend_table(screen: &FleetScreen) -> TextTable {
    let header = [
        "backend server",
        "centre",
        "stage",
        "running",
        "limit",
        "speed",
        "age",
        "why",
    ];
    let mut table = TextTable::new(&header);
    for line in &screen.backends {
        table.add_row([
            line.name.clone(),
            line.centre.clone(),
            format!("{:?}", line.stage).to_lowercase(),
            line.running.to_string(),
            line.limit.to_string(),
            format!("{:.2}", line.speed),
            age_text(line.age_ms),
            line.reason.clone(),
        ]);
    }
    table
}

fn class_table(screen: &FleetScreen) -> TextTable {
    let header = [
        "class", "tier", "on time", "queued", "running", "shed", "failed", "waste",
    ];
    let mut table = TextTable::new(&header);
    for line in &screen.classes {
        table.add_row([
            line.name.clone(),
            line.tier.to_string(),
            share_text(line.count.attainment()),
            line.queued.to_string(),
            line.running.to_string(),
            line.count.shed.to_string(),
            line.count.failed.to_string(),
            share_text(line.count.waste()),
        ]);
    }
    table
}

fn customer_table(screen: &FleetScreen) -> TextTable {
    let header = [
        "customer",
        "share",
        "traffic",
        "accepted",
        "on time",
        "over limit",
    ];
    let mut table = TextTable::new(&header);
    let shares: f64 = screen.customers.iter().map(|line| line.share).sum();
    let mut total = TrafficCount::default();
    for line in &screen.customers {
        total.add(&line.count);
    }
    let ratio = |value: f64, whole: f64| (whole > 0.0).then(|| value / whole);
    for line in &screen.customers {
        let traffic = ratio(line.count.accepted as f64, total.accepted as f64);
        table.add_row([
            line.name.clone(),
            share_text(ratio(line.share, shares)),
            share_text(traffic),
            line.count.accepted.to_string(),
            share_text(line.count.attainment()),
            line.count.over_limit.to_string(),
        ]);
    }
    table
}

fn share_text(share: Option<f64>) -> String {
    share.map_or_else(|| "-".to_owned(), |share| format!("{:.1} %", share * 100.0))
}

fn age_text(age_ms: Option<u64>) -> String {
    match age_ms {
        Some(age) => format!("{:.1} s", age as f64 / 1_000.0),
        None => "not seen".to_owned(),
    }
}

/// Prints the whole state of one entry VM.
pub(crate) fn dump(matches: &ArgMatches) -> Result<(), CommandFailure> {
    let format = matches
        .get_one::<String>("format")
        .expect("the argument has a default");
    let endpoints = EndpointOptions::read(matches).entry_endpoints()?;
    let path = format!("/dump?format={format}");
    let (_, text) = first_reachable(&endpoints, |endpoint| endpoint.text(&path))?;
    println!("{text}");
    Ok(())
}

/// Prints the addresses of the screens and whether they answer.
pub(crate) fn screens(matches: &ArgMatches) -> Result<(), CommandFailure> {
    let options = EndpointOptions::read(matches);
    if matches.get_flag("check") {
        return crate::screen_check::run(&options);
    }
    let endpoints = options.entry_endpoints()?;
    let mut table = TextTable::new(&["screen", "answers"]);
    let mut lines = Vec::new();
    let mut reached = 0;
    for endpoint in &endpoints {
        let url = format!("http://{}/", endpoint.address());
        let answer = match endpoint.screen() {
            Ok(screen) => {
                reached += 1;
                format!("yes, {}", screen.shown_by)
            }
            Err(failure) => format!("no: {failure}"),
        };
        lines.push(serde_json::json!({ "screen": url, "answers": answer }));
        table.add_row([url, answer]);
    }
    match Output::read(matches) {
        Output::Json => println!("{}", serde_json::Value::Array(lines)),
        Output::Table => print!("{table}"),
    }
    if reached == 0 {
        let message = "no screen answers".to_owned();
        return Err(CommandFailure::Unreachable(message));
    }
    Ok(())
}

/// Prints the record schemas of this version of the program.
pub(crate) fn schema(matches: &ArgMatches) -> Result<(), CommandFailure> {
    let kind = matches.get_one::<String>("kind");
    let kind = kind
        .map(|kind| kind.parse::<RecordKind>())
        .transpose()
        .map_err(|error| CommandFailure::Input(error.to_string()))?;
    let selected: Vec<_> = schemas()
        .iter()
        .filter(|schema| kind.is_none_or(|kind| schema.kind == kind))
        .collect();
    match Output::read(matches) {
        Output::Json => {
            let text = serde_json::to_string(&selected);
            println!(
                "{}",
                text.map_err(|error| CommandFailure::MalformedAnswer(error.to_string()))?
            );
        }
        Output::Table => {
            for schema in selected {
                println!("{schema}");
            }
        }
    }
    Ok(())
}
