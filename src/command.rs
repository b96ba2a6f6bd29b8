//! What can be asked of pathwinch, and what is said in return: one line on
//! standard error and an exit code for each kind of failure.

use anyhow::Result;
use clap::{Args, Parser, Subcommand};
use pathwinch::{
    declare_upgraded, operator,
    options::Options,
    protocol::{
        settings::Settings,
        users::{JobSpec, JobState, JobStatus},
    },
    server,
};
use pathwinch_client::{Client, Failure, retry::RetryPolicy};
use std::{
    ffi::OsString,
    io::{Read, Write},
    net::SocketAddr,
    path::PathBuf,
    process::ExitCode,
    time::Duration,
};

/// A small cluster scheduler.
#[derive(Parser)]
#[command(version, about)]
pub struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a controller until it is killed.
    Serve(Files),
    /// Check the settings and say what is wrong with them.
    CheckConfig(Files),
    /// Say how things stand: who leads, what waits and why, machines, teams.
    Status(Ask),
    /// Say the same of one job.
    Explain {
        /// The job's id, such as j-000412.
        job: String,
        #[command(flatten)]
        ask: Ask,
    },
    /// Submit a job, written as JSON in a file.
    Submit {
        /// The job; - for standard input.
        #[arg(value_name = "FILE")]
        job: PathBuf,
        /// Go on until it is over, telling how it stands.
        #[arg(long)]
        wait: bool,
        #[command(flatten)]
        users: Users,
    },
    /// Say how a job stands, or follow it until it is over.
    Poll {
        /// The job's id, such as j-000412.
        job: String,
        #[arg(long)]
        wait: bool,
        #[command(flatten)]
        users: Users,
    },
    /// Withdraw a job.
    Abort {
        /// The job's id, such as j-000412.
        job: String,
        #[command(flatten)]
        users: Users,
    },
    /// Say that a controller which is down will not run an older version again,
    /// so that what only this version knows may be used without its own word.
    Upgraded {
        /// Its name in the settings.
        node: String,
        /// The platform's JSON settings file of any controller.
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Any other command NAME is the program pathwinch-NAME beside this one.
    #[command(external_subcommand)]
    Other(Vec<OsString>),
}

#[derive(Args)]
struct Ask {
    /// Address of any controller's `back`, such as 10.0.0.1:8081.
    #[arg(long, value_name = "ADDR")]
    at: String,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
struct Users {
    /// Address of a controller's `listen` or of the balancer before them, such
    /// as 10.0.0.1:8080; may be given several times.
    #[arg(long, value_name = "ADDR", required = true)]
    at: Vec<String>,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
struct Files {
    /// The platform's JSON settings file.
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// The operators' INI file.
    #[arg(long, value_name = "FILE")]
    options: Option<PathBuf>,
}

impl Files {
    fn load(&self) -> Result<(Settings, Options)> {
        let settings = Settings::load(&self.config)?;
        let options = match &self.options {
            Some(path) => Options::load(path)?,
            None => Options::default(),
        };
        Ok((settings, options))
    }
}

/// One line for the user, and the exit code.
struct Stop(u8, String);

const WRONG: u8 = 2;
const UNREACHABLE: u8 = 3;
const NO_SUCH_JOB: u8 = 4;
const REFUSED: u8 = 5;

impl From<operator::Failure> for Stop {
    fn from(f: operator::Failure) -> Self {
        Stop(f.code(), f.text().to_owned())
    }
}

impl From<Failure> for Stop {
    fn from(f: Failure) -> Self {
        let code = match f {
            Failure::Refused { .. } => REFUSED,
            Failure::NoSuchJob => NO_SUCH_JOB,
            Failure::GivenUp { .. } | Failure::Unknown { .. } => UNREACHABLE,
        };
        Stop(code, f.to_string())
    }
}

impl Users {
    fn client(&self) -> Result<Client, Stop> {
        let mut nodes = Vec::new();
        for at in &self.at {
            let addr: SocketAddr = at.parse().map_err(|_| {
                let text = format!("--at: {at:?} is not an address like 10.0.0.1:8080");
                Stop(WRONG, text)
            })?;
            nodes.push(addr);
        }
        Ok(Client::new(nodes, RetryPolicy::default()))
    }

