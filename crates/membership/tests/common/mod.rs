//! A simulated fleet whose members exchange datagrams through a faulty network.

#![allow(dead_code, unreachable_pub)]

use std::collections::BTreeMap;
use std::net::SocketAddr;

use oleander_base::prelude::*;
use oleander_membership::{
    MemberState, Membership, MembershipAction, MembershipSettings, SelfDescription,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const STEP: Span = Span::from_millis(50);

/// The faults of the simulated network; loss and duplication are probabilities.
#[derive(Debug, Clone, Copy, Default)]
pub struct NetworkFaults {
    pub loss: f64,
    pub duplication: f64,
    /// The maximum delay of a datagram, in steps of 50 ms.
    pub delay: u64,
}

pub struct SimNode {
    pub membership: Membership,
    pub me: SelfDescription,
    pub running: bool,
    pub paused: bool,
    pub resume_count: u32,
    /// Nodes in different partitions cannot communicate.
    pub partition: u32,
}

enum Event {
    Datagram {
        from: usize,
        to: InstanceId,
        bytes: Vec<u8>,
    },
    Dial {
        from: usize,
        address: SocketAddr,
    },
}

pub struct SimFleet {
    pub nodes: Vec<SimNode>,
    pub now: MonoTime,
    pub network_faults: NetworkFaults,
    pub sent: u64,
    queue: BTreeMap<(u64, u64), Event>,
    next_serial: u64,
    rng: ChaCha8Rng,
}

pub fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7000))
}

impl SimFleet {
    pub fn new(seed: u64) -> Self {
        Self {
            nodes: Vec::new(),
            now: MonoTime(1_000_000),
            network_faults: NetworkFaults::default(),
            sent: 0,
            queue: BTreeMap::new(),
            next_serial: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Starts an instance that serves, and returns its index.
    pub fn start(&mut self, number: u8, centre: &str, seeds: &[u8]) -> usize {
        let instance = InstanceId {
            address: address(number),
            incarnation: self.rng.random(),
        };
        let me = SelfDescription {
            instance,
            centre: CentreId::from_name(centre),
            weight: 100,
        };
        let seeds = seeds.iter().map(|seed| address(*seed)).collect();
        let settings = MembershipSettings::default();
        let random_seed = self.rng.random();
        let mut membership = Membership::new(settings, me, seeds, random_seed, self.now);
        membership.serve(self.now);
        self.nodes.push(SimNode {
            membership,
            me,
            running: true,
            paused: false,
            resume_count: 0,
            partition: 0,
        });
        self.nodes.len() - 1
    }

    /// Starts `count` instances in each data centre, all with the first instance as their seed.
    pub fn start_fleet(&mut self, centres: &[&str], count: u8) {
        for (index, centre) in centres.iter().enumerate() {
            for member in 0..count {
                self.start(index as u8 * 20 + member, centre, &[0]);
            }
        }
    }

    pub fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until the condition holds and returns the time it took, or `None` after `limit`.
    pub fn run_until(&mut self, limit: Span, condition: impl Fn(&Self) -> bool) -> Option<Span> {
        let start = self.now;
        while self.now.since(start) < limit {
            if condition(self) {
                return Some(self.now.since(start));
            }
            self.step();
        }
        None
    }

    pub fn step(&mut self) {
        self.now = self.now + STEP;
        for index in 0..self.nodes.len() {
            if self.is_running(index) {
                let now = self.now;
                self.nodes[index].membership.tick(now);
                self.run_actions(index);
            }
        }
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now.0 {
                break;
            }
            let event = entry.remove();
            self.deliver(event);
        }
    }

    fn is_running(&self, index: usize) -> bool {
        self.nodes[index].running && !self.nodes[index].paused
    }

    fn is_connected(&self, from: usize, to: usize) -> bool {
        self.nodes[from].partition == self.nodes[to].partition
    }

    fn deliver(&mut self, event: Event) {
        match event {
            Event::Datagram { from, to, bytes } => {
                let index = self.nodes.iter().position(|n| n.me.instance == to);
                let Some(index) = index.filter(|i| self.is_running(*i)) else {
                    return;
                };
                if self.is_connected(from, index) {
                    let sender = self.nodes[from].me.instance;
                    let now = self.now;
                    assert!(self.nodes[index].membership.receive(sender, &bytes, now));
                    self.run_actions(index);
                }
            }
            Event::Dial { from, address } => {
                if !self.is_running(from) {
                    return;
                }
                let found = (0..self.nodes.len()).find(|i| {
                    let at = self.nodes[*i].me.instance.address;
                    at == address && self.is_running(*i) && self.is_connected(from, *i)
                });
                let found = found.map(|i| self.nodes[i].me.instance);
                let now = self.now;
                self.nodes[from]
                    .membership
                    .on_dial_result(address, found, now);
                self.run_actions(from);
            }
        }
    }

    /// Checks the invariants of a node and executes its actions.
    pub fn run_actions(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if let Err(error) = node.membership.verify() {
            panic!("{error}\n{}", node.membership.dump());
        }
        for action in node.membership.take_actions() {
            match action {
                MembershipAction::Send { to, datagram } => self.enqueue(index, to, &datagram),
                MembershipAction::Dial { address } => {
                    let from = index;
                    self.push(STEP, Event::Dial { from, address });
                }
                MembershipAction::Resumed { .. } => self.nodes[index].resume_count += 1,
                MembershipAction::Superseded => {}
            }
        }
    }

    fn enqueue(&mut self, from: usize, to: InstanceId, bytes: &[u8]) {
        assert!(bytes.len() <= 1_100, "a datagram of {} bytes", bytes.len());
        self.sent += 1;
        let copies = 1 + u32::from(self.rng.random_bool(self.network_faults.duplication));
        for _ in 0..copies {
            if self.rng.random_bool(self.network_faults.loss) {
                continue;
            }
            let steps = self.rng.random_range(0..=self.network_faults.delay);
            let delay = Span::from_millis(1 + steps * 50);
            let bytes = bytes.to_owned();
            self.push(delay, Event::Datagram { from, to, bytes });
        }
    }

    fn push(&mut self, delay: Span, event: Event) {
        self.next_serial += 1;
        self.queue
            .insert(((self.now + delay).0, self.next_serial), event);
    }

    pub fn state(&self, observer: usize, target: usize) -> MemberState {
        let view = self.nodes[observer].membership.view();
        view.state(self.nodes[target].me.instance)
    }

    /// Returns whether every other running node sees the target in this state.
    pub fn all_see(&self, target: usize, state: MemberState) -> bool {
        (0..self.nodes.len())
            .filter(|observer| self.nodes[*observer].running && *observer != target)
            .all(|observer| self.state(observer, target) == state)
    }

    /// Returns whether all running nodes see each other as live and all others as gone.
    pub fn has_converged(&self) -> bool {
        (0..self.nodes.len()).all(|target| {
            if self.nodes[target].running {
                self.all_see(target, MemberState::Live)
            } else {
                self.all_see(target, MemberState::Gone)
            }
        })
    }

    pub fn dump(&self) -> String {
        let running = self.nodes.iter().filter(|node| node.running);
        running.map(|node| node.membership.dump()).collect()
    }
}
