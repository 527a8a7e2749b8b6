//! The `oleanderctl record watch` command, which waits until a record is in force at every entry
//! VM.

use std::time::{Duration, Instant};

use clap::ArgMatches;
use oleander_operator::{EntryLine, FleetScreen};

use crate::endpoint::{EndpointOptions, RecordEndpoint, first_reachable};
use crate::failure::CommandFailure;
use crate::output::Output;
use crate::progress::spinner;
use crate::record::{find_record, text_arg};

/// The interval between two reads of the fleet's state.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Waits until the revision is in force, or fails after the time limit.
pub(crate) fn run(
    matches: &ArgMatches,
    options: &EndpointOptions,
    output: Output,
) -> Result<(), CommandFailure> {
    let (kind, name) = (text_arg(matches, "kind"), text_arg(matches, "name"));
    let limit = Duration::from_secs_f64(
        *matches
            .get_one("timeout")
            .expect("the argument has a default"),
    );
    let endpoints = options.entry_endpoints()?;
    let target_revision = match matches.get_one::<u64>("revision") {
        Some(revision) => *revision,
        None => {
            let (_, lines) = first_reachable(&endpoints, |endpoint| endpoint.records())?;
            let line = find_record(&lines, kind, name);
            line.map(|line| line.revision)
                .ok_or_else(|| CommandFailure::NotFound(format!("record {kind}/{name}")))?
        }
    };
    let begin = Instant::now();
    let bar = spinner(&format!("{kind}/{name} at revision {target_revision}"));
    loop {
        let (_, screen) = first_reachable(&endpoints, |endpoint| endpoint.screen())?;
        let lagging = lagging_entries(&screen, target_revision);
        if lagging.is_empty() {
            bar.finish_and_clear();
            print_done(&screen, target_revision, begin.elapsed(), output);
            return Ok(());
        }
        let names: Vec<&str> = lagging.iter().map(|line| line.name.as_str()).collect();
        bar.set_message(format!("not yet at {}", names.join(", ")));
        if begin.elapsed() > limit {
            bar.finish_and_clear();
            let message = format!(
                "revision {target_revision} is not in force after {:.0} s at {}",
                limit.as_secs_f64(),
                names.join(", ")
            );
            return Err(CommandFailure::Timeout(message));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Returns the awaited entry VMs that are not known to have the revision in force.
fn lagging_entries(screen: &FleetScreen, target_revision: u64) -> Vec<&EntryLine> {
    let lines = screen.entries.iter();
    lines
        .filter(|line| is_awaited(line) && line.revision < target_revision)
        .collect()
}

/// Returns whether the command waits for an entry VM; one that is leaving or gone is not awaited.
fn is_awaited(line: &EntryLine) -> bool {
    matches!(line.stage.as_str(), "live" | "suspect" | "joining")
}

fn print_done(screen: &FleetScreen, target_revision: u64, elapsed: Duration, output: Output) {
    let entries = screen
        .entries
        .iter()
        .filter(|line| is_awaited(line))
        .count();
    let unseen: Vec<&str> = screen
        .centres
        .iter()
        .filter(|centre| !centre.seen)
        .map(|centre| centre.name.as_str())
        .collect();
    match output {
        Output::Json => {
            let line = serde_json::json!({
                "revision": target_revision, "entries": entries, "waited_ms": elapsed.as_millis(),
                "centres_not_seen": unseen,
            });
            println!("{line}");
        }
        Output::Table => {
            println!(
                "revision {target_revision} is in force at {entries} entry VMs after {:.2} s",
                elapsed.as_secs_f64()
            );
            if !unseen.is_empty() {
                println!("not seen, and not counted: {}", unseen.join(", "));
            }
        }
    }
}
