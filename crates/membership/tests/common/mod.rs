//! A few memberships that exchange datagrams through a queue with faults.

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

/// Faults of the queue, as chances.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    pub loss: f64,
    pub duplication: f64,
    /// The longest delay of a datagram in steps.
    pub delay: u64,
}

pub struct MeshNode {
    pub membership: Membership,
    pub me: SelfDescription,
    pub running: bool,
    pub paused: bool,
    pub resumes: u32,
    /// Nodes of different groups do not hear each other.
    pub group: u32,
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

pub struct Mesh {
    pub nodes: Vec<MeshNode>,
    pub now: MonoTime,
    pub faults: Faults,
    pub sent: u64,
    queue: BTreeMap<(u64, u64), Event>,
    serial: u64,
    rng: ChaCha8Rng,
}

pub fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7000))
}

impl Mesh {
    pub fn new(seed: u64) -> Self {
        Self {
            nodes: Vec::new(),
            now: MonoTime(1_000_000),
            faults: Faults::default(),
            sent: 0,
            queue: BTreeMap::new(),
            serial: 0,
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
        self.nodes.push(MeshNode {
            membership,
            me,
            running: true,
            paused: false,
            resumes: 0,
            group: 0,
        });
        self.nodes.len() - 1
    }

    /// Starts `count` instances in each of the data centres, all with the first one as seed.
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

    /// Runs until the condition holds; returns the time it took, or none after `limit`.
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
            if self.is_active(index) {
                let now = self.now;
                self.nodes[index].membership.tick(now);
                self.after(index);
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

    fn is_active(&self, index: usize) -> bool {
        self.nodes[index].running && !self.nodes[index].paused
    }

    fn hears(&self, from: usize, to: usize) -> bool {
        self.nodes[from].group == self.nodes[to].group
    }

    fn deliver(&mut self, event: Event) {
        match event {
            Event::Datagram { from, to, bytes } => {
                let index = self.nodes.iter().position(|n| n.me.instance == to);
                let Some(index) = index.filter(|i| self.is_active(*i)) else {
                    return;
                };
                if self.hears(from, index) {
                    let sender = self.nodes[from].me.instance;
                    let now = self.now;
                    assert!(self.nodes[index].membership.receive(sender, &bytes, now));
                    self.after(index);
                }
            }
            Event::Dial { from, address } => {
                if !self.is_active(from) {
                    return;
                }
                let found = (0..self.nodes.len()).find(|i| {
                    let at = self.nodes[*i].me.instance.address;
                    at == address && self.is_active(*i) && self.hears(from, *i)
                });
                let found = found.map(|i| self.nodes[i].me.instance);
                let now = self.now;
                self.nodes[from]
                    .membership
                    .on_dial_result(address, found, now);
                self.after(from);
            }
        }
    }

    /// Checks the invariants and carries the actions out.
    pub fn after(&mut self, index: usize) {
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
                MembershipAction::Resumed { .. } => self.nodes[index].resumes += 1,
                MembershipAction::Superseded => {}
            }
        }
    }

    fn enqueue(&mut self, from: usize, to: InstanceId, bytes: &[u8]) {
        assert!(bytes.len() <= 1_100, "a datagram of {} bytes", bytes.len());
        self.sent += 1;
        let copies = 1 + u32::from(self.rng.random_bool(self.faults.duplication));
        for _ in 0..copies {
            if self.rng.random_bool(self.faults.loss) {
                continue;
            }
            let steps = self.rng.random_range(0..=self.faults.delay);
            let delay = Span::from_millis(1 + steps * 50);
            let bytes = bytes.to_owned();
            self.push(delay, Event::Datagram { from, to, bytes });
        }
    }

    fn push(&mut self, delay: Span, event: Event) {
        self.serial += 1;
        self.queue
            .insert(((self.now + delay).0, self.serial), event);
    }

    pub fn state(&self, viewer: usize, subject: usize) -> MemberState {
        let view = self.nodes[viewer].membership.view();
        view.state(self.nodes[subject].me.instance)
    }

    /// Returns whether every running node sees the subject in this state.
    pub fn all_see(&self, subject: usize, state: MemberState) -> bool {
        (0..self.nodes.len())
            .filter(|viewer| self.nodes[*viewer].running && *viewer != subject)
            .all(|viewer| self.state(viewer, subject) == state)
    }

    /// Returns whether all running nodes see each other live and all others gone.
    pub fn is_settled(&self) -> bool {
        (0..self.nodes.len()).all(|subject| {
            if self.nodes[subject].running {
                self.all_see(subject, MemberState::Live)
            } else {
                self.all_see(subject, MemberState::Gone)
            }
        })
    }

    pub fn dump(&self) -> String {
        let running = self.nodes.iter().filter(|node| node.running);
        running.map(|node| node.membership.dump()).collect()
    }
}
