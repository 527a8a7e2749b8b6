//! Counters that a stand-in's thread updates and its handle reads.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};

macro_rules! counters {
    ($(#[$doc:meta])* $counters:ident, $(#[$total_doc:meta])* $totals:ident,
     $($(#[$field_doc:meta])* $field:ident,)+) => {
        $(#[$doc])*
        #[derive(Debug, Default)]
        pub struct $counters {
            $($(#[$field_doc])* pub $field: AtomicU64,)+
        }

        $(#[$total_doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
        #[serde(default)]
        pub struct $totals {
            $($(#[$field_doc])* pub $field: u64,)+
        }

        impl $counters {
            /// Returns the current value of every counter.
            pub fn totals(&self) -> $totals {
                $totals { $($field: self.$field.load(Ordering::Relaxed),)+ }
            }
        }

        impl $totals {
            /// Returns the sums of the counters of both.
            #[must_use]
            pub fn plus(&self, other: &Self) -> Self {
                Self { $($field: self.$field + other.$field,)+ }
            }
        }
    };
}

counters! {
    /// The counters of a model engine's stand-in.
    EngineCounters,
    /// The values of [`EngineCounters`] at one time.
    EngineTotals,
    /// Connections that were accepted.
    connections,
    /// Requests for an answer whose headers arrived.
    arrivals,
    /// Requests that were refused before they ran.
    refused,
    /// Sequences that were submitted to the batch.
    started,
    /// Sequences whose last token was sent.
    finished,
    /// Sequences that were cancelled by request, or because the connection closed or was cut by a
    /// fault.
    cancelled,
    /// Sequences that were ended by a crash or by the engine's stop.
    crashed,
    /// Sequences that started at a later token than the first.
    resumed,
    /// Tokens that were generated.
    tokens,
    /// Tokens to prefill of submitted sequences: the prompt and the resumed part of the answer,
    /// without those found in the prefix cache.
    prompt_tokens,
    /// Sequences whose prefix was found in the cache.
    cache_hits,
    /// Orders that were accepted.
    orders,
    /// Orders that were refused because of an old fencing number.
    orders_refused,
}

counters! {
    /// The counters of a plain service's stand-in.
    ServiceCounters,
    /// The values of [`ServiceCounters`] at one time.
    ServiceTotals,
    /// Connections that were accepted.
    connections,
    /// Requests whose headers arrived, without those under `/admin`.
    arrivals,
    /// Requests that were refused before they ran.
    refused,
    /// Effects that were applied.
    effects,
    /// Look-ups that were answered.
    lookups,
}

/// Increments a counter by one.
pub(crate) fn bump(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// Increments a counter by `count`.
pub(crate) fn add(counter: &AtomicU64, count: u64) {
    counter.fetch_add(count, Ordering::Relaxed);
}
