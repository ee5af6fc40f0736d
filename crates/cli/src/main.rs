//! The program `beaconflow`: the balancer, and the commands of the people who run it.

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

use crate::api::{Api, Failure};
use crate::args::{Args, Change, Command, OverrideCommand};

/// A live table is asked for no more often.
const SHORTEST_PERIOD: Duration = Duration::from_millis(100);

fn main() -> ExitCode {
    let done = match Args::parse().command {
        Command::Serve { operator } => return serving(operator.as_deref()),
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
        Command::Override(command) => overrides(command),
        Command::Admission { every, to } => admission(every, &to),
        Command::Farm { to } => {
            let answer = Api::new(&to).and_then(|api| api.call("GET", "/v1/farm", None, &[]));
            answer.and_then(|servers| print(to.json, &servers, show::server_list))
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("beaconflow: {failure}");
            ExitCode::from(failure.exit_code())
        }
    }
}

fn serving(operator: Option<&Path>) -> ExitCode {
    let read =
        operator.map(|path| OperatorConfig::read(path).map(|operator| (path.to_owned(), operator)));
    let served = read
        .transpose()
        .map_err(|faults| faults.to_string())
        .and_then(|operator| {
            let form = operator
                .as_ref()
                .map(|(_, operator)| operator.log)
                .unwrap_or_default();
            log::start(form);
            serve::serve(operator)
        });
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::start(Default::default());
            error!(part = "main", why = error, "cannot start");
            ExitCode::FAILURE
        }
    }
}

/// Names every fault of an operator's file.
fn check(file: &Path, as_json: bool) -> Result<(), Failure> {
    let faults = OperatorConfig::read(file)
        .err()
        .map(|faults| faults.0)
        .unwrap_or_default();
    let mut out = std::io::stdout();
    let written = if as_json {
        writeln!(
            out,
            "{}",
            json!({ "file": file, "ok": faults.is_empty(), "faults": faults })
        )
    } else if faults.is_empty() {
        writeln!(out, "{}: sound", file.display())
    } else {
        faults.iter().try_for_each(|fault| writeln!(out, "{fault}"))
    };
    written.map_err(|error| Failure::Local(error.to_string()))?;
    match faults.len() {
        0 => Ok(()),
        1 => Err(Failure::Local("1 fault".into())),
        count => Err(Failure::Local(format!("{count} faults"))),
    }
}

fn overrides(command: OverrideCommand) -> Result<(), Failure> {
    match command {
        OverrideCommand::Add { what, about, to } => {
            let body = what.body(&about)?;
            let key: Vec<(&str, &str)> = about
                .key
                .iter()
                .map(|key| ("Idempotency-Key", key.as_str()))
                .collect();
            let answer = Api::new(&to)?.call("POST", "/v1/overrides", Some(&body), &key)?;
            print(to.json, &answer, show::one)
        }
        OverrideCommand::List { to } => {
            let answer = Api::new(&to)?.call("GET", "/v1/overrides", None, &[])?;
            print(to.json, &answer, show::list)
        }
        OverrideCommand::Show { id, to } => {
            let answer = Api::new(&to)?.call("GET", &format!("/v1/overrides/{id}"), None, &[])?;
            print(to.json, &answer, show::one)
        }
        OverrideCommand::Extend {
            change: Change { id, revision, to },
            until,
        } => {
            let body = until.body()?;
            change("PATCH", id, revision, Some(&body), &to)
        }
        OverrideCommand::Remove {
            change: Change { id, revision, to },
        } => change("DELETE", id, revision, None, &to),
    }
}

/// The admission queue's table, once or again and again. A call that fails ends it: what is shown would no longer be so.
fn admission(every: Option<Duration>, to: &args::To) -> Result<(), Failure> {
    let api = Api::new(to)?;
    loop {
        let answer = api.call("GET", "/v1/admission", None, &[])?;
        if every.is_some() && !to.json && std::io::stdout().is_terminal() {
            // From the top of a cleared screen, as people expect of a live table.
            print!("\x1b[H\x1b[2J");
        }
        print(to.json, &answer, show::admission)?;
        match every {
            Some(span) => std::thread::sleep(span.max(SHORTEST_PERIOD)),
            None => return Ok(()),
        }
    }
}

fn change(
    method: &str,
    id: u64,
    revision: Option<u64>,
    body: Option<&Value>,
    to: &args::To,
) -> Result<(), Failure> {
    let tag = revision.map(|revision| format!("\"{revision}\""));
    let headers: Vec<(&str, &str)> = tag.iter().map(|tag| ("If-Match", tag.as_str())).collect();
    let answer = Api::new(to)?.call(method, &format!("/v1/overrides/{id}"), body, &headers)?;
    print(to.json, &answer, show::one)
}

/// Prints an answer for people or for scripts. A reader that has gone away is no fault.
fn print(as_json: bool, answer: &Value, show: impl Fn(&Value) -> String) -> Result<(), Failure> {
    let text = if as_json {
        answer.to_string()
    } else {
        show(answer)
    };
    match writeln!(std::io::stdout(), "{}", text.trim_end()) {
        Err(error) if error.kind() != std::io::ErrorKind::BrokenPipe => {
            Err(Failure::Local(error.to_string()))
        }
        _ => Ok(()),
    }
}
