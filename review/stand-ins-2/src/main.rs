//! `review-stand-ins-2 CASE ROOT DIR RECORD`: plays one case of the review. Exit code 0: the rule
//! held, 1: it was broken, 2: the case could not run. With TROUBLE=0 the disruption is left out.

mod cases;
mod machines;
mod market;
mod world;

use std::{path::Path, process::ExitCode};
use world::Verdict;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, dir, record] = &arguments[..] else {
        eprintln!("usage: review-stand-ins-2 CASE ROOT DIR RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    match cases::play(
        case,
        Path::new(root),
        Path::new(dir),
        Path::new(record),
        trouble,
    ) {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(e) => {
            eprintln!("the case could not run: {e:#}");
            ExitCode::from(2)
        }
    }
}
