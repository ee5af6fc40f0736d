//! The policy stays readable: short modules, short functions and narrow lines.

use std::fs;
use std::path::{Path, PathBuf};

const MAX_FILE_LINES: usize = 400;
const MAX_FUNCTION_LINES: usize = 50;
const MAX_COLUMNS: usize = 100;

/// The policy's sources with their contents.
fn sources() -> Vec<(PathBuf, String)> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let files = fs::read_dir(folder)
        .expect("the sources")
        .map(|file| file.expect("a file").path());
    files
        .map(|path| (path.clone(), fs::read_to_string(path).expect("text")))
        .collect()
}

/// Lengths of the functions of a formatted source, with the lines that they start at.
fn functions(text: &str) -> Vec<(usize, usize)> {
    let (mut found, mut open) = (Vec::new(), None);
    for (number, line) in (1..).zip(text.lines()) {
        let code = line.trim_start();
        let indent = line.len() - code.len();
        let signature = code
            .trim_start_matches("pub(crate) ")
            .trim_start_matches("pub ");
        if signature.starts_with("fn ") || signature.starts_with("const fn ") {
            open = Some((number, indent));
        }
        if let Some((start, at)) = open
            && code == "}"
            && indent == at
        {
            found.push((start, number - start + 1));
            open = None;
        }
    }
    found
}

#[test]
fn every_module_and_function_is_short_and_every_line_narrow() {
    let sources = sources();
    assert!(sources.len() > 10, "{} sources", sources.len());
    for (path, text) in sources {
        let path = path.display();
        let lines = text.lines().count();
        assert!(lines <= MAX_FILE_LINES, "{path}: {lines} lines");
        for (number, line) in (1..).zip(text.lines()) {
            assert!(
                line.chars().count() <= MAX_COLUMNS,
                "{path}:{number}: too wide"
            );
        }
        for (start, length) in functions(&text) {
            assert!(
                length <= MAX_FUNCTION_LINES,
                "{path}:{start}: {length} lines"
            );
        }
    }
}

#[test]
fn every_module_begins_with_what_it_is_for() {
    for (path, text) in sources() {
        assert!(
            text.starts_with("//! "),
            "{}: no module documentation",
            path.display()
        );
    }
}
