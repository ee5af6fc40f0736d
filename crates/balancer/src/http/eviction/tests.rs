//! Tests of which caller gives way.

use std::time::{Duration, Instant};

use super::*;

/// Time after which any caller may be evicted.
const LATER: Duration = Duration::from_millis(50);

/// A caller that was accepted at the time given and has begun its request or sent nothing.
fn caller(accepted_at: Instant, has_begun: bool) -> RequestProgress {
    let mut progress = RequestProgress::start_at(accepted_at);
    if has_begun {
        progress.record_input_at(accepted_at);
    }
    progress
}

/// The kind of the caller that gives way among the numbers of callers of each kind, all of which may be evicted.
fn evicted_kind(
    rule: &EvictionRule,
    begun: usize,
    silent: usize,
    now: Instant,
) -> Option<CallerKind> {
    let begun_callers = std::iter::repeat_n(caller(now - LATER, true), begun);
    let silent_callers = std::iter::repeat_n(caller(now - LATER, false), silent);
    let callers = begun_callers.chain(silent_callers);
    rule.candidate(
        callers.map(|progress| (CallerKind::of(&progress), progress)),
        now,
    )
}

fn evict(rule: &mut EvictionRule, count: usize, has_begun: bool, now: Instant) {
    for _ in 0..count {
        rule.record_eviction(&caller(now - LATER, has_begun), now);
    }
}

#[test]
fn caller_of_larger_kind_gives_way() {
    let (rule, now) = (EvictionRule::default(), Instant::now());
    assert_eq!(evicted_kind(&rule, 9, 7, now), Some(CallerKind::Begun));
    assert_eq!(evicted_kind(&rule, 8, 8, now), Some(CallerKind::Begun));
    assert_eq!(evicted_kind(&rule, 7, 9, now), Some(CallerKind::Silent));
    assert_eq!(evicted_kind(&rule, 0, 0, now), None);
}

/// Guards against a late call that is evicted because callers that keep coming back have not begun at that instant.
#[test]
fn evicted_callers_count_as_their_kind() {
    let (mut rule, now) = (EvictionRule::default(), Instant::now());
    evict(&mut rule, MAX_EVICTED, true, now);
    assert_eq!(evicted_kind(&rule, 4, 12, now), Some(CallerKind::Begun));
    evict(&mut rule, MAX_EVICTED, false, now);
    assert_eq!(evicted_kind(&rule, 12, 4, now), Some(CallerKind::Silent));
}

#[test]
fn evicted_callers_count_for_a_second() {
    let (mut rule, now) = (EvictionRule::default(), Instant::now());
    evict(&mut rule, MAX_EVICTED, true, now);
    let before_end = now + EVICTED_DURATION - Duration::from_millis(1);
    assert_eq!(
        evicted_kind(&rule, 4, 12, before_end),
        Some(CallerKind::Begun)
    );
    let at_end = now + EVICTED_DURATION;
    assert_eq!(evicted_kind(&rule, 4, 12, at_end), Some(CallerKind::Silent));
}

#[test]
fn other_kind_gives_way_where_larger_one_has_left() {
    let (mut rule, now) = (EvictionRule::default(), Instant::now());
    evict(&mut rule, MAX_EVICTED, true, now);
    assert_eq!(evicted_kind(&rule, 0, 16, now), Some(CallerKind::Silent));
    evict(&mut rule, MAX_EVICTED, false, now);
    assert_eq!(evicted_kind(&rule, 16, 0, now), Some(CallerKind::Begun));
}

/// Guards against a caller that is evicted before its request can have arrived.
#[test]
fn caller_is_kept_for_its_least_time() {
    let (rule, now) = (EvictionRule::default(), Instant::now());
    let callers = || [((), caller(now, true))].into_iter();
    let evictable_at = rule.next_eviction_at(callers(), now).expect("one is there");
    assert!(evictable_at > now);
    assert!(rule.candidate(callers(), now).is_none());
    assert!(rule.candidate(callers(), evictable_at).is_some());
}

/// Guards against callers that keep their places because others come back.
#[test]
fn callers_that_are_silent_for_long_are_not_shielded_by_evicted_ones() {
    let (mut rule, now) = (EvictionRule::default(), Instant::now());
    evict(&mut rule, MAX_EVICTED, true, now);
    let kind_at = |silent_for: Duration| {
        let silent = std::iter::repeat_n(caller(now - silent_for, false), 15);
        let callers = silent.chain([caller(now - LATER, true)]);
        rule.candidate(
            callers.map(|progress| (CallerKind::of(&progress), progress)),
            now,
        )
    };
    let almost = MAX_SHIELDED_SILENCE - Duration::from_millis(1);
    assert_eq!(kind_at(almost), Some(CallerKind::Begun));
    assert_eq!(kind_at(MAX_SHIELDED_SILENCE), Some(CallerKind::Silent));
}
