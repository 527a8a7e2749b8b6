//! Periods and bounds of membership.

use oleander_base::Span;

/// Periods and bounds; the defaults suit data centres of a few dozen entry VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Time between two probes inside the data centre.
    pub probe_period: Span,
    /// How long a direct probe may take before other members are asked to probe too.
    pub probe_timeout: Span,
    /// How many other members are asked.
    pub helpers: usize,
    /// How long a suspect has to refute the suspicion.
    pub suspicion: Span,
    /// How many members of a data centre talk to other data centres.
    pub relays: usize,
    /// Time between two probes of a relay into other data centres.
    pub relay_period: Span,
    /// How long a probe into another data centre may take.
    pub relay_timeout: Span,
    /// Failed probes in a row after which a data centre counts as cut off.
    pub cut_failures: u32,
    /// The longest wait between probes into a data centre that is cut off.
    pub cut_backoff: Span,
    /// The longest wait between attempts to reach an address where no member is known.
    pub contact_backoff: Span,
    /// The same while this instance knows no other member that it can reach.
    pub lonely_backoff: Span,
    /// A gap between two ticks longer than this means that the process was paused.
    pub pause_bound: Span,
    /// How long a process that was paused waits to hear from others before it goes on alone.
    pub stale_limit: Span,
    /// How long rosters may differ before one is fetched.
    pub sync_delay: Span,
    /// How long a member that is gone is remembered.
    pub gone_memory: Span,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            probe_period: Span::from_millis(500),
            probe_timeout: Span::from_millis(200),
            helpers: 2,
            suspicion: Span::from_millis(1_200),
            relays: 2,
            relay_period: Span::from_millis(500),
            relay_timeout: Span::from_millis(1_500),
            cut_failures: 3,
            cut_backoff: Span::from_secs(10),
            contact_backoff: Span::from_secs(30),
            lonely_backoff: Span::from_secs(4),
            pause_bound: Span::from_millis(1_500),
            stale_limit: Span::from_secs(5),
            sync_delay: Span::from_secs(3),
            gone_memory: Span::from_secs(600),
        }
    }
}

impl MembershipSettings {
    /// Returns the settings with every period divided, for tests that cannot wait.
    pub fn faster(self, factor: u64) -> Self {
        let divide = |span: Span| Span(span.0 / factor.max(1));
        Self {
            probe_period: divide(self.probe_period),
            probe_timeout: divide(self.probe_timeout),
            suspicion: divide(self.suspicion),
            relay_period: divide(self.relay_period),
            relay_timeout: divide(self.relay_timeout),
            cut_backoff: divide(self.cut_backoff),
            contact_backoff: divide(self.contact_backoff),
            lonely_backoff: divide(self.lonely_backoff),
            pause_bound: divide(self.pause_bound),
            stale_limit: divide(self.stale_limit),
            sync_delay: divide(self.sync_delay),
            ..self
        }
    }
}
