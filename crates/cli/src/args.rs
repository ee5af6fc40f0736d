//! Command-line arguments.

use std::path::PathBuf;
use std::time::Duration;

use clap::{Args as ClapArgs, Parser, Subcommand};
use serde_json::{Value, json};

use crate::api::CliError;

const EXIT_CODES: &str = "Exit codes:
  0  success
  1  local error: a file, or the balancer could not run
  2  invalid command line
  3  the administration API could not be reached
  4  the API rejected the request: not found, conflict, stale revision or invalid fields
  5  the token is missing or wrong
  6  the API is temporarily unable to handle the request; try again";

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
    /// Run the balancer: the platform front if LB_CONFIG is set, and what the operator's file configures
    #[command(after_help = "Example:\n  beaconflow serve --operator deploy/nats.toml")]
    Serve {
        /// The operator's file
        #[arg(long, value_name = "FILE")]
        operator: Option<PathBuf>,
    },
    /// Check an operator's file and print all errors in it
    #[command(after_help = "Example:\n  beaconflow check deploy/nats.toml")]
    Check {
        /// The operator's file
        file: PathBuf,
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
    /// Take a server out of service, change its weight or pin a group or tenant, until the override expires
    #[command(subcommand, after_help = OVERRIDE_EXAMPLES)]
    Override(OverrideCommand),
    /// Show the servers with their listed and their effective state
    Farm {
        #[command(flatten)]
        api_options: ApiOptions,
    },
    /// Show the admission queue and the counters of each account
    #[command(after_help = ADMISSION_EXAMPLES)]
    Admission {
        /// Refresh at this interval, such as 1s or 500ms, until Ctrl-C
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
        /// The shell
        shell: clap_complete::Shell,
    },
}

/// Address and token of the administration API, and the output format.
#[derive(ClapArgs)]
pub struct ApiOptions {
    /// Address of the administration API
    #[arg(
        long,
        env = "BEACONFLOW_API",
        value_name = "HOST:PORT",
        default_value = "127.0.0.1:8222",
        global = true
    )]
    pub api: String,
    /// File with the API's token; without it, the variable BEACONFLOW_TOKEN is used
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
    /// List active overrides with their remaining time
    List {
        #[command(flatten)]
        api_options: ApiOptions,
    },
    /// Show one override
    Show {
        /// Id of the override
        id: u64,
        #[command(flatten)]
        api_options: ApiOptions,
    },
    /// Change the expiry of an override to a later or an earlier time
    Extend {
        #[command(flatten)]
        target: OverrideTarget,
        #[command(flatten)]
        expiry: ExpiryOptions,
    },
    /// Remove an override now
    Remove {
        #[command(flatten)]
        target: OverrideTarget,
    },
}

/// The kind of a new override, with its arguments.
#[derive(Subcommand)]
pub enum NewOverride {
    /// Take a server out of service: it gets no new connections
    Out {
        /// Name of the server in the list
        server: String,
        /// Migrate its established connections at this rate per second; without it they stay
        #[arg(long, value_name = "A-SECOND")]
        moves: Option<f64>,
    },
    /// Multiply the listed weight of a server
    Weight {
        /// Name of the server in the list
        server: String,
        /// Factor, from 0.001 to 100
        factor: f64,
    },
    /// Send new connections of a group or tenant to one server
    Pin {
        /// Name of the server in the list
        server: String,
        /// The group
        #[arg(long, conflicts_with = "tenant", required_unless_present = "tenant")]
        group: Option<String>,
        /// The tenant
        #[arg(long)]
        tenant: Option<String>,
        /// If the server can't accept them, reject them with a retry delay instead of using another server
        #[arg(long)]
        strict: bool,
    },
}

/// The expiry of an override.
#[derive(ClapArgs)]
#[group(required = true, multiple = false)]
pub struct ExpiryOptions {
    /// Duration from now, such as 90s, 30m or 2h
    #[arg(long = "for", value_name = "SPAN", value_parser = humantime::parse_duration, global = true)]
    pub duration: Option<Duration>,
    /// Expiry time, such as 2026-12-01T18:00:00Z
    #[arg(long, value_name = "TIME", global = true)]
    pub until: Option<String>,
}

/// Expiry, author and reason of a new override, and options of the request.
#[derive(ClapArgs)]
pub struct AddOptions {
    /// Duration from now, such as 90s, 30m or 2h
    #[arg(long = "for", value_name = "SPAN", value_parser = humantime::parse_duration, global = true)]
    pub duration: Option<Duration>,
    /// Expiry time, such as 2026-12-01T18:00:00Z
    #[arg(long, value_name = "TIME", conflicts_with = "duration", global = true)]
    pub until: Option<String>,
    /// Author of the override
    #[arg(long, env = "BEACONFLOW_WHO", global = true)]
    pub who: Option<String>,
    /// Reason for the override
    #[arg(long, global = true)]
    pub why: Option<String>,
    /// Create it even if it leaves no ready server
    #[arg(long, global = true)]
    pub force: bool,
    /// Idempotency key: a request that is repeated with the same key takes effect once
    #[arg(long, global = true)]
    pub key: Option<String>,
}

/// The override to change.
#[derive(ClapArgs)]
pub struct OverrideTarget {
    /// Id of the override
    pub id: u64,
    /// Change it only if it still has this revision
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
            "no expiry: give --for SPAN or --until TIME".into(),
        )),
    }
}

impl ExpiryOptions {
    /// The body of a request that changes the expiry.
    pub fn body(&self) -> Result<Value, CliError> {
        expiry(self.duration, self.until.as_deref())
    }
}

impl NewOverride {
    /// The body of a request that creates the override.
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
