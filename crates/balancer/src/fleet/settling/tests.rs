//! Tests of the wait for the peers' state.

use super::*;

const MS: u64 = 1_000_000;

/// Guards against a process without a disk that admits clients before it knows their placements: the peers it asked first
/// had not read them yet.
#[test]
fn peers_are_asked_again_before_their_state_counts_as_complete() {
    let mut settling = Settling::new(0);
    assert_eq!(settling.step(199 * MS), SettlingStep::Wait);
    settling.on_news(100 * MS);
    assert_eq!(settling.step(299 * MS), SettlingStep::Wait);
    assert_eq!(settling.step(300 * MS), SettlingStep::RequestState);
    settling.on_news(310 * MS);
    assert_eq!(settling.step(509 * MS), SettlingStep::Wait);
    assert_eq!(settling.step(510 * MS), SettlingStep::Finish);
}

#[test]
fn ends_at_deadline_whatever_arrives() {
    let mut settling = Settling::new(0);
    for at in 1..600 {
        settling.on_news(at * MS);
        assert_eq!(settling.step(at * MS), SettlingStep::Wait);
    }
    assert_eq!(settling.due_at(), 600 * MS);
    assert_eq!(settling.step(600 * MS), SettlingStep::Finish);
}
