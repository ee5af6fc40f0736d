//! The program `beaconflow`: the balancer and its operator commands.

#![forbid(unsafe_code)]

mod api;
mod args;
mod show;

use std::io::{IsTerminal, Write};
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use beaconflow_balancer::log;
use beaconflow_balancer::operator::OperatorConfig;
use beaconflow_balancer::serve;
use clap::{CommandFactory, Parser};
use serde_json::{Value, json};
use tracing::error;

use crate::api::{Api, CliError};
use crate::args::{Args, Command, OverrideCommand, OverrideTarget};

/// Minimum interval at which a live table is refreshed.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_millis(100);

fn main() -> ExitCode {
    let result = match Args::parse().command {
        Command::Serve { operator } => return run_server(operator.as_deref()),
        Command::Check { file, json } => check(&file, json),
        Command::Completions { shell } => {
            clap_complete::generate(
                shell,
                &mut Args::command(),
                "beaconflow",
                &mut std::io::stdout(),
            );
            Ok(())
        }
        Command::Override(command) => run_override_command(command),
        Command::Admission { every, api_options } => admission(every, &api_options),
        Command::Farm { api_options } => {
            let response =
                Api::new(&api_options).and_then(|api| api.call("GET", "/v1/farm", None, &[]));
            response.and_then(|servers| print(api_options.json, &servers, show::server_list))
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("beaconflow: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn run_server(operator: Option<&Path>) -> ExitCode {
    let config =
        operator.map(|path| OperatorConfig::read(path).map(|operator| (path.to_owned(), operator)));
    let result = config
        .transpose()
        .map_err(|errors| errors.to_string())
        .and_then(|operator| {
            let log_format = operator
                .as_ref()
                .map(|(_, operator)| operator.log)
                .unwrap_or_default();
            log::start(log_format);
            serve::serve(operator)
        });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::start(Default::default());
            error!(part = "main", why = error, "cannot start");
            ExitCode::FAILURE
        }
    }
}

/// Checks an operator's file and prints all errors in it.
fn check(file: &Path, as_json: bool) -> Result<(), CliError> {
    let errors = OperatorConfig::read(file)
        .err()
        .map(|errors| errors.0)
        .unwrap_or_default();
    let mut out = std::io::stdout();
    let written = if as_json {
        writeln!(
            out,
            "{}",
            json!({ "file": file, "ok": errors.is_empty(), "faults": errors })
        )
    } else if errors.is_empty() {
        writeln!(out, "{}: valid", file.display())
    } else {
        errors.iter().try_for_each(|error| writeln!(out, "{error}"))
    };
    written.map_err(|error| CliError::Local(error.to_string()))?;
    match errors.len() {
        0 => Ok(()),
        1 => Err(CliError::Local("1 error".into())),
        count => Err(CliError::Local(format!("{count} errors"))),
    }
}

fn run_override_command(command: OverrideCommand) -> Result<(), CliError> {
    match command {
        OverrideCommand::Add {
            new_override,
            options,
            api_options,
        } => {
            let body = new_override.body(&options)?;
            let key: Vec<(&str, &str)> = options
                .key
                .iter()
                .map(|key| ("Idempotency-Key", key.as_str()))
                .collect();
            let response =
                Api::new(&api_options)?.call("POST", "/v1/overrides", Some(&body), &key)?;
            print(api_options.json, &response, show::override_details)
        }
        OverrideCommand::List { api_options } => {
            let response = Api::new(&api_options)?.call("GET", "/v1/overrides", None, &[])?;
            print(api_options.json, &response, show::override_list)
        }
        OverrideCommand::Show { id, api_options } => {
            let response =
                Api::new(&api_options)?.call("GET", &format!("/v1/overrides/{id}"), None, &[])?;
            print(api_options.json, &response, show::override_details)
        }
        OverrideCommand::Extend {
            target:
                OverrideTarget {
                    id,
                    revision,
                    api_options,
                },
            expiry,
        } => {
            let body = expiry.body()?;
            change_override("PATCH", id, revision, Some(&body), &api_options)
        }
        OverrideCommand::Remove {
            target:
                OverrideTarget {
                    id,
                    revision,
                    api_options,
                },
        } => change_override("DELETE", id, revision, None, &api_options),
    }
}

/// Prints the table of the admission queue, once or at an interval. A failed request ends the command, since the table
/// on the screen would be out of date.
fn admission(every: Option<Duration>, api_options: &args::ApiOptions) -> Result<(), CliError> {
    let api = Api::new(api_options)?;
    loop {
        let response = api.call("GET", "/v1/admission", None, &[])?;
        if every.is_some() && !api_options.json && std::io::stdout().is_terminal() {
            // Clears the screen, so that the table is refreshed in place.
            print!("\x1b[H\x1b[2J");
        }
        print(api_options.json, &response, show::admission)?;
        match every {
            Some(span) => std::thread::sleep(span.max(MIN_REFRESH_INTERVAL)),
            None => return Ok(()),
        }
    }
}

fn change_override(
    method: &str,
    id: u64,
    revision: Option<u64>,
    body: Option<&Value>,
    api_options: &args::ApiOptions,
) -> Result<(), CliError> {
    let tag = revision.map(|revision| format!("\"{revision}\""));
    let headers: Vec<(&str, &str)> = tag.iter().map(|tag| ("If-Match", tag.as_str())).collect();
    let response =
        Api::new(api_options)?.call(method, &format!("/v1/overrides/{id}"), body, &headers)?;
    print(api_options.json, &response, show::override_details)
}

/// Prints a response as a table or as JSON. A closed pipe is not an error.
fn print(as_json: bool, response: &Value, show: impl Fn(&Value) -> String) -> Result<(), CliError> {
    let text = if as_json {
        response.to_string()
    } else {
        show(response)
    };
    match writeln!(std::io::stdout(), "{}", text.trim_end()) {
        Err(error) if error.kind() != std::io::ErrorKind::BrokenPipe => {
            Err(CliError::Local(error.to_string()))
        }
        _ => Ok(()),
    }
}
