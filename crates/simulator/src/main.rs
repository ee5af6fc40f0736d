//! The command `beaconflow-simulator`: runs scenarios and prints the results.

#![forbid(unsafe_code)]

mod show;

use std::io::{IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use beaconflow_simulator::SECOND;
use beaconflow_simulator::compare;
use beaconflow_simulator::engine::Engine;
use beaconflow_simulator::measures::{Saved, SavedServiceCounts};
use beaconflow_simulator::policies::Policy;
use beaconflow_simulator::scenario::Scenario;
use clap::{Parser, Subcommand};

/// Name and version of the format of saved results.
const SCHEMA: &str = "beaconflow-simulator result 1";

const EXIT_CODES: &str = "Exit codes:
  0  the run finished and no rule was broken
  1  a file cannot be read or written, or a scenario is invalid
  2  the command line is invalid
  3  a rule was broken; the output names the rule, the time and the seed";

/// Command line of the simulator. The help shows the package description.
#[derive(Parser)]
#[command(name = "beaconflow-simulator", version, about, after_help = EXIT_CODES, max_term_width = 100)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a scenario on a virtual clock
    #[command(
        after_help = "Example:\n  beaconflow-simulator run crates/simulator/scenarios/hang.toml --save hang.json"
    )]
    Run {
        /// Scenario file
        scenario: PathBuf,
        /// Balancing policy: beaconflow, round-robin, least-connections or random-of-two
        #[arg(long, default_value_t)]
        policy: Policy,
        /// Seed to use instead of the one in the file
        #[arg(long)]
        seed: Option<u64>,
        /// Save the result to a file as JSON
        #[arg(long, value_name = "FILE")]
        save: Option<PathBuf>,
        /// Print the result as JSON
        #[arg(long)]
        json: bool,
    },
    /// Compare two policies, or one policy in two scenarios, with the same seeds
    #[command(
        after_help = "Examples:\n  beaconflow-simulator compare crates/simulator/scenarios/hang.toml --policies beaconflow round-robin\n  \
        beaconflow-simulator compare crates/simulator/scenarios/hang.toml crates/simulator/scenarios/resets.toml --seeds 40"
    )]
    Compare {
        /// Scenario file of the first side
        first: PathBuf,
        /// Scenario file of the second side; the first one if omitted
        second: Option<PathBuf>,
        /// Balancing policy of each side
        #[arg(long, num_args = 2, value_names = ["FIRST", "SECOND"], default_values = ["beaconflow", "beaconflow"])]
        policies: Vec<Policy>,
        /// Number of seeds
        #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(2..=10_000))]
        seeds: u64,
        /// Print the result as JSON
        #[arg(long)]
        json: bool,
    },
    /// Check a scenario and report everything that is wrong with it
    #[command(
        after_help = "Example:\n  beaconflow-simulator check crates/simulator/scenarios/hang.toml"
    )]
    Check {
        /// Scenario file
        scenario: PathBuf,
    },
}

fn main() -> ExitCode {
    let result = match Args::parse().command {
        Command::Run {
            scenario,
            policy,
            seed,
            save,
            json,
        } => run(&scenario, policy, seed, save.as_deref(), json),
        Command::Compare {
            first,
            second,
            policies,
            seeds,
            json,
        } => compare(
            &first,
            second.as_deref().unwrap_or(&first),
            (policies[0], policies[1]),
            seeds,
            json,
        ),
        Command::Check { scenario } => read_scenario(&scenario).map(|_| {
            println!("{}: sound", scenario.display());
            true
        }),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(3),
        Err(error) => {
            eprintln!("beaconflow-simulator: {error}");
            ExitCode::FAILURE
        }
    }
}

fn read_scenario(path: &Path) -> Result<Scenario, String> {
    let path_text = path.display();
    let text = std::fs::read_to_string(path).map_err(|error| format!("{path_text}: {error}"))?;
    Scenario::parse(&text).map_err(|error| {
        let errors: Vec<String> = error
            .0
            .iter()
            .map(|message| format!("{path_text}: {message}"))
            .collect();
        errors.join("\n")
    })
}

/// Runs a scenario and prints or saves the result. Returns whether no rule was broken.
fn run(
    path: &Path,
    policy: Policy,
    seed: Option<u64>,
    save: Option<&Path>,
    json: bool,
) -> Result<bool, String> {
    let mut scenario = read_scenario(path)?;
    scenario.seed = seed.unwrap_or(scenario.seed);
    let started_at = Instant::now();
    let mut engine = Engine::new(&scenario, policy);
    let shows_progress = std::io::stderr().is_terminal();
    engine.run(|engine| {
        if shows_progress {
            eprint!(
                "\r{} of {:.0} s simulated",
                engine.now() / SECOND,
                scenario.seconds
            );
        }
        true
    });
    if shows_progress {
        eprintln!();
    }
    let wall_time_s = started_at.elapsed().as_secs_f64();
    let saved = Saved {
        schema: SCHEMA,
        seed: scenario.seed,
        classes: engine
            .measures
            .classes
            .iter()
            .map(SavedServiceCounts::from)
            .collect(),
        accounts: engine
            .measures
            .accounts
            .iter()
            .map(SavedServiceCounts::from)
            .collect(),
        seconds: engine.measures.seconds.clone(),
        broken: engine
            .checker
            .violations()
            .iter()
            .map(ToString::to_string)
            .collect(),
        events: engine.measures.events,
        fleet: engine
            .measures
            .fleet
            .saved(scenario.reports_fleet_figures()),
    };
    let result_json = serde_json::to_string(&saved).map_err(|error| error.to_string())?;
    if let Some(file) = save {
        std::fs::write(file, &result_json)
            .map_err(|error| format!("{}: {error}", file.display()))?;
    }
    let output = if json {
        result_json
    } else {
        show::format_run(
            &engine,
            wall_time_s,
            scenario.seed,
            scenario.reports_fleet_figures(),
        )
    };
    // A closed pipe is not an error.
    let _ = writeln!(std::io::stdout(), "{}", output.trim_end());
    Ok(engine.checker.violation_count == 0)
}

/// Runs both sides with the same seeds and prints the differences. Returns whether no rule was broken.
fn compare(
    first: &Path,
    second: &Path,
    policies: (Policy, Policy),
    seeds: u64,
    json: bool,
) -> Result<bool, String> {
    let (first_scenario, second_scenario) = (read_scenario(first)?, read_scenario(second)?);
    let (shows_progress, finished_count) = (std::io::stderr().is_terminal(), AtomicU64::new(0));
    let pairs = compare::run_pairs(
        [
            (&first_scenario, policies.0),
            (&second_scenario, policies.1),
        ],
        1..seeds + 1,
        |_| {
            let finished = finished_count.fetch_add(1, Ordering::Relaxed) + 1;
            if shows_progress {
                eprint!("\r{finished} of {seeds} pairs finished");
            }
        },
    );
    if shows_progress {
        eprintln!();
    }
    let (table, rows) = show::format_comparison(&pairs, seeds);
    let violation_count: u64 = pairs
        .iter()
        .flatten()
        .map(|figures| figures.violations)
        .sum();
    let output = if json {
        serde_json::json!({ "seeds": seeds, "figures": rows, "broken": violation_count })
            .to_string()
    } else {
        format!(
            "first: {}, {}\nsecond: {}, {}\n{}\nseeds 1 to {seeds}, paired; {violation_count} times a rule was broken",
            first.display(),
            policies.0,
            second.display(),
            policies.1,
            table
        )
    };
    let _ = writeln!(std::io::stdout(), "{}", output.trim_end());
    Ok(violation_count == 0)
}
