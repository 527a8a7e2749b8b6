//! Counters that a stand-in's handle reads while its thread runs.

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
            /// Reads every counter.
            pub fn totals(&self) -> $totals {
                $totals { $($field: self.$field.load(Ordering::Relaxed),)+ }
            }
        }

        impl $totals {
            /// Returns the sum of both.
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
    /// A reading of [`EngineCounters`].
    EngineTotals,
    /// Connections that were accepted.
    connections,
    /// Requests for an answer whose head arrived.
    arrivals,
    /// Requests that were refused before they ran.
    refused,
    /// Sequences that were submitted to the batch.
    started,
    /// Sequences that were generated to their end.
    finished,
    /// Sequences that were cancelled, by request or because the connection closed.
    cancelled,
    /// Sequences that a crash ended.
    crashed,
    /// Sequences that began at a later token than the first.
    resumed,
    /// Tokens generated.
    tokens,
    /// Prompt tokens read, without those that the prefix cache saved.
    prompt_tokens,
    /// Requests whose prefix was in the cache.
    cache_hits,
    /// Orders that were carried out.
    orders,
    /// Orders that were refused for an old fencing number.
    orders_refused,
}

counters! {
    /// The counters of a plain service's stand-in.
    ServiceCounters,
    /// A reading of [`ServiceCounters`].
    ServiceTotals,
    /// Connections that were accepted.
    connections,
    /// Requests whose head arrived.
    arrivals,
    /// Requests that were refused before they ran.
    refused,
    /// Effects that took place.
    effects,
    /// Look-ups that were answered.
    lookups,
}

/// Adds one.
pub(crate) fn bump(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// Adds `count`.
pub(crate) fn add(counter: &AtomicU64, count: u64) {
    counter.fetch_add(count, Ordering::Relaxed);
}
