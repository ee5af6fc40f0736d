//! Five processes and 10,000 clients on a virtual clock: a twentieth of what they tell each other is lost, a process
//! dies, servers drain and start anew, the network is cut in two for 3 s, and meanwhile the version rolls on, is taken
//! back, or skips one.

mod support;

use support::fleet::{Deed, Figures, Fleet};

/// What goes wrong in each run: a drain and a new start, a death, a cut while two versions run.
fn usual() -> Vec<(u64, Deed)> {
    vec![
        (40_000, Deed::Drain(1)),
        (70_000, Deed::Restart(1)),
        (90_000, Deed::Die(3)),
        (95_000, Deed::Start(3, 0)),
        (160_000, Deed::Cut(true)),
        (163_000, Deed::Cut(false)),
    ]
}

fn run(name: &str, seed: u64, changes: &[(u64, Deed)]) -> Figures {
    let mut script = usual();
    script.extend_from_slice(changes);
    let figures = Fleet::new(seed).play(script, 320_000);
    println!("{name}, seed {seed}: {figures:?}");
    figures
}

fn holds(figures: &Figures) {
    assert!(figures.returns_owed > 10_000, "{figures:?}");
    let landed = figures.landed as f64 / figures.returns_owed as f64;
    assert!(landed >= 0.995, "{landed} land: {figures:?}");
    assert_eq!(
        (figures.moved_by_version, figures.flaps, figures.led_back),
        (0, 0, 0),
        "{figures:?}"
    );
    // What is lost twice can't be known.
    assert!(figures.flaps_by_loss <= 4, "{figures:?}");
}

#[test]
fn a_roll_over_two_minutes_keeps_everybody() {
    for seed in [1, 2, 3] {
        let at = |process: usize| (120_000 + 30_000 * process as u64, Deed::Adopt(process, 1));
        let figures = run("roll", seed, &[0, 1, 2, 3, 4].map(at));
        holds(&figures);
        // What no longer holds is moved, at 40 a second over all.
        assert!(figures.redealt > 200, "{figures:?}");
        assert!(figures.most_redealt_in_10_s <= 400 + 80, "{figures:?}");
        assert_eq!(figures.left_behind, 0, "{figures:?}");
    }
}

#[test]
fn a_rollback_keeps_everybody() {
    for seed in [1, 2] {
        let on =
            [0, 1, 2].map(|process| (120_000 + 20_000 * process as u64, Deed::Adopt(process, 1)));
        let back =
            [0, 1, 2].map(|process| (190_000 + 20_000 * process as u64, Deed::Adopt(process, 0)));
        holds(&run("rollback", seed, &[on, back].concat()));
    }
}

#[test]
fn a_version_that_skips_one_keeps_everybody() {
    for seed in [1, 2] {
        let first = [(120_000, Deed::Adopt(0, 1)), (130_000, Deed::Adopt(1, 1))];
        let then = [2, 0, 3, 1, 4]
            .map(|process| (140_000 + 20_000 * process as u64, Deed::Adopt(process, 2)));
        holds(&run("skip", seed, &[&first[..], &then[..]].concat()));
    }
}

#[test]
fn a_process_that_dies_and_starts_with_the_old_version_in_the_middle_of_a_roll_turns_nothing_round()
{
    let at = |process: usize| (120_000 + 30_000 * process as u64, Deed::Adopt(process, 1));
    let again = [(155_000, Deed::Die(4)), (158_000, Deed::Start(4, 0))];
    holds(&run(
        "old start",
        1,
        &[&again[..], &[0, 1, 2, 3, 4].map(at)[..]].concat(),
    ));
}
