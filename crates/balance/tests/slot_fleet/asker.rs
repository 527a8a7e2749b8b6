//! The side of the gateways that have requests.

use super::*;

impl SlotFleet {
    pub(super) fn choose(&mut self, request: usize) {
        let state = &self.requests[request];
        let gateway = &self.gateways[state.gateway];
        let is_open =
            |index: &usize| !state.tried.contains(index) && !self.backends[*index].is_down;
        let is_full = |index: &usize| {
            gateway
                .full
                .get(index)
                .is_some_and(|until| self.now < *until)
        };
        let open: Vec<usize> = (0..self.backends.len()).filter(is_open).collect();
        let free: Vec<usize> = open
            .iter()
            .copied()
            .filter(|index| !is_full(index))
            .collect();
        let waits = free.is_empty() || state.tried.len() >= MAX_TRIES;
        let candidates = if waits {
            (0..self.backends.len())
                .filter(|index| !self.backends[*index].is_down)
                .collect()
        } else {
            free
        };
        if candidates.is_empty() || state.waits {
            return;
        }
        let index = candidates[self.random.random_range(0..candidates.len())];
        let generation = self.backends[index].generation;
        let state = &mut self.requests[request];
        state.backend = BackendRef { index, generation };
        state.waits = waits;
        state.place = 0;
        state.asks = 0;
        state.lease = LeaseId(self.random.random());
        self.ask(request);
    }

    /// Asks the owner whose turn it is, or goes on to another backend server.
    pub(super) fn ask(&mut self, request: usize) {
        let state = self.requests[request].clone();
        let owners = self.owners(state.gateway, state.backend.index);
        let Some(owner) = owners.get(state.place).copied().flatten() else {
            self.mark_full(request, NO_OWNER_PAUSE);
            return self.choose(request);
        };
        let is_silent = self.gateways[state.gateway]
            .silent
            .get(&owner)
            .is_some_and(|(until, _)| self.now < *until);
        if is_silent || state.asks == ASKS {
            if state.asks == ASKS {
                let silent = &mut self.gateways[state.gateway].silent;
                let span = match silent.get(&owner) {
                    Some((_, span)) => Span(2 * span.0).min(MAX_SILENT_TIME),
                    None => MIN_SILENT_TIME,
                };
                silent.insert(owner, (self.now + span, span));
                self.release(&state, owner, LeaseEnd::Free);
            }
            let state = &mut self.requests[request];
            state.place += 1;
            state.asks = 0;
            return self.ask(request);
        }
        let state = &mut self.requests[request];
        state.asks += 1;
        state.step += 1;
        let (step, lease, backend) = (state.step, state.lease, state.backend);
        let (wait, from) = (
            if state.waits { SLOT_WAIT } else { Span::ZERO },
            state.gateway,
        );
        self.message(
            from,
            owner,
            Event::Ask {
                request,
                step,
                owner,
                lease,
                backend,
                wait,
            },
        );
        self.at(REPLY_TIMEOUT, Event::Timeout { request, step });
    }

    pub(super) fn on_reply(&mut self, request: usize, step: u32, owner: usize, reply: LeaseReply) {
        let state = self.requests[request].clone();
        self.gateways[state.gateway].silent.remove(&owner);
        if state.step != step || state.granted_by.is_some() {
            return;
        }
        match reply {
            LeaseReply::Granted(_) => {
                let state = &mut self.requests[request];
                state.step += 1;
                state.granted_by = Some(owner);
                self.running.insert(request);
                let backend = state.backend;
                let link = Span::from_millis(1);
                self.at(link, Event::Send { request, backend });
            }
            LeaseReply::Queued => {
                // The timeout is now that of the wait; the step stays, since the grant carries it.
                self.requests[request].asks = ASKS + 1;
                self.at(SLOT_WAIT, Event::Timeout { request, step });
            }
            LeaseReply::Full { retry_ms } => {
                self.mark_full(request, Span::from_millis(u64::from(retry_ms)));
                self.choose(request);
            }
            LeaseReply::NotOwner => {
                let state = &mut self.requests[request];
                state.place += 1;
                state.asks = 0;
                self.ask(request);
            }
        }
    }

    pub(super) fn mark_full(&mut self, request: usize, pause: Span) {
        let state = &mut self.requests[request];
        state.step += 1;
        state.tried.push(state.backend.index);
        let until = self.now + pause;
        self.gateways[state.gateway]
            .full
            .insert(state.backend.index, until);
    }

    pub(super) fn on_timeout(&mut self, request: usize, step: u32) {
        let state = self.requests[request].clone();
        if state.step != step || state.granted_by.is_some() {
            return;
        }
        if state.asks <= ASKS {
            return self.ask(request);
        }
        // It waited in vain.
        let owners = self.owners(state.gateway, state.backend.index);
        if let Some(owner) = owners[state.place.min(1)] {
            self.release(&state, owner, LeaseEnd::Free);
        }
        self.requests[request].step += 1;
    }

    pub(super) fn release(&mut self, state: &Request, owner: usize, end: LeaseEnd) {
        let release = Event::Release {
            owner,
            lease: state.lease,
            backend: state.backend,
            end,
        };
        self.released.push((state.gateway, release));
        self.message(state.gateway, owner, release);
    }

    pub(super) fn on_answer(&mut self, request: usize, end: LeaseEnd) {
        let state = self.requests[request].clone();
        let owner = self.requests[request].granted_by.take();
        self.running.remove(&request);
        if let Some(owner) = owner.filter(|_| self.is_up(state.gateway)) {
            self.release(&state, owner, end);
        }
        if end == LeaseEnd::Rejected {
            self.mark_full(request, NO_OWNER_PAUSE);
            self.choose(request);
        }
    }
}
