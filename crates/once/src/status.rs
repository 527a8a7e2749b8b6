//! The states of the requests that this instance admitted, by request id, in bounded memory.

use std::collections::VecDeque;

use oleander_base::prelude::*;

use crate::permit::PermitBasis;

#[derive(Debug, Clone, Copy)]
struct StatusRow {
    basis: PermitBasis,
    verdict: Option<Verdict>,
}

/// Holds the state of one admitted request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownStatus {
    /// What entitles the request to run.
    pub basis: PermitBasis,
    /// Its verdict, or none while it is running.
    pub verdict: Option<Verdict>,
}

/// Holds request states and evicts the oldest ended ones; running requests are never evicted.
#[derive(Debug, Clone)]
pub struct StatusTable {
    limit: usize,
    rows: FastMap<RequestId, StatusRow>,
    ended: VecDeque<RequestId>,
}

impl StatusTable {
    /// Returns an empty table that holds at most `limit` ended requests.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            rows: FastMap::default(),
            ended: VecDeque::new(),
        }
    }

    /// Adds a request that was permitted to run.
    pub fn start(&mut self, request: RequestId, basis: PermitBasis) {
        let verdict = None;
        self.rows.insert(request, StatusRow { basis, verdict });
    }

    /// Records the verdict of a request that ended.
    pub fn end(&mut self, request: RequestId, verdict: Verdict) {
        let Some(row) = self.rows.get_mut(&request) else {
            return;
        };
        row.verdict = Some(verdict);
        self.ended.push_back(request);
        if self.ended.len() <= self.limit {
            return;
        }
        if let Some(oldest) = self.ended.pop_front() {
            self.rows.remove(&oldest);
        }
    }

    /// Returns the state of a request, if it is recorded.
    pub fn get(&self, request: RequestId) -> Option<KnownStatus> {
        self.rows.get(&request).map(|row| KnownStatus {
            basis: row.basis,
            verdict: row.verdict,
        })
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.rows.len() - self.ended.len()
    }
}
