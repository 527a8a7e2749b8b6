//! The other gateways that a request can be relayed to while this gateway is cut off from backend servers.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::sync::Arc;

use oleander_base::{FastMap, monotonic_now};

use crate::core::GatewayCore;
use crate::prelude::*;

/// How long a gateway is the last choice that could not be reached or is itself cut off.
const AVOID_TIME: Span = Span::from_secs(1);

/// A gateway that takes relayed requests.
#[derive(Debug, Clone)]
pub(crate) struct RelayTarget {
    pub(crate) name: Arc<str>,
    /// The address that callers connect to.
    pub(crate) frontend: SocketAddr,
}

/// The other gateways as targets of relays, with those that failed lately.
#[derive(Debug, Default)]
pub(crate) struct RelayTargets {
    avoided: RefCell<FastMap<Arc<str>, MonoTime>>,
}

impl RelayTargets {
    /// Picks a live gateway at random, so that the requests of those that are cut off spread over all others;
    /// one that failed lately is picked only if no other is left.
    pub(crate) fn pick(&self, core: &GatewayCore, tried: &[Arc<str>]) -> Option<RelayTarget> {
        let settings = core.settings();
        let view = core.view.borrow();
        let untried = view
            .relay_targets(&settings.name)
            .filter(|target| !tried.contains(&target.name));
        untried.min_by_key(|target| (self.is_avoided(&target.name), core.random_number()))
    }

    /// Notes that a gateway could not be reached or is cut off as well.
    pub(crate) fn avoid(&self, name: &Arc<str>) {
        let until = monotonic_now() + AVOID_TIME;
        self.avoided.borrow_mut().insert(Arc::clone(name), until);
    }

    fn is_avoided(&self, name: &str) -> bool {
        let until = self.avoided.borrow().get(name).copied();
        until.is_some_and(|until| monotonic_now() < until)
    }
}
