//! Forms that must not change, byte for byte, whatever types and fields are called in
//! the code: messages between processes, records in the state service, and what
//! operators write, run and read. The expected forms are fixtures: one line each,
//! `NAME TEXT`, written once and never edited.

#[path = "compatibility/operators.rs"]
mod operators;
#[path = "compatibility/stored.rs"]
mod stored;
#[path = "compatibility/wire.rs"]
mod wire;

use serde::{Serialize, de::DeserializeOwned};
use std::fmt::Debug;

/// Returns the text of the fixture `name`, which must be in `file` exactly once.
fn fixture<'a>(file: &'a str, name: &str) -> &'a str {
    let lines = file.lines().filter_map(|line| line.split_once(' '));
    let mut found = lines.filter(|(n, _)| *n == name).map(|(_, text)| text);
    let text = found.next().unwrap_or_else(|| panic!("no fixture {name}"));
    assert!(found.next().is_none(), "duplicate fixture {name}");
    text
}

/// Asserts that the fixture is read as `value`. The `Debug` forms are compared: they
/// show every field, and some of the types don't implement `PartialEq`.
fn assert_reads_as<T: DeserializeOwned + Debug>(file: &str, name: &str, value: &T) {
    let read: T = serde_json::from_str(fixture(file, name)).unwrap();
    assert_eq!(format!("{read:?}"), format!("{value:?}"), "{name}");
}

/// Asserts that the fixture is read as `value`, and `value` is written as the fixture.
fn assert_pinned<T: Serialize + DeserializeOwned + Debug>(file: &str, name: &str, value: &T) {
    let text = serde_json::to_string(value).unwrap();
    assert_eq!(text, fixture(file, name), "{name}");
    assert_reads_as(file, name, value);
}
