//! Measures the time of one choice by the number of backend servers and of requests running there.
//!
//! `cargo run --release -p oleander-balance --example choice_cost` prints nanoseconds per choice
//! (docs/CAPACITY.md).

#[path = "../tests/common/mod.rs"]
mod common;

use std::hint::black_box;
use std::time::Instant;

use common::{NoIdleConnections, entry};
use oleander_balance::{
    ChoiceInput, FleetTable, LatencyModel, LoadReport, PartId, PromptPart, ServiceTraffic,
    choose_backend,
};
use oleander_base::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The largest number of choices timed in one measurement.
const ROUNDS: u32 = 20_000;

fn main() {
    println!("backend servers  running each  ns a choice");
    for backends in [18, 140, 1_000, 12_000] {
        for running in [2, 40] {
            let cost = measure(backends, running);
            println!("{backends:>15}  {running:>12}  {cost:>11}");
        }
    }
}

fn measure(backends: u32, running: u32) -> u128 {
    let now = MonoTime(1_000_000);
    let mut fleet = fleet(backends, running, now);
    let latency = LatencyModel::default();
    let traffic = ServiceTraffic::default();
    let mut random = ChaCha8Rng::seed_from_u64(11);
    let rounds = ROUNDS.min(200_000_000 / (backends * 1_000).max(1)).max(100);
    let started = Instant::now();
    for _ in 0..rounds {
        let parts = [
            PromptPart {
                id: PartId(random.random_range(0..400)),
                tokens: 13_300,
            },
            PromptPart {
                id: PartId(random.random()),
                tokens: 3_720,
            },
        ];
        let input = ChoiceInput {
            service: "model",
            centre: "north",
            parts: &parts,
            prompt_tokens: 17_020,
            urgency: 0,
            first_target: Span::from_millis(2_000),
            pause_limit: Some(Span::from_millis(600)),
            connections: &NoIdleConnections,
            tried: &[],
            accepts_full: false,
            version: None,
            gateways: 6,
            service_latency: &latency,
            traffic: &traffic,
            pace: None,
            now,
        };
        black_box(choose_backend(&mut fleet, &input, || random.random()));
    }
    started.elapsed().as_nanos() / u128::from(rounds)
}

fn fleet(backends: u32, running: u32, now: MonoTime) -> FleetTable {
    let mut fleet = FleetTable::default();
    for index in 0..backends {
        fleet.upsert(entry(&format!("i-{index}"), "model", 128));
    }
    for key in fleet.service_keys("model").to_vec() {
        let state = &mut fleet.get_mut(key).expect("the key is there").state;
        state.reported(
            LoadReport {
                running,
                waiting: 0,
            },
            now,
        );
        for _ in 0..running / 6 {
            state.sent(2_000.0, false, now);
        }
    }
    fleet
}
