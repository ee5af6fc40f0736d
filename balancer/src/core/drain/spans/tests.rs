//! The spans of a drain at deadlines of all lengths.

use std::time::Duration;

use super::Spans;

/// The program may be killed so long after the longest deadline.
const KILLED_AFTER: Duration = Duration::from_millis(700);

#[test]
fn three_seconds_and_longer_leave_all_the_time_there_is() {
    for seconds in [3, 4, 60, 1 << 40] {
        assert_eq!(Spans::within(Duration::from_secs(seconds)), Spans::UNBOUNDED, "{seconds} s");
    }
}

#[test]
fn at_every_deadline_all_is_done_in_order_before_the_program_may_be_killed() {
    for millis in (0..=3_000).step_by(50) {
        let deadline = Duration::from_millis(millis);
        let Spans { moves, newcomers, answers, least, most } = Spans::within(deadline);
        assert!(most < deadline + KILLED_AFTER, "{millis} ms: gone before it is killed");
        assert!(answers < most && moves < most, "{millis} ms: nobody is left for the very end");
        assert!(newcomers <= answers && least <= most, "{millis} ms");
        assert!(moves > Duration::ZERO && newcomers > Duration::ZERO, "{millis} ms");
        // One that came within the front's grace of 0.4 s is served, where there is time at all.
        assert!(millis < 200 || newcomers >= Duration::from_millis(400), "{millis} ms: {newcomers:?}");
        // Half a line may hold a move up for 0.7 s; where that is all the time, moves begin at once.
        let held_up = moves + Duration::from_millis(700);
        assert!(millis < 500 || held_up <= most, "{millis} ms: {moves:?} of {most:?}");
    }
}
