//! Tests of rate limits, splits, retry budgets, hedging and length estimates.

use std::net::{Ipv4Addr, SocketAddr};

use oleander_base::prelude::*;
use oleander_decide::{
    CustomerAllotment, HedgeConfig, HedgePolicy, HedgeQuery, InstanceDemand, LengthEstimator,
    LimitError, RateLimiter, RetryBudget, RetryConfig, split_rate, split_slots,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn demands(values: &[f64]) -> Vec<InstanceDemand> {
    let demand = |(index, value): (usize, &f64)| InstanceDemand {
        instance: InstanceId {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, index as u16 + 1)),
            incarnation: 1,
        },
        demand: *value,
    };
    values.iter().enumerate().map(demand).collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn shares_keep_to_the_limit(
        limit in 0.0f64..1_000.0,
        values in prop::collection::vec(0.0f64..500.0, 1..40),
    ) {
        let shares = split_rate(limit, &demands(&values));
        let sum: f64 = shares.iter().map(|share| share.share).sum();
        prop_assert!(sum <= limit * (1.0 + 1e-12));
        prop_assert!(sum >= limit * 0.999, "{sum} of {limit}");
        let total: f64 = values.iter().sum();
        if total <= limit {
            let met = shares.iter().zip(&values).all(|(s, v)| s.share >= v * 0.999);
            prop_assert!(met, "a demand that fits is not met: {shares:?}");
        }
    }

    #[test]
    fn whole_shares_keep_to_the_limit(
        limit in 0u32..200,
        values in prop::collection::vec(0.0f64..50.0, 1..40),
    ) {
        let shares = split_slots(limit, &demands(&values));
        let sum: f64 = shares.iter().map(|share| share.share).sum();
        prop_assert!(sum <= f64::from(limit));
        prop_assert!(shares.iter().all(|share| share.share.fract() == 0.0));
        prop_assert!(f64::from(limit) - sum < 1.0);
    }

    #[test]
    fn a_limiter_never_passes_its_rate(
        rate in 1.0f64..100.0,
        gaps in prop::collection::vec(0u64..200_000, 1..400),
    ) {
        let mut now = MonoTime(0);
        let allotment = CustomerAllotment { rate: Some(rate), concurrency: None };
        let mut limiter = RateLimiter::open(allotment, now);
        let mut passed = 0.0;
        for gap in gaps {
            now = now + Span(gap);
            if limiter.try_start(now).is_ok() {
                passed += 1.0;
            }
            prop_assert!(passed <= rate * (now.0 as f64 / 1e6 + 1.0) + 1e-6);
        }
    }

    #[test]
    fn retries_stay_in_proportion(events in prop::collection::vec(any::<bool>(), 1..2_000)) {
        let config = RetryConfig::default();
        let mut budget = RetryBudget::open(config);
        let (mut successes, mut retries) = (0.0, 0.0);
        for is_success in events {
            if is_success {
                budget.succeeded();
                successes += 1.0;
            } else if budget.try_take() {
                retries += 1.0;
            }
            prop_assert!(retries <= config.saved_limit + successes * config.earned + 1e-6);
        }
    }
}

#[test]
fn small_demands_are_met_whole() {
    let shares = split_rate(100.0, &demands(&[10.0, 200.0, 300.0]));
    let shares: Vec<f64> = shares.iter().map(|share| share.share).collect();
    assert_eq!(shares, [10.0, 45.0, 45.0]);
}

#[test]
fn concurrency_is_limited_and_demand_counts_refusals() {
    let now = MonoTime(0);
    let allotment = CustomerAllotment {
        rate: None,
        concurrency: Some(2),
    };
    let mut limiter = RateLimiter::open(allotment, now);
    assert!(limiter.try_start(now).is_ok());
    assert!(limiter.try_start(now).is_ok());
    let refused = limiter.try_start(now).unwrap_err();
    assert!(matches!(refused, LimitError::Concurrency { .. }));
    assert_eq!(refused.verdict(), Verdict::NotRun);
    let demand = limiter.take_demand(now);
    assert_eq!(demand.concurrency, 3);
    assert!(demand.rate > 0.0);
    limiter.finished();
    assert!(limiter.try_start(now).is_ok());
}

#[test]
fn hedges_are_for_short_idempotent_requests_within_the_budget() {
    let mut policy = HedgePolicy::open(HedgeConfig::default());
    let mut budget = RetryBudget::open(RetryConfig {
        earned: 0.1,
        saved_limit: 1.0,
    });
    let query = HedgeQuery {
        idempotent: true,
        expected_tokens: 20,
        waited: Span::from_secs(2),
        saturated: false,
    };
    assert!(!policy.try_hedge(&query, &mut budget));
    for index in 0..1_000u64 {
        policy.observe(Span::from_millis(100 + index % 100));
    }
    let delay = policy.delay().unwrap().as_millis_f64();
    assert!((180.0..215.0).contains(&delay), "{delay}");
    let refused = [
        HedgeQuery {
            idempotent: false,
            ..query
        },
        HedgeQuery {
            expected_tokens: 2_000,
            ..query
        },
        HedgeQuery {
            saturated: true,
            ..query
        },
        HedgeQuery {
            waited: Span::from_millis(100),
            ..query
        },
    ];
    for query in refused {
        assert!(!policy.try_hedge(&query, &mut budget));
    }
    assert!(policy.try_hedge(&query, &mut budget));
    assert!(!policy.try_hedge(&query, &mut budget));
}

#[test]
fn lengths_are_learnt_by_class_and_customer() {
    let mut estimator = LengthEstimator::open();
    let (class, usual, verbose) = (ClassId(1), CustomerId(1), CustomerId(2));
    for _ in 0..200 {
        estimator.observe(class, usual, 100);
        estimator.observe(class, verbose, 900);
    }
    let of = |customer, limit| estimator.estimate(class, customer, limit);
    assert!(of(usual, 4_000) < 200);
    assert!(of(verbose, 4_000) > 800);
    assert_eq!(of(verbose, 50), 50);
    let new = of(CustomerId(3), 4_000);
    assert!((300..700).contains(&new), "{new}");
}
