//! `oleanderctl screens --check`: whether a change of a record shows on every screen in time.
//!
//! The check writes a customer with a random key that nobody holds, waits until the screens of
//! all given entry VMs list it, and deletes it again. It also fails if a screen answers without
//! the operators' key.

use std::time::{Duration, Instant};

use ntex::http::Method;
use oleander_operator::{FleetScreen, RecordChange};

use crate::change::make_change;
use crate::entry_place::EntryPlace;
use crate::failure::CommandFailure;
use crate::http_call::call;
use crate::place::{PlaceOptions, RecordPlace, first_reachable};

/// How long a change may take until every screen shows it.
const SHOW_LIMIT: Duration = Duration::from_secs(5);
/// Time between two looks.
const LOOK_PERIOD: Duration = Duration::from_millis(100);
/// What the name of the customer begins with.
const CHECK_NAME: &str = "screens-check";

/// Runs the check.
pub(crate) fn run(options: &PlaceOptions) -> Result<(), CommandFailure> {
    let places = options.entry_places()?;
    for place in &places {
        check_locked(place)?;
    }
    let (_, lines) = first_reachable(&places, |place| place.records())?;
    let class = lines.iter().find(|line| line.kind == "class");
    let class = class.ok_or_else(|| CommandFailure::Missing("any record class/..".to_owned()))?;
    let mut change = customer(&class.name);
    let writers: Vec<Box<dyn RecordPlace>> = places
        .iter()
        .map(|place| Box::new(place.clone()) as Box<dyn RecordPlace>)
        .collect();
    let made = make_change(&writers, &change)?;
    let shown = wait(&places, |screen| lists(screen, &change.name));
    change.expected = Some(made.revision());
    change.document = None;
    make_change(&writers, &change)?;
    let gone = wait(&places, |screen| !lists(screen, &change.name));
    let screens = places.len();
    println!(
        "shown on {screens} screens after {:.2} s",
        shown?.as_secs_f64()
    );
    println!(
        "gone from {screens} screens after {:.2} s",
        gone?.as_secs_f64()
    );
    Ok(())
}

fn customer(class: &str) -> RecordChange {
    let name = format!("{CHECK_NAME}-{:08x}", rand::random::<u32>());
    let (high, low) = (rand::random::<u128>(), rand::random::<u128>());
    let document = serde_json::json!({
        "schema": 2, "name": name, "key_hashes": [format!("{high:032x}{low:032x}")],
        "share": 1.0, "default_class": class,
    });
    RecordChange {
        kind: "customer".to_owned(),
        name,
        expected: None,
        document: Some(document.to_string()),
    }
}

fn lists(screen: &FleetScreen, name: &str) -> bool {
    screen.customers.iter().any(|line| line.name == name)
}

/// Waits until every screen is as it should be.
fn wait(
    places: &[EntryPlace],
    holds: impl Fn(&FleetScreen) -> bool,
) -> Result<Duration, CommandFailure> {
    let begin = Instant::now();
    loop {
        let mut late = Vec::new();
        for place in places {
            if !holds(&place.screen()?) {
                late.push(place.name());
            }
        }
        if late.is_empty() {
            return Ok(begin.elapsed());
        }
        if begin.elapsed() > SHOW_LIMIT {
            let names = late.join(", ");
            return Err(CommandFailure::Broken(format!(
                "a change does not show after {} s at {names}",
                SHOW_LIMIT.as_secs()
            )));
        }
        std::thread::sleep(LOOK_PERIOD);
    }
}

/// Fails if a screen opens without the operators' key.
fn check_locked(place: &EntryPlace) -> Result<(), CommandFailure> {
    let answer = call(place.address(), &Method::GET, "/screen", "", None);
    let answer = answer.map_err(|failure| CommandFailure::Unreachable(failure.to_string()))?;
    if answer.status == 401 {
        return Ok(());
    }
    let message = format!("{} shows its state without the key", place.name());
    Err(CommandFailure::Broken(message))
}