    fn line(&self, status: &JobStatus) -> String {
        if self.json {
            return serde_json::to_string(status).unwrap_or_default() + "\n";
        }
        let state = match status.state {
            JobState::Queued => "pending",
            JobState::Running => "running",
            JobState::Done => "done",
            JobState::Cancelled => "withdrawn",
        };
        format!(
            "{}: {state}, {} tasks done, {} running\n",
            status.id, status.done, status.running
        )
    }

    fn follow(&self, client: &Client, id: &str) -> Result<String, Stop> {
        // What changes on the way is progress; the last state is the answer.
        let told = |s: &JobStatus| {
            if !s.state.is_final() {
                eprint!("{}", self.line(s));
            }
        };
        let over = async_io::block_on(client.wait(id, Duration::from_secs(1), told))?;
        Ok(self.line(&over))
    }
}

fn read_job(path: &PathBuf) -> Result<JobSpec, Stop> {
    let mut body = Vec::new();
    let read = if path.as_os_str() == "-" {
        std::io::stdin().read_to_end(&mut body).map(|_| ())
    } else {
        std::fs::read(path).map(|b| body = b)
    };
    let name = path.display();
    read.map_err(|e| Stop(WRONG, format!("{name}: {e}")))?;
    JobSpec::parse(&body).map_err(|e| Stop(WRONG, format!("{name}: {e}")))
}

/// Runs the program of that name which stands beside this one.
fn other(words: &[OsString]) -> Result<ExitCode, Stop> {
    let (name, args) = words
        .split_first()
        .ok_or_else(|| Stop(WRONG, "no command given".into()))?;
    let name = name.to_string_lossy();
    let plain = |c: char| c.is_ascii_lowercase() || c == '-';
    let beside = std::env::current_exe()
        .ok()
        .filter(|_| name.chars().all(plain))
        .and_then(|exe| Some(exe.parent()?.join(format!("pathwinch-{name}"))))
        .filter(|p| p.is_file());
    let Some(program) = beside else {
        let text = format!("{name}: no such command; pathwinch --help lists them");
        return Err(Stop(WRONG, text));
    };
    let ended = std::process::Command::new(&program)
        .args(args)
        .status()
        .map_err(|e| Stop(1, format!("{}: {e}", program.display())))?;
    Ok(ExitCode::from(ended.code().unwrap_or(1).clamp(0, 255) as u8))
}

fn answer(command: &Command) -> Result<String, Stop> {
    match command {
        Command::Status(ask) => Ok(operator::status(&ask.at, ask.json)?),
        Command::Explain { job, ask } => Ok(operator::explain(&ask.at, job, ask.json)?),
        Command::Submit { job, wait, users } => {
            let spec = read_job(job)?;
            let client = users.client()?;
            let taken = async_io::block_on(client.submit(&spec))?;
            match wait {
                true => users.follow(&client, &spec.id),
                false => Ok(users.line(&taken)),
            }
        }
        Command::Poll { job, wait, users } => {
            let client = users.client()?;
            match wait {
                true => users.follow(&client, job),
                false => Ok(users.line(&async_io::block_on(client.poll(job))?)),
            }
        }
        Command::Abort { job, users } => {
            let client = users.client()?;
            Ok(users.line(&async_io::block_on(client.cancel(job))?))
        }
        _ => Ok(String::new()),
    }
}

pub fn start(cli: Cli) -> Result<ExitCode> {
    let said = match &cli.command {
        Command::Serve(files) => {
            let (settings, options) = files.load()?;
            server::run(settings, options)?;
            return Ok(ExitCode::SUCCESS);
        }
        Command::CheckConfig(files) => {
            let (settings, _) = files.load()?;
            Ok(format!("{}: settings are sound\n", settings.name))
        }
        Command::Upgraded { node, config } => {
            let settings = Settings::load(config)?;
            Ok(async_io::block_on(declare_upgraded::declare(
                &settings, node,
            ))?)
        }
        Command::Other(words) => match other(words) {
            Ok(code) => return Ok(code),
            Err(stop) => Err(stop),
        },
        command => answer(command),
    };
    match said {
        Ok(text) => {
            // A reader that has seen enough closes the pipe: no failure.
            let _ = std::io::stdout().write_all(text.as_bytes());
            Ok(ExitCode::SUCCESS)
        }
        Err(Stop(code, text)) => {
            eprintln!("pathwinch: {text}");
            Ok(ExitCode::from(code))
        }
    }
}
