//! The on-call page names every message of the log, and no other.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// Messages that are put together at runtime; the page has their values.
const COMPOSED: [&str; 3] = ["{notice}", "{message}", "override {what}"];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .ancestors()
        .nth(2)
        .expect("the workspace")
        .to_owned()
}

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|end| end == "rs") && !path.ends_with("tests.rs") {
            found.push(path);
        }
    }
}

/// The string literals of a macro's arguments, which begin at the start of `text`.
fn literals(text: &str) -> Vec<String> {
    let (mut depth, mut found, mut open) = (1, Vec::new(), None);
    let mut escaped = false;
    for (at, sign) in text.char_indices() {
        match (open, sign) {
            (Some(_), _) if escaped => escaped = false,
            (Some(_), '\\') => escaped = true,
            (Some(start), '"') => {
                found.push(text[start..at].to_owned());
                open = None;
            }
            (Some(_), _) => {}
            (None, '"') => open = Some(at + 1),
            (None, '(') => depth += 1,
            (None, ')') => depth -= 1,
            (None, _) => {}
        }
        if depth == 0 {
            break;
        }
    }
    found
}

/// The messages of all log macros of a source file: the last literal of each.
fn messages(source: &str) -> BTreeSet<String> {
    let macros = ["info!(", "warn!(", "error!(", "debug!("];
    let calls = macros
        .iter()
        .flat_map(|name| source.match_indices(name).map(|(at, _)| at + name.len()));
    calls
        .filter_map(|at| literals(&source[at..]).pop())
        .filter(|message| !COMPOSED.contains(&message.as_str()))
        .collect()
}

/// The messages in the page's tables, whose second column has them.
fn listed(page: &str) -> BTreeSet<String> {
    let mut found = BTreeSet::new();
    let mut is_message_table = false;
    for line in page.lines() {
        if line.starts_with("| part | message |") {
            is_message_table = true;
        } else if !line.starts_with('|') {
            is_message_table = false;
        } else if is_message_table && line.starts_with("| `") {
            let column = line.split('|').nth(2).expect("a second column").trim();
            let messages = column.split("`, `");
            found.extend(messages.map(|message| message.trim_matches('`').to_owned()));
        }
    }
    found
}

#[test]
fn names_every_message_of_the_log_and_no_other() {
    let page = std::fs::read_to_string(root().join("docs/on-call.md")).expect("the page");
    let mut files = Vec::new();
    for package in ["balancer", "cli", "store"] {
        sources(&root().join("crates").join(package).join("src"), &mut files);
    }
    let read = |path: &PathBuf| std::fs::read_to_string(path).expect("a source file");
    let logged: BTreeSet<String> = files
        .iter()
        .flat_map(|path| messages(&read(path)))
        .collect();
    let rate_limited = [
        "handshake rejected",
        "too many handshakes",
        "too many connections",
        "could not start a thread",
    ];
    let composed =
        ["created", "extended", "removed", "expired"].map(|what| format!("override {what}"));
    // These are written by a rate limiter, whose calls are no log macros.
    let is_in_code = |message: &&str| {
        files
            .iter()
            .any(|path| read(path).contains(&format!("\"{message}\"")))
    };
    assert!(rate_limited.iter().all(is_in_code), "{rate_limited:?}");
    let mut expected = logged;
    expected.extend(rate_limited.map(str::to_owned));
    expected.extend(composed);
    assert_eq!(listed(&page), expected);
}
