//! Collects the counts of a usage window from all gateways.
//!
//! Each gateway is queried for its own counts. If some do not answer, the others are queried again for all
//! that they keep, so that the replicas of a gateway that only this one cannot reach are heard as well.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use oleander_balance::{MedianClock, TrueTime, UsageCollection};
use oleander_base::monotonic_now;
use oleander_platform::boot_time;
use thiserror::Error;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout};

use super::usage_exchange::{UsageAnswer, UsageQuery, own_answer, wall_clock};
use crate::core::GatewayCore;
use crate::http::{
    AnswerHead, ConnError, HeadLimits, HttpConn, MAX_USAGE_ANSWER_BYTES, TcpTimeouts,
};
use crate::prelude::*;
use crate::store_client::read_body;

/// The timeout of one query, from the connection to the end of the answer.
const QUERY_TIMEOUT: Span = Span::from_millis(500);

/// The longest round trip with which an answer counts in the first round of queries. A query names ages, which are
/// wrong by the time that it is on its way.
const MAX_ROUND_TRIP: Span = Span::from_millis(250);

/// The most queries at the same time.
const MAX_PARALLEL: usize = 32;

/// The time between the beginnings of two queries. On a weak machine several hundred queries at once would take the
/// processor from its callers for half a second.
const QUERY_INTERVAL: Span = Span::from_millis(3);

/// The pause before the gateways that did not answer are queried again.
const RETRY_PAUSE: Span = Span::from_millis(150);

/// The longest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 4 * 1024;

/// Why a gateway's counts are not known.
#[derive(Debug, Error)]
enum QueryError {
    #[error("no answer in time")]
    TimedOut,
    #[error("the answer took {0}")]
    Slow(Span),
    #[error("{0}")]
    Connection(#[from] ConnError),
    #[error("malformed answer: {0}")]
    Answer(String),
}

/// The monotonic times between which requests are counted.
#[derive(Debug, Clone, Copy)]
pub(super) struct CountRange {
    pub(super) from: MonoTime,
    pub(super) to: MonoTime,
}

/// The counts of one window.
#[derive(Debug)]
pub(super) struct CollectedUsage {
    pub(super) counts: UsageCollection,
    /// The number of other gateways that were queried.
    pub(super) asked: usize,
    /// The number of them that answered.
    pub(super) answered: usize,
    /// Why the first one that did not answer failed.
    pub(super) problem: Option<String>,
}

/// Collects the counts of all gateways, and what their clocks show.
pub(super) async fn collect_usage(
    core: &Rc<GatewayCore>,
    range: CountRange,
    clock: &mut MedianClock,
) -> CollectedUsage {
    let own = own_answer(core, own_query(range));
    clock.observe(own.incarnation, wall_clock(), boot_time());
    let mut counts = UsageCollection::default();
    add(&mut counts, own);
    let own_name = Arc::clone(&core.settings().name);
    let now = monotonic_now();
    let addresses = core.view.borrow().counted_controls(&own_name, now);
    let mut round = QueryRound {
        range,
        clock,
        counts,
        problem: None,
    };
    let asked = addresses.len();
    let missing = round.run(&addresses, false, MAX_ROUND_TRIP).await;
    let mut answered = asked - missing.len();
    if !missing.is_empty() {
        sleep(Duration::from(RETRY_PAUSE)).await;
        let still_missing = round.run(&missing, false, QUERY_TIMEOUT).await;
        answered = asked - still_missing.len();
        if !still_missing.is_empty() {
            let others: Vec<SocketAddr> = addresses
                .into_iter()
                .filter(|address| !still_missing.contains(address))
                .collect();
            round.run(&others, true, QUERY_TIMEOUT).await;
        }
    }
    CollectedUsage {
        counts: round.counts,
        asked,
        answered,
        problem: round.problem,
    }
}

/// One or more rounds of queries for the same window.
struct QueryRound<'a> {
    range: CountRange,
    clock: &'a mut MedianClock,
    counts: UsageCollection,
    problem: Option<String>,
}

