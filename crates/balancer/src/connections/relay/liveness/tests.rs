use super::*;

const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
const KEEPALIVE: Keepalive = Keepalive {
    request: b"PING\r\n",
    idle_interval: Duration::from_secs(2),
};

/// A server on a clock that the test sets, in milliseconds.
struct Fixture {
    origin: Instant,
    liveness: ServerLiveness,
}

impl Fixture {
    fn new() -> Fixture {
        let origin = Instant::now();
        let liveness = ServerLiveness::new(origin, UnansweredRequests::default());
        Fixture { origin, liveness }
    }

    fn at(&self, ms: u64) -> Instant {
        self.origin + Duration::from_millis(ms)
    }

    fn ask(&mut self, ms: u64) {
        self.liveness.on_request(self.at(ms), false);
    }

    fn tick_until(&mut self, ms: u64) {
        let ticked_at = self.liveness.ticked_at - self.origin;
        let ticks = (ticked_at.as_millis() as u64 + 100..=ms).step_by(100);
        for tick in ticks {
            self.liveness.on_tick(self.at(tick), false);
        }
    }

    fn left(&self, ms: u64) -> Option<u128> {
        let left = self
            .liveness
            .time_left(self.at(ms), RESPONSE_TIMEOUT, false);
        left.map(|left| left.as_millis())
    }
}

#[test]
fn bytes_sent_do_not_prove_server_alive() {
    let mut server = Fixture::new();
    for ms in (0..1_900).step_by(100) {
        server.liveness.on_sent(16);
        assert!(!server.liveness.needs_keepalive(server.at(ms), &KEEPALIVE));
    }
    assert!(
        server
            .liveness
            .needs_keepalive(server.at(1_900), &KEEPALIVE)
    );
    server.liveness.on_request(server.at(1_900), true);
    assert_eq!(server.left(4_899), Some(1));
    assert_eq!(server.left(4_900), Some(0));
    server.liveness.answer_oldest();
    assert_eq!(server.left(4_900), None, "it owes nothing");
}

#[test]
fn each_request_has_its_own_time() {
    let mut server = Fixture::new();
    (0..3).for_each(|number| server.ask(number * 1_000));
    assert_eq!(server.left(2_900), Some(100));
    server.liveness.answer_oldest();
    assert_eq!(server.left(2_900), Some(1_100));
    server.liveness.answer_all();
    assert_eq!(
        (server.left(9_000), server.liveness.unanswered_count()),
        (None, 0)
    );
}

#[test]
fn answer_behind_bulk_may_be_late_until_server_is_silent() {
    let mut server = Fixture::new();
    server.liveness.on_sent(BULK_BYTES as usize);
    server.ask(1_000);
    assert_eq!(server.left(5_000), Some(1_800), "6.8 s after its last byte");
    server.liveness.on_received(server.at(6_000), 5, false);
    assert_eq!(
        server.left(6_000),
        Some(5_000),
        "10 s after it was asked, since it returns other messages"
    );
    // Once it has answered, nothing lies before the next request.
    server.liveness.answer_oldest();
    server.ask(7_000);
    assert_eq!(server.left(7_000), Some(3_000));
}

#[test]
fn server_that_cannot_be_asked_is_judged_by_its_silence() {
    let server = Fixture::new();
    let left = |ms, is_blocked| {
        server
            .liveness
            .time_left(server.at(ms), RESPONSE_TIMEOUT, is_blocked)
    };
    assert_eq!(left(6_000, true), Some(Duration::from_millis(800)));
    assert_eq!(left(6_000, false), None);
}

#[test]
fn time_in_which_no_answer_is_read_does_not_count() {
    let mut server = Fixture::new();
    server.ask(0);
    server.tick_until(1_000);
    // The process is suspended for ten seconds; what arrived meanwhile is read before the next tick.
    server.ask(11_000);
    server.liveness.on_tick(server.at(11_000), false);
    assert_eq!(server.left(11_000), Some(2_000));
    server.liveness.answer_oldest();
    assert_eq!(server.left(11_000), Some(3_000));
    // The client takes nothing while bytes of the server wait.
    server.liveness.on_tick(server.at(11_500), true);
    assert_eq!(server.left(11_500), Some(3_000));
    // A thread that is held up for half a second was not suspended.
    server.liveness.on_tick(server.at(12_000), false);
    assert_eq!(server.left(12_000), Some(2_500));
}

#[test]
fn transfer_of_message_does_not_count_beyond_a_trickle() {
    let mut server = Fixture::new();
    server.ask(0);
    server.liveness.on_received(server.at(1_000), 4_096, false);
    for ms in (1_100..=9_000).step_by(100) {
        server.liveness.on_received(server.at(ms), 4_096, true);
    }
    assert_eq!(server.left(9_000), Some(2_000));
    // Five bytes in a second excuse 5 ms.
    server.liveness.on_received(server.at(10_000), 5, true);
    assert_eq!(server.left(10_000), Some(1_005));
}

#[test]
fn unanswered_requests_keep_their_age_in_another_process() {
    let mut former = Fixture::new();
    former.ask(0);
    former.ask(500);
    let unanswered = former.liveness.unanswered(former.at(2_000));
    assert_eq!((unanswered.count, unanswered.age.as_millis()), (2, 2_000));
    let next = ServerLiveness::new(former.at(2_000), unanswered);
    assert_eq!(
        next.time_left(former.at(2_900), RESPONSE_TIMEOUT, false),
        Some(Duration::from_millis(100))
    );
}
