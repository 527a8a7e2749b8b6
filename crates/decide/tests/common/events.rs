//! A generator of the events that a pool's policy may see, in any order.

use oleander_base::prelude::*;
use oleander_base::{EndKind, EngineRole, LoadReport};
use proptest::prelude::*;

/// The backend servers of the pool.
pub(crate) const BACKENDS: u32 = 4;

/// One call of the policy, or the passing of time.
#[derive(Debug, Clone)]
pub(crate) enum Event {
    Offer {
        class: u8,
        customer: u32,
        waited: u64,
        owner: u16,
        avoid: Option<u32>,
    },
    OfferMany {
        class: u8,
        count: u8,
    },
    Reoffer {
        pick: usize,
        owner: u16,
    },
    Withdraw {
        pick: usize,
    },
    Release {
        pick: usize,
        end: EndKind,
        tokens: u32,
    },
    Adopt {
        class: u8,
        backend: u32,
        age: u64,
    },
    Report {
        backend: u32,
        running: u32,
        age: u64,
        leaving: bool,
    },
    Backends {
        leaving: u8,
        unreachable: u8,
        slots: u32,
    },
    Progress {
        pick: usize,
    },
    CacheStored {
        backend: u32,
        prefix: u64,
    },
    InstanceGone {
        owner: u16,
    },
    Advance {
        millis: u64,
    },
}

/// Returns a strategy that generates any event.
pub(crate) fn event() -> impl Strategy<Value = Event> {
    let end = prop_oneof![
        6 => Just(EndKind::Finished),
        1 => Just(EndKind::Cancelled),
        2 => Just(EndKind::Failed),
        1 => Just(EndKind::Refused),
    ];
    let avoid = prop::option::weighted(0.1, 0..BACKENDS);
    prop_oneof![
        10 => (0u8..4, 0u32..3, 0u64..3_000, 0u16..3, avoid).prop_map(
            |(class, customer, waited, owner, avoid)| Event::Offer { class, customer, waited, owner, avoid }
        ),
        2 => (0u8..4, 1u8..20).prop_map(|(class, count)| Event::OfferMany { class, count }),
        2 => (any::<usize>(), 0u16..3).prop_map(|(pick, owner)| Event::Reoffer { pick, owner }),
        1 => any::<usize>().prop_map(|pick| Event::Withdraw { pick }),
        12 => (any::<usize>(), end, 0u32..200)
            .prop_map(|(pick, end, tokens)| Event::Release { pick, end, tokens }),
        1 => (0u8..4, 0..BACKENDS + 1, 0u64..9_000)
            .prop_map(|(class, backend, age)| Event::Adopt { class, backend, age }),
        2 => (0..BACKENDS, 0u32..12, 0u64..12_000, prop::bool::weighted(0.1)).prop_map(
            |(backend, running, age, leaving)| Event::Report { backend, running, age, leaving }
        ),
        1 => (any::<u8>(), any::<u8>(), 0u32..6).prop_map(|(leaving, unreachable, slots)| {
            Event::Backends { leaving, unreachable, slots }
        }),
        1 => any::<usize>().prop_map(|pick| Event::Progress { pick }),
        1 => (0..BACKENDS, 0u64..4).prop_map(|(backend, prefix)| Event::CacheStored { backend, prefix }),
        1 => (0u16..3).prop_map(|owner| Event::InstanceGone { owner }),
        8 => (0u64..1_500).prop_map(|millis| Event::Advance { millis }),
    ]
}

/// Returns a load report of an engine that reports no models.
pub(crate) fn report(running: u32, age: u64, leaving: bool) -> LoadReport {
    LoadReport {
        age: Span::from_millis(age),
        running,
        waiting: 0,
        batch_limit: 8,
        tokens_per_second: 0.0,
        cache_used: 0.0,
        role: EngineRole::Full,
        models: Vec::new(),
        leaving,
    }
}
