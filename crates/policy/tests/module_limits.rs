//! Limits on the length of modules, functions and lines of the policy.

use std::fs;
use std::path::{Path, PathBuf};

const MAX_FILE_LINES: usize = 400;
const MAX_FUNCTION_LINES: usize = 50;
const MAX_COLUMNS: usize = 100;

/// The policy's sources with their contents.
fn sources() -> Vec<(PathBuf, String)> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let files = fs::read_dir(folder)
        .expect("the source folder is readable")
        .map(|file| file.expect("the folder entry is readable").path());
    files
        .map(|path| {
            (
                path.clone(),
                fs::read_to_string(path).expect("the source is UTF-8"),
            )
        })
        .collect()
}

/// The first line and the length of each function of a formatted source.
fn function_lengths(text: &str) -> Vec<(usize, usize)> {
    let (mut lengths, mut open) = (Vec::new(), None);
    for (number, line) in (1..).zip(text.lines()) {
        let code = line.trim_start();
        let indent = line.len() - code.len();
        let signature = code
            .trim_start_matches("pub(crate) ")
            .trim_start_matches("pub ");
        if signature.starts_with("fn ") || signature.starts_with("const fn ") {
            open = Some((number, indent));
        }
        if let Some((start, start_indent)) = open
            && code == "}"
            && indent == start_indent
        {
            lengths.push((start, number - start + 1));
            open = None;
        }
    }
    lengths
}

#[test]
fn modules_functions_and_lines_are_within_limits() {
    let sources = sources();
    assert!(sources.len() > 10, "found only {} sources", sources.len());
    for (path, text) in sources {
        let path = path.display();
        let lines = text.lines().count();
        assert!(
            lines <= MAX_FILE_LINES,
            "{path}: {lines} lines, at most {MAX_FILE_LINES} allowed"
        );
        for (number, line) in (1..).zip(text.lines()) {
            assert!(
                line.chars().count() <= MAX_COLUMNS,
                "{path}:{number}: wider than {MAX_COLUMNS} columns"
            );
        }
        for (start, length) in function_lengths(&text) {
            assert!(
                length <= MAX_FUNCTION_LINES,
                "{path}:{start}: function of {length} lines, at most {MAX_FUNCTION_LINES} allowed"
            );
        }
    }
}

#[test]
fn every_module_has_documentation() {
    for (path, text) in sources() {
        assert!(
            text.starts_with("//! "),
            "{}: no module documentation",
            path.display()
        );
    }
}
