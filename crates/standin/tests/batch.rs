//! Tests of the batch, the answers and the prefix cache, without a server.

use oleander_base::prelude::*;
use oleander_base::{CacheEvent, PrefixHash};
use oleander_standin::{
    AnswerCheck, AnswerPlan, BatchSequence, BatchSpeed, EngineBatch, PrefixCache, SequenceId,
    answer_hint,
};

fn speed(batch_limit: u32) -> BatchSpeed {
    BatchSpeed {
        alone: 100.0,
        full: 50.0,
        prefill: 10_000.0,
        batch_limit,
    }
}

fn sequence(number: u64, priority: u8, length: u32) -> BatchSequence {
    let prompt = format!("{number} {}", answer_hint(length));
    BatchSequence {
        id: SequenceId(number),
        priority,
        plan: AnswerPlan::of("model", &prompt, None),
        next_token: 0,
        prompt_left: 100,
    }
}

#[test]
fn every_sequence_gets_each_token_once_and_in_order() {
    let mut batch = EngineBatch::new(speed(4));
    for number in 0..10 {
        batch.submit(sequence(number, (number % 3) as u8, 3 + number as u32));
    }
    let mut next = FastMap::default();
    let mut tokens = Vec::new();
    while batch.plan_step(1.0).is_some() {
        batch.verify().unwrap();
        tokens.clear();
        batch.finish_step(&mut tokens);
        for token in &tokens {
            let expected: &mut u32 = next.entry(token.id).or_default();
            assert_eq!(token.index, *expected);
            *expected += 1;
            assert_eq!(token.last, *expected == 3 + token.id.0 as u32);
        }
    }
    assert_eq!(next.values().sum::<u32>(), (3..13).sum::<u32>());
}

#[test]
fn priority_goes_before_arrival_and_a_full_batch_is_slower() {
    let mut batch = EngineBatch::new(speed(1));
    for (number, priority) in [(1, 5), (2, 0), (3, 2)] {
        batch.submit(sequence(number, priority, 1));
    }
    let mut order = Vec::new();
    while batch.plan_step(1.0).is_some() {
        let mut tokens = Vec::new();
        batch.finish_step(&mut tokens);
        order.extend(tokens.iter().map(|token| token.id.0));
    }
    assert_eq!(order, [2, 3, 1]);
    let speed = speed(16);
    assert!(speed.token_seconds(16) > speed.token_seconds(1));
    assert!((speed.capacity() - 800.0).abs() < 1e-6);
}

#[test]
fn a_cancelled_sequence_is_gone_wherever_it_was() {
    let mut batch = EngineBatch::new(speed(1));
    batch.submit(sequence(1, 0, 5));
    batch.submit(sequence(2, 0, 5));
    batch.plan_step(1.0);
    assert!(batch.cancel(SequenceId(2)).is_some());
    assert!(batch.cancel(SequenceId(1)).is_some());
    assert!(batch.cancel(SequenceId(1)).is_none());
    assert_eq!(batch.plan_step(1.0), None);
    assert_eq!(batch.dump(), "");
}

#[test]
fn the_check_tells_whole_truncated_and_mixed_answers_apart() {
    let plan = AnswerPlan::of("model", &answer_hint(4), None);
    let other = AnswerPlan::of("model", &answer_hint(5), None);
    let text = plan.text();
    assert_eq!(AnswerCheck::of(&plan, &text), AnswerCheck::Whole);
    let half = text.len() / 2 + 3;
    let truncated = AnswerCheck::Truncated { tokens: 2 };
    assert_eq!(AnswerCheck::of(&plan, &text[..half]), truncated);
    let mixed = AnswerCheck::of(&plan, &other.text());
    assert_eq!(mixed, AnswerCheck::Mixed { position: 0 });
    let doubled = text.clone() + &text;
    assert_eq!(
        AnswerCheck::of(&plan, &doubled),
        AnswerCheck::Mixed { position: 4 }
    );
    let limited = AnswerPlan::of("model", &answer_hint(50), Some(7));
    assert_eq!((limited.length, limited.finish_reason()), (7, "length"));
}

#[test]
fn the_cache_drops_the_least_recently_used_prefix_and_leaves_gaps() {
    let mut cache = PrefixCache::new(100, 3);
    let at = MonoTime(1);
    assert_eq!(cache.touch(PrefixHash(1), 40, at), 0);
    assert_eq!(cache.touch(PrefixHash(2), 40, at), 0);
    assert_eq!(cache.touch(PrefixHash(1), 50, at), 40);
    assert_eq!(cache.touch(PrefixHash(3), 40, MonoTime(9)), 0);
    assert_eq!(cache.tokens_of(PrefixHash(2)), None);
    let events = cache.events_after(1, MonoTime(9));
    let expected = vec![
        (2, CacheEvent::Stored(PrefixHash(2))),
        (4, CacheEvent::Stored(PrefixHash(3))),
    ];
    assert_eq!(events, expected);
    assert!(cache.events_after(2, MonoTime(8)).is_empty());
}
