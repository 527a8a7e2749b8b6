//! Progress on long work, for a person at a terminal.

use std::time::Duration;

use indicatif::{ProgressBar, ProgressStyle};

/// How often the bar moves.
const REDRAW_INTERVAL: Duration = Duration::from_millis(200);

/// Returns a spinner that says what is being done; it is silent without a terminal.
pub(crate) fn spinner(message: &str) -> ProgressBar {
    let bar = ProgressBar::new_spinner();
    let style = ProgressStyle::with_template("{spinner} {msg} {elapsed}");
    bar.set_style(style.expect("the template is constant"));
    bar.set_message(message.to_owned());
    bar.enable_steady_tick(REDRAW_INTERVAL);
    bar
}
