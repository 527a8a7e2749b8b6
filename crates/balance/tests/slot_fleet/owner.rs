//! The side of the gateways that own slots.

use super::*;

impl SlotFleet {
    pub(super) fn ledger(
        &mut self,
        owner: usize,
        backend: BackendRef,
    ) -> Option<(&mut SlotLedger, SlotTerms)> {
        let role = match self.owners(owner, backend.index) {
            [Some(first), _] if first == owner => OwnerRole::First,
            [_, Some(second)] if second == owner => OwnerRole::Standby,
            _ => return None,
        };
        let terms = SlotTerms {
            role,
            threshold: self.plan.threshold,
            slots: self.plan.slots,
        };
        let key = (owner, backend.index, backend.generation);
        let now = self.now;
        let ledger = self
            .ledgers
            .entry(key)
            .or_insert_with(|| SlotLedger::open(now));
        Some((ledger, terms))
    }

    pub(super) fn on_ask(
        &mut self,
        request: usize,
        step: u32,
        owner: usize,
        lease: LeaseId,
        backend: BackendRef,
        wait: Span,
    ) {
        let now = self.now;
        let ask = LeaseAsk {
            lease,
            asker: None,
            urgency: self.requests[request].urgency,
            wait,
        };
        let reply = match self.ledger(owner, backend) {
            Some((ledger, terms)) => ledger.ask(ask, &terms, now),
            None => {
                self.ledgers
                    .remove(&(owner, backend.index, backend.generation));
                LeaseReply::NotOwner
            }
        };
        if reply == LeaseReply::Queued {
            self.asked_by.insert(lease, (request, step));
        }
        let to = self.requests[request].gateway;
        self.message(
            owner,
            to,
            Event::Reply {
                request,
                step,
                owner,
                reply,
            },
        );
    }

    pub(super) fn on_release(
        &mut self,
        owner: usize,
        lease: LeaseId,
        backend: BackendRef,
        end: LeaseEnd,
    ) {
        let now = self.now;
        if let Some((ledger, _)) = self.ledger(owner, backend) {
            ledger.release(lease, end, now);
        }
        self.grant_queued(owner, backend);
    }

    pub(super) fn grant_queued(&mut self, owner: usize, backend: BackendRef) {
        let now = self.now;
        let Some((ledger, terms)) = self.ledger(owner, backend) else {
            return;
        };
        for ask in ledger.grant_queued(&terms, now) {
            if let Some((request, step)) = self.asked_by.remove(&ask.lease) {
                let reply = LeaseReply::Granted(terms.role);
                let to = self.requests[request].gateway;
                self.message(
                    owner,
                    to,
                    Event::Reply {
                        request,
                        step,
                        owner,
                        reply,
                    },
                );
            }
        }
    }

    pub(super) fn on_renew(&mut self, owner: usize, lease: LeaseId, backend: BackendRef) {
        let now = self.now;
        if let Some((ledger, _)) = self.ledger(owner, backend) {
            ledger.renew(lease, now);
        }
    }

    pub(super) fn on_renew_round(&mut self) {
        self.at(RENEW_INTERVAL, Event::RenewRound);
        for (gateway, release) in std::mem::take(&mut self.released) {
            if let Event::Release { owner, .. } = release {
                self.message(gateway, owner, release);
            }
        }
        let running = self
            .running
            .iter()
            .map(|request| self.requests[*request].clone());
        let running: Vec<Request> = running.filter(|state| self.is_up(state.gateway)).collect();
        for state in running {
            let first = self.owners(state.gateway, state.backend.index)[0];
            let other = state.granted_by.filter(|owner| Some(*owner) != first);
            for owner in [first, other].into_iter().flatten() {
                let (lease, backend) = (state.lease, state.backend);
                self.message(
                    state.gateway,
                    owner,
                    Event::Renew {
                        owner,
                        lease,
                        backend,
                    },
                );
            }
        }
        let known: Vec<(usize, usize, usize)> = self.ledgers.keys().copied().collect();
        for (owner, index, generation) in known {
            self.grant_queued(owner, BackendRef { index, generation });
        }
    }
}