impl QueryRound<'_> {
    /// Queries some gateways and returns those that did not answer.
    async fn run(
        &mut self,
        addresses: &[SocketAddr],
        tells_all: bool,
        max_round_trip: Span,
    ) -> Vec<SocketAddr> {
        let mut missing = Vec::new();
        let mut queries = JoinSet::new();
        let mut waiting = addresses.iter().copied().enumerate();
        let begun = tokio::time::Instant::now();
        loop {
            while queries.len() < MAX_PARALLEL {
                let Some((number, address)) = waiting.next() else {
                    break;
                };
                let range = self.range;
                let starts_at = begun + Duration::from(QUERY_INTERVAL) * number as u32;
                queries.spawn_local(async move {
                    sleep_until(starts_at).await;
                    let queried = query(address, range, tells_all, max_round_trip);
                    (address, within(queried).await)
                });
            }
            let Some(done) = queries.join_next().await else {
                return missing;
            };
            // Queries neither panic nor are cancelled.
            let Ok((address, result)) = done else {
                continue;
            };
            match result {
                Ok(answer) => self.take(answer),
                Err(error) => {
                    missing.push(address);
                    self.problem
                        .get_or_insert_with(|| format!("{address}: {error}"));
                }
            }
        }
    }

    fn take(&mut self, timed: TimedAnswer) {
        let TimedAnswer { answer, at } = timed;
        let wall = TrueTime(answer.wall_us);
        self.clock.observe(answer.incarnation, wall, at);
        add(&mut self.counts, answer);
    }
}

fn add(counts: &mut UsageCollection, answer: UsageAnswer) {
    counts.add_direct(answer.incarnation, answer.counts);
    for (incarnation, replica) in answer.replicas {
        counts.add_replica(incarnation, replica);
    }
}

fn own_query(range: CountRange) -> UsageQuery {
    let now = boot_time();
    UsageQuery {
        from: now.since(range.from),
        to: now.since(range.to),
        tells_all: true,
    }
}

async fn within(
    query: impl Future<Output = Result<TimedAnswer, QueryError>>,
) -> Result<TimedAnswer, QueryError> {
    let done = timeout(Duration::from(QUERY_TIMEOUT), query).await;
    done.unwrap_or(Err(QueryError::TimedOut))
}

#[derive(Debug)]
struct TimedAnswer {
    answer: UsageAnswer,
    /// When the gateway read its clock, as far as this one can tell.
    at: MonoTime,
}

async fn query(
    address: SocketAddr,
    range: CountRange,
    tells_all: bool,
    max_round_trip: Span,
) -> Result<TimedAnswer, QueryError> {
    let mut conn = HttpConn::connect(address, &TcpTimeouts::default())
        .await
        .map_err(ConnError::from)?;
    let sent = boot_time();
    let target = UsageQuery {
        tells_all,
        ..own_query(range)
    }
    .target();
    let request = format!("GET {target} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    conn.write_all(request.as_bytes())
        .await
        .map_err(ConnError::from)?;
    let limits = HeadLimits {
        head_bytes: MAX_HEAD_BYTES,
    };
    let bytes = conn.read_head(&limits).await?;
    let malformed = |error: &dyn std::fmt::Display| QueryError::Answer(error.to_string());
    let head = AnswerHead::parse(bytes, "GET").map_err(|error| malformed(&error))?;
    let took = boot_time().since(sent);
    if took > max_round_trip {
        return Err(QueryError::Slow(took));
    }
    let body = read_body(&mut conn, &head, MAX_USAGE_ANSWER_BYTES).await;
    let body = body.map_err(|error| malformed(&error))?;
    if head.status != 200 {
        return Err(QueryError::Answer(format!("status {}", head.status)));
    }
    Ok(TimedAnswer {
        answer: serde_json::from_slice(&body).map_err(|error| malformed(&error))?,
        at: sent + Span(took.0 / 2),
    })
}
