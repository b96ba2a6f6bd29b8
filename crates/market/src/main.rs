//! Command line of the broker, `pathwinch-market`.

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
    /// Run a broker until it is killed. Several brokers may run; one of them acts.
    Serve {
        /// JSON settings file of any controller of the home cluster.
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// The broker's INI file.
        #[arg(long, value_name = "FILE")]
        options: PathBuf,
        /// Directory with the home's certificate and key (see `keys make`).
        #[arg(long, value_name = "DIR")]
        keys: PathBuf,
    },
    /// Check the broker's INI file and print the first error in it.
    CheckConfig {
        /// INI file to check.
        #[arg(value_name = "FILE")]
        options: PathBuf,
    },
    /// Print the JSON schemas of the market protocol's messages.
    Schema {
        /// Write request.json and reply.json into this directory instead.
        #[arg(long, value_name = "DIR")]
        write: Option<PathBuf>,
    },
    /// Make, renew, revoke and show certificates.
    #[command(subcommand)]
    Keys(keys::Keys),
    /// Measure how long the clearing takes, and its gap to the upper bound, on
    /// random problems.
    Measure {
        /// Numbers of jobs, comma-separated.
        #[arg(long, default_value = "100,1000,10000")]
        jobs: String,
        /// Numbers of offers, comma-separated.
        #[arg(long, default_value = "3,10,50")]
        offers: String,
        /// Number of problems of each size.
        #[arg(long, default_value_t = 5)]
        repeats: u64,
        /// Print one JSON object per size.
        #[arg(long)]
        json: bool,
    },
}

fn parse_counts(flag: &str, text: &str) -> Result<Vec<usize>> {
    text.split(',')
        .map(|count| {
            let count: usize = count
                .trim()
                .parse()
                .with_context(|| format!("--{flag}: not a number: {count:?}"))?;
            anyhow::ensure!(
                (1..=100_000).contains(&count),
                "--{flag}: must be from 1 to 100000"
            );
            Ok(count)
        })
        .collect()
}

fn measure(jobs: &[usize], offers: &[usize], repeats: u64, json: bool) {
    if !json {
        println!("  jobs  offers  exact  ms (median, worst)  gap to the bound (mean, worst)");
    }
    for &job_count in jobs {
        for &offer_count in offers {
            let (mut times, mut gaps, mut exact_plans) = (Vec::new(), Vec::new(), 0);
            for seed in 0..repeats.max(1) {
                eprint!(
                    "\r{job_count} jobs, {offer_count} offers: {} of {repeats} ",
                    seed + 1
                );
                let problem = random_problem(seed, job_count, offer_count);
                let started = Instant::now();
                let plan = clear(&problem, &Effort::default());
                times.push(started.elapsed().as_secs_f64() * 1000.0);
                gaps.push(plan.gap());
                exact_plans += u64::from(plan.exact);
            }
            eprint!("\r\x1b[K");
            times.sort_by(f64::total_cmp);
            let (median_ms, worst_ms) = (times[times.len() / 2], times[times.len() - 1]);
            let mean_gap = gaps.iter().sum::<f64>() / gaps.len() as f64;
            let worst_gap = gaps.iter().copied().fold(0.0, f64::max);
            if json {
                let row = serde_json::json!({"jobs": job_count, "offers": offer_count, "exact": exact_plans,
                    "ms_median": median_ms, "ms_worst": worst_ms, "gap_mean": mean_gap, "gap_worst": worst_gap});
                println!("{row}");
            } else {
                println!(
                    "{job_count:>6}  {offer_count:>6}  {exact_plans:>2}/{repeats:<2}  {median_ms:>8.1} {worst_ms:>8.1}  \
                     {:>12.3}% {:>7.3}%",
                    mean_gap * 100.0,
                    worst_gap * 100.0
                );
            }
        }
    }
}

fn run_command(cli: Cli) -> Result<()> {
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
            let parsed = Options::load(&options)?;
            println!(
                "{}: {} markets, valid",
                options.display(),
                parsed.markets.len()
            );
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
        Command::Keys(command) => keys::run(command)?,
        Command::Measure {
            jobs,
            offers,
            repeats,
            json,
        } => measure(
            &parse_counts("jobs", &jobs)?,
            &parse_counts("offers", &offers)?,
            repeats,
            json,
        ),
    }
    Ok(())
}

fn main() -> ExitCode {
    pathwinch_cli::init_logging("info");
    match run_command(Cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("pathwinch-market: {e:#}");
            ExitCode::FAILURE
        }
    }
}
