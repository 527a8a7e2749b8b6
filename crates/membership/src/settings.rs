//! Timeouts, intervals and limits of the membership protocol.

use oleander_base::Span;

/// Configures the membership protocol; the defaults suit data centres of a few dozen entry VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipSettings {
    /// The interval between two probes of members of the local data centre.
    pub probe_interval: Span,
    /// The time without an acknowledgement after which indirect probes are sent.
    pub probe_timeout: Span,
    /// The number of members that are asked for an indirect probe.
    pub indirect_probes: usize,
    /// The time within which a suspected member must refute the suspicion.
    pub suspicion_timeout: Span,
    /// The number of members of a data centre that probe other data centres.
    pub relays_per_centre: usize,
    /// The interval between two probes that a relay sends to other data centres.
    pub relay_probe_interval: Span,
    /// The timeout of a probe of another data centre.
    pub relay_probe_timeout: Span,
    /// The number of consecutive failed probes after which a data centre counts as cut off.
    pub cut_failures: u32,
    /// The maximum backoff between probes of a data centre that is cut off.
    pub cut_backoff: Span,
    /// The maximum backoff between attempts to dial addresses at which no member is known.
    pub discovery_backoff: Span,
    /// The maximum backoff between these attempts while no other member is reachable.
    pub isolated_backoff: Span,
    /// The gap between two inputs above which the process counts as having been paused.
    pub pause_threshold: Span,
    /// The time after a pause at which the view counts as current again even without an
    /// acknowledgement from another member.
    pub stale_timeout: Span,
    /// The time for which rosters may differ before one is fetched.
    pub roster_sync_delay: Span,
    /// The minimum time for which a member that is gone is kept in the table.
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
    /// Returns the settings with every period except `gone_retention` divided by `factor`, to
    /// shorten tests.
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
