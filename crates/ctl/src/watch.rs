//! `oleanderctl record watch`: waits until a record is in force at every entry VM.

use std::time::{Duration, Instant};

use clap::ArgMatches;
use oleander_operator::{EntryLine, FleetScreen};

use crate::failure::CommandFailure;
use crate::output::Output;
use crate::place::{PlaceOptions, RecordPlace, first_reachable};
use crate::progress::spinner;
use crate::record::{find, text_arg};

/// Time between two looks at the fleet.
const LOOK_PERIOD: Duration = Duration::from_millis(250);

/// Runs the command.
pub(crate) fn run(
    matches: &ArgMatches,
    options: &PlaceOptions,
    output: Output,
) -> Result<(), CommandFailure> {
    let (kind, name) = (text_arg(matches, "kind"), text_arg(matches, "name"));
    let limit = Duration::from_secs_f64(*matches.get_one("timeout").expect("it has a default"));
    let places = options.entry_places()?;
    let wanted = match matches.get_one::<u64>("revision") {
        Some(revision) => *revision,
        None => {
            let (_, lines) = first_reachable(&places, |place| place.records())?;
            let line = find(&lines, kind, name);
            line.map(|line| line.revision)
                .ok_or_else(|| CommandFailure::Missing(format!("record {kind}/{name}")))?
        }
    };
    let begin = Instant::now();
    let bar = spinner(&format!("{kind}/{name} at revision {wanted}"));
    loop {
        let (_, screen) = first_reachable(&places, |place| place.screen())?;
        let missing = behind(&screen, wanted);
        if missing.is_empty() {
            bar.finish_and_clear();
            print_done(&screen, wanted, begin.elapsed(), output);
            return Ok(());
        }
        let names: Vec<&str> = missing.iter().map(|line| line.name.as_str()).collect();
        bar.set_message(format!("not yet at {}", names.join(", ")));
        if begin.elapsed() > limit {
            bar.finish_and_clear();
            let message = format!(
                "revision {wanted} is not in force after {:.0} s at {}",
                limit.as_secs_f64(),
                names.join(", ")
            );
            return Err(CommandFailure::Late(message));
        }
        std::thread::sleep(LOOK_PERIOD);
    }
}

/// Returns the live entry VMs that are not known to have the revision in force.
fn behind(screen: &FleetScreen, wanted: u64) -> Vec<&EntryLine> {
    let lines = screen.entries.iter();
    lines
        .filter(|line| is_live(line) && line.revision < wanted)
        .collect()
}

/// Returns whether an entry VM counts: one that is gone or leaves need not follow.
fn is_live(line: &EntryLine) -> bool {
    matches!(line.stage.as_str(), "live" | "suspect" | "joining")
}

fn print_done(screen: &FleetScreen, wanted: u64, passed: Duration, output: Output) {
    let entries = screen.entries.iter().filter(|line| is_live(line)).count();
    let unseen: Vec<&str> = screen
        .centres
        .iter()
        .filter(|centre| !centre.seen)
        .map(|centre| centre.name.as_str())
        .collect();
    match output {
        Output::Json => {
            let line = serde_json::json!({
                "revision": wanted, "entries": entries, "waited_ms": passed.as_millis(),
                "centres_not_seen": unseen,
            });
            println!("{line}");
        }
        Output::Table => {
            println!(
                "revision {wanted} is in force at {entries} entry VMs after {:.2} s",
                passed.as_secs_f64()
            );
            if !unseen.is_empty() {
                println!("not seen, and not counted: {}", unseen.join(", "));
            }
        }
    }
}
