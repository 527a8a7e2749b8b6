//! Joins the counts that gateways and their replicas give for one usage window.
//!
//! A replica is another gateway to which a process sends its counts, so that they outlive it. The holder of
//! the duties gets the counts of one process from the process itself and from its replicas. The process's
//! own counts are preferred. Of several replicas the one with the most requests counts, since each may
//! have missed datagrams and none has more than the process sent. So a request is counted at most once.

use oleander_base::FastMap;

use crate::usage_log::UsageCounts;

/// The counts of one window, by the process that counted.
#[derive(Debug, Default)]
pub struct UsageCollection {
    /// What processes gave for themselves, by incarnation, the random number of a process.
    direct: FastMap<u64, UsageCounts>,
    replicas: FastMap<u64, UsageCounts>,
}

impl UsageCollection {
    /// Adds the counts that a process gives for itself. Its first answer counts.
    pub fn add_direct(&mut self, incarnation: u64, counts: UsageCounts) {
        self.direct.entry(incarnation).or_insert(counts);
    }

    /// Adds the counts that a replica gives for another process.
    pub fn add_replica(&mut self, incarnation: u64, counts: UsageCounts) {
        let known = self.replicas.entry(incarnation).or_default();
        if sum(&counts) > sum(known) {
            *known = counts;
        }
    }

    /// Returns the number of processes that gave their own counts.
    pub fn direct_count(&self) -> usize {
        self.direct.len()
    }

    /// Returns the number of requests that only replicas know of.
    pub fn from_replicas(&self) -> u64 {
        self.silent().map(|(_, counts)| sum(counts)).sum()
    }

    /// Returns the counts of all processes together.
    pub fn total(&self) -> UsageCounts {
        let mut total = UsageCounts::new();
        let silent = self.silent().map(|(_, counts)| counts);
        for counts in self.direct.values().chain(silent) {
            for (customer, count) in counts {
                *total.entry(customer.clone()).or_default() += count;
            }
        }
        total
    }

    /// Returns the counts of the processes that did not answer themselves.
    fn silent(&self) -> impl Iterator<Item = (&u64, &UsageCounts)> {
        let is_silent =
            |(incarnation, _): &(&u64, &UsageCounts)| !self.direct.contains_key(incarnation);
        self.replicas.iter().filter(is_silent)
    }
}

fn sum(counts: &UsageCounts) -> u64 {
    counts.values().sum()
}
