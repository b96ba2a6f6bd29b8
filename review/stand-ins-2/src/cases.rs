//! The cases.

mod cancelled_at_market;
mod ended_again;
mod explore;
mod lowered_limits;
mod machine_back;
mod settled_early;
mod withdrawn_array;

use crate::world::Verdict;
use anyhow::{Result, bail};
use std::path::Path;

pub fn play(case: &str, root: &Path, dir: &Path, record: &Path, trouble: bool) -> Result<Verdict> {
    match case {
        "lowered-limits" => lowered_limits::play(root, dir, record, trouble),
        "machine-back" => machine_back::play(root, dir, record, trouble),
        "settled-early" => settled_early::play(root, dir, record, trouble),
        "cancelled-at-market" => cancelled_at_market::play(root, dir, record, trouble),
        "ended-again" => ended_again::play(root, dir, record, trouble),
        "explore" => explore::play(root, dir, record, trouble),
        "withdrawn-array" => withdrawn_array::play(root, dir, record, trouble),
        _ => bail!("no such case: {case}"),
    }
}
