//! A core with a full admission queue.

use beaconflow_overrides::OverrideSet;

use super::super::CoreInput;
use super::super::testing::{Orders, core, opens};
use super::*;
use crate::clock::Clock;

/// Set-ups that the module lets be under way at the start.
const WINDOW: u64 = 12;
const LONG: Duration = Duration::from_secs(60);

/// A core at whose door eighteen of each account wait.
fn full() -> (Core, Arc<Orders>) {
    let (mut core, orders) = (
        core(Clock::start(), OverrideSet::new(0)),
        Arc::new(Orders::default()),
    );
    for id in 0..WINDOW + 36 {
        opens(
            &mut core,
            &orders,
            id,
            if id % 2 == 0 { "acme" } else { "bright" },
            LONG,
        );
    }
    assert_eq!(core.admission.queued(), 36);
    (core, orders)
}

#[test]
fn a_module_that_panics_with_a_full_door_costs_each_transaction_one_final_answer() {
    let (mut core, orders) = full();
    core.restart_policy();
    assert_eq!(core.admission.queued(), 0);
    assert!(
        (0..WINDOW + 36).all(|id| orders.of(id).1 == 1),
        "one answer each"
    );
    // The new module takes newcomers, and the line works as before.
    for id in 100..100 + WINDOW + 3 {
        opens(&mut core, &orders, id, "acme", LONG);
    }
    assert_eq!((orders.of(100), core.admission.queued()), ((1, 0), 3));
}

#[test]
fn a_set_up_that_ends_makes_a_turn_and_one_that_leaves_makes_none() {
    let (mut core, orders) = full();
    core.handle_input(CoreInput::ClientLeft(WINDOW));
    assert_eq!(core.admission.queued(), 35);
    let under_way =
        |orders: &Orders| (0..WINDOW + 36).filter(|id| orders.of(*id).0 > 0).count() as u64;
    assert_eq!(under_way(&orders), WINDOW);
    core.handle_input(CoreInput::AttemptEstablished(0));
    assert!(under_way(&orders) > WINDOW);
    let before = under_way(&orders);
    // A client that leaves while its pass is out makes a turn too.
    core.handle_input(CoreInput::ClientLeft(1));
    assert_eq!(under_way(&orders), before + 1);
    assert_eq!(
        core.admission
            .snapshot(0)
            .accounts
            .iter()
            .map(|account| account.counts.client_left)
            .sum::<u64>(),
        1,
        "at the door"
    );
}

#[test]
fn one_from_before_the_start_waits_at_no_door() {
    let (mut core, orders) = full();
    let held = ClientRequest {
        resumed_server: Some("s0".into()),
        ..core.requests.get(0).expect("open").request.clone()
    };
    core.on_connect_requested(900, held, Arc::<Orders>::clone(&orders));
    assert_eq!(orders.of(900), (1, 0));
}

#[test]
fn one_that_can_no_longer_stand_in_time_is_answered_before_its_time_is_up() {
    let (mut core, orders) = full();
    // Set-ups take half a second here at the quickest.
    core.admission.record_setup(0, 500_000_000);
    opens(&mut core, &orders, 500, "acme", Duration::from_millis(900));
    assert_eq!(orders.of(500), (0, 0));
    // No timer of the core fires here: whoever answers it is the door.
    let began = std::time::Instant::now();
    while orders.of(500) == (0, 0) {
        assert!(began.elapsed() < LONG);
        std::thread::sleep(Duration::from_millis(1));
        core.on_queue_timer();
    }
    assert_eq!(orders.of(500), (0, 1));
    let look = core.admission.snapshot(0);
    assert_eq!(
        look.accounts
            .iter()
            .map(|account| account.counts.timed_out)
            .sum::<u64>(),
        1
    );
}
