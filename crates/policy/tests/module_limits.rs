//! The decision module stays short and narrow enough to be read aloud.

const MODULE: &str = include_str!("../src/rules.rs");
const MOST_LINES: usize = 640;
const MOST_COLUMNS: usize = 110;

#[test]
fn the_module_keeps_to_its_length_and_width() {
    let lines = MODULE
        .lines()
        .filter(|line| !line.trim().is_empty())
        .count();
    assert!(lines <= MOST_LINES, "{lines} lines");
    for (number, line) in MODULE.lines().enumerate() {
        assert!(
            line.chars().count() <= MOST_COLUMNS,
            "line {} is too long",
            number + 1
        );
    }
}

#[test]
fn the_head_of_the_module_names_its_interface() {
    let head: Vec<&str> = MODULE
        .lines()
        .take_while(|line| line.starts_with("//!"))
        .collect();
    assert!(
        head.iter().any(|line| line.contains("api.rs")),
        "the head names no interface file"
    );
}
