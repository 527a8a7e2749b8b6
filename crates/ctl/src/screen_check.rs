//! The `oleanderctl screens --check` command, which checks that every screen shows a record change
//! in time.
//!
//! The check writes a customer with a random key hash that matches no known key, waits until the
//! screens of all given entry VMs list it, and deletes it again. It also fails if a screen can be
//! read without the operators' key.

use std::time::{Duration, Instant};

use ntex::http::Method;
use oleander_operator::{FleetScreen, RecordChange};

use crate::change::apply_change;
use crate::endpoint::{EndpointOptions, RecordEndpoint, first_reachable};
use crate::entry_endpoint::EntryEndpoint;
use crate::failure::CommandFailure;
use crate::http_call::call;

/// The time limit for every screen to show a change.
const VISIBILITY_TIMEOUT: Duration = Duration::from_secs(5);
/// The interval between two reads of the screens.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The prefix of the temporary customer's name.
const CHECK_NAME_PREFIX: &str = "screens-check";

/// Runs the check and prints how long each change took to show.
pub(crate) fn run(options: &EndpointOptions) -> Result<(), CommandFailure> {
    let endpoints = options.entry_endpoints()?;
    for endpoint in &endpoints {
        check_key_required(endpoint)?;
    }
    let (_, lines) = first_reachable(&endpoints, |endpoint| endpoint.records())?;
    let class = lines.iter().find(|line| line.kind == "class");
    let class = class.ok_or_else(|| CommandFailure::NotFound("any record class/..".to_owned()))?;
    let mut change = customer_change(&class.name);
    let writers: Vec<Box<dyn RecordEndpoint>> = endpoints
        .iter()
        .map(|endpoint| Box::new(endpoint.clone()) as Box<dyn RecordEndpoint>)
        .collect();
    let applied = apply_change(&writers, &change)?;
    let shown = wait_for_screens(&endpoints, |screen| shows_customer(screen, &change.name));
    change.expected = Some(applied.revision());
    change.document = None;
    apply_change(&writers, &change)?;
    let removed = wait_for_screens(&endpoints, |screen| !shows_customer(screen, &change.name));
    let screens = endpoints.len();
    println!(
        "shown on {screens} screens after {:.2} s",
        shown?.as_secs_f64()
    );
    println!(
        "gone from {screens} screens after {:.2} s",
        removed?.as_secs_f64()
    );
    Ok(())
}

fn customer_change(class: &str) -> RecordChange {
    let name = format!("{CHECK_NAME_PREFIX}-{:08x}", rand::random::<u32>());
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

fn shows_customer(screen: &FleetScreen, name: &str) -> bool {
    screen.customers.iter().any(|line| line.name == name)
}

/// Waits until the condition holds for every screen, and returns how long that took.
fn wait_for_screens(
    endpoints: &[EntryEndpoint],
    condition: impl Fn(&FleetScreen) -> bool,
) -> Result<Duration, CommandFailure> {
    let begin = Instant::now();
    loop {
        let mut lagging = Vec::new();
        for endpoint in endpoints {
            if !condition(&endpoint.screen()?) {
                lagging.push(endpoint.name());
            }
        }
        if lagging.is_empty() {
            return Ok(begin.elapsed());
        }
        if begin.elapsed() > VISIBILITY_TIMEOUT {
            let names = lagging.join(", ");
            return Err(CommandFailure::BrokenPromise(format!(
                "a change does not show after {} s at {names}",
                VISIBILITY_TIMEOUT.as_secs()
            )));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Fails if a screen can be read without the operators' key.
fn check_key_required(endpoint: &EntryEndpoint) -> Result<(), CommandFailure> {
    let answer = call(endpoint.address(), &Method::GET, "/screen", "", None);
    let answer = answer.map_err(|failure| CommandFailure::Unreachable(failure.to_string()))?;
    if answer.status == 401 {
        return Ok(());
    }
    let message = format!("{} shows its state without the key", endpoint.name());
    Err(CommandFailure::BrokenPromise(message))
}
