//! Command line of the broker.

mod keys;

use anyhow::{Context, Result};
use clap::{Parser, Subcommand};
use pathwinch_market::{
    clearing::{Effort, clear, random_problem},
    options::Options,
    schema, serve,
};
use pathwinch_protocol::settings::Settings;
use std::{path::PathBuf, process::ExitCode, time::Instant};

/// Borrow spare capacity of neighbouring clusters.
#[derive(Parser)]
#[command(name = "pathwinch-market", version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a broker until it is killed. Several may run; one acts.
    Serve {
        /// The platform's JSON settings file of any controller.
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// The broker's INI file.
        #[arg(long, value_name = "FILE")]
        options: PathBuf,
        /// The home's keys (see `keys make`).
        #[arg(long, value_name = "DIR")]
        keys: PathBuf,
    },
    /// Check the broker's INI file and say what is wrong with it.
    CheckConfig {
        /// The file.
        #[arg(value_name = "FILE")]
        options: PathBuf,
    },
    /// Print the schema of what the market protocol's messages look like.
    Schema {
        /// Write request.json and reply.json into this directory instead.
        #[arg(long, value_name = "DIR")]
        write: Option<PathBuf>,
    },
    /// Make, renew, revoke and show certificates.
    #[command(subcommand)]
    Keys(keys::Keys),
    /// Measure how long clearing takes and how near it comes to its bound, on
    /// drawn problems.
    Measure {
        /// Jobs that bid, comma-separated.
        #[arg(long, default_value = "100,1000,10000")]
        jobs: String,
        /// Offers, comma-separated.
        #[arg(long, default_value = "3,10,50")]
        offers: String,
        /// Problems of each size.
        #[arg(long, default_value_t = 5)]
        repeats: u64,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
}

fn numbers(name: &str, text: &str) -> Result<Vec<usize>> {
    text.split(',')
        .map(|n| {
            let n: usize = n
                .trim()
                .parse()
                .with_context(|| format!("--{name}: not a number: {n:?}"))?;
            anyhow::ensure!((1..=100_000).contains(&n), "--{name}: 1 to 100000");
            Ok(n)
        })
        .collect()
}

fn measure(jobs: &[usize], offers: &[usize], repeats: u64, json: bool) {
    if !json {
        println!("  jobs  offers  exact  ms (median, worst)  gap to the bound (mean, worst)");
    }
    for &j in jobs {
        for &o in offers {
            let (mut times, mut gaps, mut exact) = (Vec::new(), Vec::new(), 0);
            for seed in 0..repeats.max(1) {
                eprint!("\r{j} jobs, {o} offers: {} of {repeats} ", seed + 1);
                let p = random_problem(seed, j, o);
                let began = Instant::now();
                let plan = clear(&p, &Effort::default());
                times.push(began.elapsed().as_secs_f64() * 1000.0);
                gaps.push(plan.gap());
                exact += u64::from(plan.exact);
            }
            eprint!("\r\x1b[K");
            times.sort_by(f64::total_cmp);
            let (median, worst) = (times[times.len() / 2], times[times.len() - 1]);
            let mean = gaps.iter().sum::<f64>() / gaps.len() as f64;
            let most = gaps.iter().copied().fold(0.0, f64::max);
            if json {
                let row = serde_json::json!({"jobs": j, "offers": o, "exact": exact,
                    "ms_median": median, "ms_worst": worst, "gap_mean": mean, "gap_worst": most});
                println!("{row}");
            } else {
                println!(
                    "{j:>6}  {o:>6}  {exact:>2}/{repeats:<2}  {median:>8.1} {worst:>8.1}  \
                     {:>12.3}% {:>7.3}%",
                    mean * 100.0,
                    most * 100.0
                );
            }
        }
    }
}

fn start(cli: Cli) -> Result<()> {
    match cli.command {
        Command::Serve {
            config,
            options,
            keys,
        } => {
            let text = std::fs::read_to_string(&config)
                .with_context(|| format!("cannot read {}", config.display()))?;
            let settings = Settings::parse(&text).with_context(|| config.display().to_string())?;
            serve::run(settings, Options::load(&options)?, &keys)?;
        }
        Command::CheckConfig { options } => {
            let o = Options::load(&options)?;
            println!("{}: {} markets, sound", options.display(), o.markets.len());
        }
        Command::Schema { write } => {
            for (name, schema) in [("request", schema::request()), ("reply", schema::reply())] {
                let text = serde_json::to_string_pretty(&schema)? + "\n";
                match &write {
                    None => print!("{text}"),
                    Some(dir) => {
                        let path = dir.join(format!("{name}.json"));
                        std::fs::write(&path, text)
                            .with_context(|| format!("cannot write {}", path.display()))?;
                    }
                }
            }
        }
        Command::Keys(asked) => keys::run(asked)?,
        Command::Measure {
            jobs,
            offers,
            repeats,
            json,
        } => measure(
            &numbers("jobs", &jobs)?,
            &numbers("offers", &offers)?,
            repeats,
            json,
        ),
    }
    Ok(())
}

fn main() -> ExitCode {
    pathwinch_cli::log("info");
    match start(Cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("pathwinch-market: {e:#}");
            ExitCode::FAILURE
        }
    }
}
