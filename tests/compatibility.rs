//! What must stay as it is, byte for byte, whatever types and fields are
//! called in the code: messages between processes, records in the state
//! service, and what operators write, run and read. Fixtures are the
//! expectation: one line each, `NAME TEXT`, written once and never edited.

#[path = "compatibility/operators.rs"]
mod operators;
#[path = "compatibility/stored.rs"]
mod stored;
#[path = "compatibility/wire.rs"]
mod wire;

use serde::{Serialize, de::DeserializeOwned};
use std::fmt::Debug;

/// The text of that name in a file of fixtures.
fn fixture<'a>(file: &'a str, name: &str) -> &'a str {
    let lines = file.lines().filter_map(|line| line.split_once(' '));
    let mut found = lines.filter(|(n, _)| *n == name).map(|(_, text)| text);
    let text = found.next().unwrap_or_else(|| panic!("no fixture {name}"));
    assert!(found.next().is_none(), "{name} is there twice");
    text
}

/// The fixture is read as this value. All of these types derive `Debug`, which
/// shows each field, and some can't be compared otherwise.
fn reads_as<T: DeserializeOwned + Debug>(file: &str, name: &str, value: &T) {
    let read: T = serde_json::from_str(fixture(file, name)).unwrap();
    assert_eq!(format!("{read:?}"), format!("{value:?}"), "{name}");
}

/// The fixture is read as this value, and the value written as the fixture.
fn is_pinned<T: Serialize + DeserializeOwned + Debug>(file: &str, name: &str, value: &T) {
    let text = serde_json::to_string(value).unwrap();
    assert_eq!(text, fixture(file, name), "{name}");
    reads_as(file, name, value);
}
