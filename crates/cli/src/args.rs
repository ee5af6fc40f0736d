//! The command line.

use std::path::PathBuf;
use std::time::Duration;

use clap::{Args as ClapArgs, Parser, Subcommand};
use serde_json::{Value, json};

use crate::api::CliError;

const EXIT_CODES: &str = "Exit codes:
  0  done
  1  a fault here: a file, or the program could not serve
  2  the command line is wrong
  3  the administration API was not reached
  4  the API refused: unknown, conflicting, stale or faulty
  5  the token is missing or wrong
  6  the API could not do it now; try again";

const ADMISSION_EXAMPLES: &str = "Examples:
  beaconflow admission
  beaconflow admission --every 1s
  beaconflow admission --json";

const OVERRIDE_EXAMPLES: &str = "Examples:
  beaconflow override add out g4 --for 2h --who ada --why 'new power supply' --moves 5
  beaconflow override add weight g4 0.25 --for 30m --who ada --why 'slow disk'
  beaconflow override add pin g2 --group clonmel --strict --until 2026-12-01T18:00:00Z --who ada --why tests
  beaconflow override list
  beaconflow override extend 7 --for 1h
  beaconflow override remove 7";

/// A balancer for long-lived connections.
#[derive(Parser)]
#[command(name = "beaconflow", version, about, after_help = EXIT_CODES, max_term_width = 100)]
pub struct Args {
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Subcommand)]
pub enum Command {
    /// Serve: the platform's front if LB_CONFIG is set, and whatever the operator's file sets up
    #[command(after_help = "Example:\n  beaconflow serve --operator deploy/nats.toml")]
    Serve {
        /// The operator's file
        #[arg(long, value_name = "FILE")]
        operator: Option<PathBuf>,
    },
    /// Check an operator's file and name everything that is wrong with it
    #[command(after_help = "Example:\n  beaconflow check deploy/nats.toml")]
    Check {
        /// The operator's file
        file: PathBuf,
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
    /// Take a server out, change its weight or pin a group or tenant, each until it expires
    #[command(subcommand, after_help = OVERRIDE_EXAMPLES)]
    Override(OverrideCommand),
    /// Show the farm as it is listed and as the decisions see it
    Farm {
        #[command(flatten)]
        api_options: ApiOptions,
    },
    /// Show who waits at the door and what each account got
    #[command(after_help = ADMISSION_EXAMPLES)]
    Admission {
        /// Show it again every so often, as 1s or 500ms, until Ctrl-C
        #[arg(long, value_name = "SPAN", value_parser = humantime::parse_duration)]
        every: Option<Duration>,
        #[command(flatten)]
        api_options: ApiOptions,
    },
    /// Print completions for a shell
    #[command(
        after_help = "Example:\n  beaconflow completions bash > /etc/bash_completion.d/beaconflow"
    )]
    Completions {
        /// Which shell
        shell: clap_complete::Shell,
    },
}

/// Where the administration API is, and how answers are printed.
#[derive(ClapArgs)]
pub struct ApiOptions {
    /// The administration API's address
    #[arg(
        long,
        env = "BEACONFLOW_API",
        value_name = "HOST:PORT",
        default_value = "127.0.0.1:8222",
        global = true
    )]
    pub api: String,
    /// A file with the API's token; else the variable BEACONFLOW_TOKEN is read
    #[arg(long, value_name = "FILE", global = true)]
    pub token_file: Option<PathBuf>,
    /// Print JSON
    #[arg(long, global = true)]
    pub json: bool,
}

#[derive(Subcommand)]
pub enum OverrideCommand {
    /// Add an override
    #[command(after_help = OVERRIDE_EXAMPLES)]
    Add {
        #[command(subcommand)]
        new_override: NewOverride,
        #[command(flatten)]
        options: AddOptions,
        #[command(flatten)]
        api_options: ApiOptions,
    },
    /// List the overrides that hold, with the time that each has left
    List {
        #[command(flatten)]
        api_options: ApiOptions,
    },
    /// Show one override
    Show {
        /// Its number
        id: u64,
        #[command(flatten)]
        api_options: ApiOptions,
    },
    /// Change when an override ends, to later or sooner
    Extend {
        #[command(flatten)]
        target: OverrideTarget,
        #[command(flatten)]
        expiry: ExpiryOptions,
    },
    /// End an override now
    Remove {
        #[command(flatten)]
        target: OverrideTarget,
    },
}

