//! The verdicts of this instance's admitted requests, by request id, in bounded memory.

use std::collections::VecDeque;

use oleander_base::prelude::*;

use crate::permit::PermitBasis;

#[derive(Debug, Clone, Copy)]
struct StatusRow {
    basis: PermitBasis,
    verdict: Option<Verdict>,
}

/// What is known of one admitted request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownStatus {
    /// What its permit rests on.
    pub basis: PermitBasis,
    /// Its verdict, or none while it is under way.
    pub verdict: Option<Verdict>,
}

/// A bounded table of request states; running requests are never evicted.
#[derive(Debug, Clone)]
pub struct StatusTable {
    limit: usize,
    rows: FastMap<RequestId, StatusRow>,
    ended: VecDeque<RequestId>,
}

impl StatusTable {
    /// Returns an empty table for `limit` ended requests.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            rows: FastMap::default(),
            ended: VecDeque::new(),
        }
    }

    /// Adds a request that starts.
    pub fn start(&mut self, request: RequestId, basis: PermitBasis) {
        let verdict = None;
        self.rows.insert(request, StatusRow { basis, verdict });
    }

    /// Records a request's end.
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

    /// Returns what is known of a request.
    pub fn get(&self, request: RequestId) -> Option<KnownStatus> {
        self.rows.get(&request).map(|row| KnownStatus {
            basis: row.basis,
            verdict: row.verdict,
        })
    }

    /// Returns how many requests are under way.
    pub fn running(&self) -> usize {
        self.rows.len() - self.ended.len()
    }
}
