//! Periods and bounds of membership.

use oleander_base::Span;

/// Periods and bounds; the defaults suit data centres of a few dozen entry VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Time between two probes inside the data centre.
    pub probe_interval: Span,
    /// How long a direct probe may take before other members are asked to probe too.
    pub probe_timeout: Span,
    /// How many other members are asked.
    pub indirect_probes: usize,
    /// How long a suspect has to refute the suspicion.
    pub suspicion_timeout: Span,
    /// How many members of a data centre talk to other data centres.
    pub relays_per_centre: usize,
    /// Time between two probes of a relay into other data centres.
    pub relay_probe_interval: Span,
    /// How long a probe into another data centre may take.
    pub relay_probe_timeout: Span,
    /// Failed probes in a row after which a data centre counts as cut off.
    pub cut_failures: u32,
    /// The longest wait between probes into a data centre that is cut off.
    pub cut_backoff: Span,
    /// The longest wait between attempts to reach an address where no member is known.
    pub discovery_backoff: Span,
    /// The same while this instance knows no other member that it can reach.
    pub isolated_backoff: Span,
    /// A gap between two ticks longer than this means that the process was paused.
    pub pause_threshold: Span,
    /// How long a process that was paused waits to hear from others before it goes on alone.
    pub stale_timeout: Span,
    /// How long rosters may differ before one is fetched.
    pub roster_sync_delay: Span,
    /// How long a member that is gone is remembered.
    pub gone_retention: Span,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            probe_interval: Span::from_millis(500),
            probe_timeout: Span::from_millis(200),
            indirect_probes: 2,
            suspicion_timeout: Span::from_millis(1_200),
            relays_per_centre: 2,
            relay_probe_interval: Span::from_millis(500),
            relay_probe_timeout: Span::from_millis(1_500),
            cut_failures: 3,
            cut_backoff: Span::from_secs(10),
            discovery_backoff: Span::from_secs(30),
            isolated_backoff: Span::from_secs(4),
            pause_threshold: Span::from_millis(1_500),
            stale_timeout: Span::from_secs(5),
            roster_sync_delay: Span::from_secs(3),
            gone_retention: Span::from_secs(600),
        }
    }
}

impl MembershipSettings {
    /// Returns the settings with every period divided, for tests that cannot wait.
    pub fn faster(self, factor: u64) -> Self {
        let divide = |span: Span| Span(span.0 / factor.max(1));
        Self {
            probe_interval: divide(self.probe_interval),
            probe_timeout: divide(self.probe_timeout),
            suspicion_timeout: divide(self.suspicion_timeout),
            relay_probe_interval: divide(self.relay_probe_interval),
            relay_probe_timeout: divide(self.relay_probe_timeout),
            cut_backoff: divide(self.cut_backoff),
            discovery_backoff: divide(self.discovery_backoff),
            isolated_backoff: divide(self.isolated_backoff),
            pause_threshold: divide(self.pause_threshold),
            stale_timeout: divide(self.stale_timeout),
            roster_sync_delay: divide(self.roster_sync_delay),
            ..self
        }
    }
}