/// What an override does.
#[derive(Subcommand)]
pub enum NewOverride {
    /// A server gets nothing new
    Out {
        /// Its name in the list
        server: String,
        /// Move its standing connections, so many a second; they stay if this is not given
        #[arg(long, value_name = "A-SECOND")]
        moves: Option<f64>,
    },
    /// A server's listed weight is multiplied
    Weight {
        /// Its name in the list
        server: String,
        /// By this, from 0.001 to 100
        factor: f64,
    },
    /// New connections of a group or tenant go to one server
    Pin {
        /// Its name in the list
        server: String,
        /// The group
        #[arg(long, conflicts_with = "tenant", required_unless_present = "tenant")]
        group: Option<String>,
        /// The tenant
        #[arg(long)]
        tenant: Option<String>,
        /// Refuse them, with a time to come back, where the server can't take them
        #[arg(long)]
        strict: bool,
    },
}

/// When an override ends.
#[derive(ClapArgs)]
#[group(required = true, multiple = false)]
pub struct ExpiryOptions {
    /// So long from now, as 90s, 30m or 2h
    #[arg(long = "for", value_name = "SPAN", value_parser = humantime::parse_duration, global = true)]
    pub duration: Option<Duration>,
    /// At this time, as 2026-12-01T18:00:00Z
    #[arg(long, value_name = "TIME", global = true)]
    pub until: Option<String>,
}

/// Who asks for an override, and what else there is to say of it.
#[derive(ClapArgs)]
pub struct AddOptions {
    /// So long from now, as 90s, 30m or 2h
    #[arg(long = "for", value_name = "SPAN", value_parser = humantime::parse_duration, global = true)]
    pub duration: Option<Duration>,
    /// Until this time, as 2026-12-01T18:00:00Z
    #[arg(long, value_name = "TIME", conflicts_with = "duration", global = true)]
    pub until: Option<String>,
    /// Who asks
    #[arg(long, env = "BEACONFLOW_WHO", global = true)]
    pub who: Option<String>,
    /// What for
    #[arg(long, global = true)]
    pub why: Option<String>,
    /// Enter it even if it leaves no ready server
    #[arg(long, global = true)]
    pub force: bool,
    /// A key of your own: the same request sent twice with it is carried out once
    #[arg(long, global = true)]
    pub key: Option<String>,
}

/// Which override is changed.
#[derive(ClapArgs)]
pub struct OverrideTarget {
    /// Its number
    pub id: u64,
    /// Only if it still has this revision
    #[arg(long)]
    pub revision: Option<u64>,
    #[command(flatten)]
    pub api_options: ApiOptions,
}

fn expiry(duration: Option<Duration>, until: Option<&str>) -> Result<Value, CliError> {
    match (duration, until) {
        (Some(duration), _) => Ok(json!({ "expires_in_s": duration.as_secs_f64() })),
        (None, Some(until)) => Ok(json!({ "expires_at": until })),
        (None, None) => Err(CliError::Usage(
            "say when it ends: --for SPAN or --until TIME".into(),
        )),
    }
}

impl ExpiryOptions {
    /// The body of a change.
    pub fn body(&self) -> Result<Value, CliError> {
        expiry(self.duration, self.until.as_deref())
    }
}

impl NewOverride {
    /// The body of a new override.
    pub fn body(&self, options: &AddOptions) -> Result<Value, CliError> {
        let mut body = expiry(options.duration, options.until.as_deref())?;
        let needed = |field: &str, value: &Option<String>| {
            value
                .clone()
                .ok_or_else(|| CliError::Usage(format!("--{field} is missing")))
        };
        body["who"] = needed("who", &options.who)?.into();
        body["why"] = needed("why", &options.why)?.into();
        if options.force {
            body["force"] = true.into();
        }
        match self {
            NewOverride::Out { server, moves } => {
                (body["kind"], body["server"]) = ("out".into(), server.as_str().into());
                if let Some(moves) = moves {
                    body["moves_per_s"] = (*moves).into();
                }
            }
            NewOverride::Weight { server, factor } => {
                (body["kind"], body["server"]) = ("weight".into(), server.as_str().into());
                body["factor"] = (*factor).into();
            }
            NewOverride::Pin {
                server,
                group,
                tenant,
                strict,
            } => {
                (body["kind"], body["server"]) = ("pin".into(), server.as_str().into());
                for (field, name) in [("group", group), ("tenant", tenant)] {
                    if let Some(name) = name {
                        body[field] = name.as_str().into();
                    }
                }
                body["mode"] = if *strict { "strict" } else { "prefer" }.into();
            }
        }
        Ok(body)
    }
}
