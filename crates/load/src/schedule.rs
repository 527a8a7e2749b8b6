//! The schedule of all calls of a run, a pure function of the scenario.
//!
//! The arrivals of each class are a Poisson process whose rate changes at the start and end of its
//! bursts. Every class and operation draws from its own random stream, so that a change to one
//! class leaves the arrivals of the others unchanged.

use oleander_base::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::scenario::{ClassPlan, CustomerPlan, OperationPlan, Scenario, SizePlan};

/// Random stream of the first operation; the streams below it belong to the classes.
const FIRST_OPERATION_STREAM: u64 = 1 << 32;

/// The request that a call makes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlannedKind {
    /// A completion of a model.
    Completion {
        /// The index of the class in the scenario.
        class: usize,
        /// The size of the prompt, in tokens.
        prompt_tokens: u32,
        /// The length of the answer that the prompt requests, in tokens; at most the class's limit.
        answer_tokens: u32,
        /// The number of the prompt prefix that it shares with other prompts of the class.
        prefix: Option<u32>,
    },
    /// A call of a plain service.
    Operation {
        /// The index of the operation in the scenario.
        operation: usize,
        /// Whether the caller sends the call twice.
        repeated: bool,
    },
}

/// One call of the schedule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedCall {
    /// When the call is due, from the start of the schedule.
    pub at: Span,
    /// The serial number in the order of time.
    pub serial: u64,
    /// The index of the customer in the scenario.
    pub customer: usize,
    /// The entry VM that the load balancer picks, as a random number that is taken modulo the
    /// number of entry VMs.
    pub entry: u32,
    /// The request that the call makes.
    pub kind: PlannedKind,
}

/// All calls of a run in the order of time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Schedule {
    /// The calls, ordered by the time at which they are due.
    pub calls: Vec<PlannedCall>,
}

/// An interval with a constant arrival rate per second; it starts where the previous step ends.
#[derive(Debug, Clone, Copy, PartialEq)]
struct RateStep {
    until_s: f64,
    rate: f64,
}

impl Schedule {
    /// Draws the schedule of a scenario.
    pub fn draw(scenario: &Scenario) -> Self {
        let mut calls = Vec::new();
        for (number, class) in scenario.classes.iter().enumerate() {
            let mut random = random_stream(scenario.seed, number as u64);
            for at in arrivals(&class_steps(scenario, class), &mut random) {
                let kind = draw_completion(number, class, &mut random);
                calls.push(draw_call(at, kind, &scenario.customers, &mut random));
            }
        }
        for (number, operation) in scenario.operations.iter().enumerate() {
            let mut random = random_stream(scenario.seed, FIRST_OPERATION_STREAM + number as u64);
            for at in arrivals(&operation_steps(scenario, operation), &mut random) {
                let repeated = random.random_bool(operation.repeat_share.clamp(0.0, 1.0));
                let kind = PlannedKind::Operation {
                    operation: number,
                    repeated,
                };
                calls.push(draw_call(at, kind, &scenario.customers, &mut random));
            }
        }
        calls.sort_by_key(|call| call.at);
        for (serial, call) in calls.iter_mut().enumerate() {
            call.serial = serial as u64;
        }
        Self { calls }
    }
}

fn random_stream(seed: u64, number: u64) -> ChaCha8Rng {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(number);
    random
}

fn class_steps(scenario: &Scenario, class: &ClassPlan) -> Vec<RateStep> {
    let bursts: Vec<_> = scenario
        .bursts
        .iter()
        .filter(|burst| burst.class == class.name)
        .collect();
    let mut edges: Vec<f64> = bursts
        .iter()
        .flat_map(|burst| [burst.from_s, burst.to_s])
        .filter(|edge| *edge > 0.0 && *edge < scenario.duration_s)
        .collect();
    edges.push(scenario.duration_s);
    edges.sort_by(f64::total_cmp);
    let base = scenario.class_rate(class);
    let mut steps = Vec::with_capacity(edges.len());
    let mut from_s = 0.0;
    for until_s in edges {
        let middle = (from_s + until_s) / 2.0;
        let factor: f64 = bursts
            .iter()
            .filter(|burst| burst.from_s <= middle && middle < burst.to_s)
            .map(|burst| burst.factor)
            .product();
        steps.push(RateStep {
            until_s,
            rate: base * factor,
        });
        from_s = until_s;
    }
    steps
}

fn operation_steps(scenario: &Scenario, operation: &OperationPlan) -> Vec<RateStep> {
    vec![RateStep {
        until_s: scenario.duration_s,
        rate: operation.rate * scenario.demand,
    }]
}

/// Draws the arrival times. An interval that crosses the end of a step is drawn again from there,
/// which is valid because a Poisson process is memoryless.
fn arrivals(steps: &[RateStep], random: &mut ChaCha8Rng) -> Vec<Span> {
    let mut times = Vec::new();
    let mut now_s = 0.0;
    for step in steps {
        if step.rate <= 0.0 {
            now_s = step.until_s;
            continue;
        }
        loop {
            let unit: f64 = random.random();
            now_s -= (1.0 - unit).ln() / step.rate;
            if now_s >= step.until_s {
                break;
            }
            times.push(Span((now_s * 1_000_000.0) as u64));
        }
        now_s = step.until_s;
    }
    times
}

fn draw_call(
    at: Span,
    kind: PlannedKind,
    customers: &[CustomerPlan],
    random: &mut ChaCha8Rng,
) -> PlannedCall {
    PlannedCall {
        at,
        serial: 0,
        customer: draw_customer(customers, random),
        entry: random.random(),
        kind,
    }
}

fn draw_customer(customers: &[CustomerPlan], random: &mut ChaCha8Rng) -> usize {
    let total: f64 = customers.iter().map(|customer| customer.weight).sum();
    let mut left = random.random::<f64>() * total;
    for (number, customer) in customers.iter().enumerate() {
        left -= customer.weight;
        if left < 0.0 {
            return number;
        }
    }
    customers.len() - 1
}

fn draw_completion(number: usize, class: &ClassPlan, random: &mut ChaCha8Rng) -> PlannedKind {
    PlannedKind::Completion {
        class: number,
        prompt_tokens: draw_size(&class.prompt, random),
        answer_tokens: draw_size(&class.answer, random),
        prefix: (class.prefixes > 0).then(|| random.random_range(0..class.prefixes)),
    }
}

/// Draws a size from a log-normal distribution with the mean of the plan, rounded and limited to
/// between 1 and the largest size.
fn draw_size(size: &SizePlan, random: &mut ChaCha8Rng) -> u32 {
    let location = size.mean.ln() - size.spread * size.spread / 2.0;
    let drawn = (location + size.spread * draw_normal(random)).exp();
    (drawn.round() as u32).clamp(1, size.limit.max(1))
}

/// Draws from the standard normal distribution by the Box-Muller transform (1958).
fn draw_normal(random: &mut ChaCha8Rng) -> f64 {
    let radius: f64 = 1.0 - random.random::<f64>();
    let angle: f64 = random.random::<f64>() * std::f64::consts::TAU;
    (-2.0 * radius.ln()).sqrt() * angle.cos()
}
