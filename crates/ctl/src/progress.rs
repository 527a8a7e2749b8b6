//! Progress display for long operations at a terminal.

use std::time::Duration;

use indicatif::{ProgressBar, ProgressStyle};

/// The interval between two redraws of the spinner.
const REDRAW_INTERVAL: Duration = Duration::from_millis(200);

/// Returns a spinner that shows a message; without a terminal it prints nothing.
pub(crate) fn spinner(message: &str) -> ProgressBar {
    let bar = ProgressBar::new_spinner();
    let style = ProgressStyle::with_template("{spinner} {msg} {elapsed}");
    bar.set_style(style.expect("the template is valid"));
    bar.set_message(message.to_owned());
    bar.enable_steady_tick(REDRAW_INTERVAL);
    bar
}
