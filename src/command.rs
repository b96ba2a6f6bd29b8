//! The commands of the program `pathwinch`: parses the arguments, runs the command, and
//! prints its result to standard output. A failed command prints one line to standard
//! error and ends with the exit code of the kind of failure.

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
    Serve(ConfigArgs),
    /// Validate the settings and print what is wrong with them.
    CheckConfig(ConfigArgs),
    /// Show the state of the cluster: the leader, pending jobs and why they wait,
    /// machines, teams.
    Status(StatusArgs),
    /// Explain the state of one job.
    Explain {
        /// The job's id, such as j-000412.
        job: String,
        #[command(flatten)]
        target: StatusArgs,
    },
    /// Submit a job that is described as JSON in a file.
    Submit {
        /// JSON file that describes the job; - for standard input.
        #[arg(value_name = "FILE")]
        job: PathBuf,
        /// Wait until the job has ended, and print its progress.
        #[arg(long)]
        wait: bool,
        #[command(flatten)]
        job_args: JobArgs,
    },
    /// Show the status of a job, or wait until the job has ended.
    Poll {
        /// The job's id, such as j-000412.
        job: String,
        #[arg(long)]
        wait: bool,
        #[command(flatten)]
        job_args: JobArgs,
    },
    /// Cancel a job.
    Abort {
        /// The job's id, such as j-000412.
        job: String,
        #[command(flatten)]
        job_args: JobArgs,
    },
    /// Declare that a controller which is down will not run an older version again, so
    /// that record formats of this version may be used before that controller has run
    /// it.
    Upgraded {
        /// Name of the controller in the settings.
        node: String,
        /// The platform's JSON settings file of any controller.
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Any other command NAME runs the program pathwinch-NAME in the directory of this
    /// program.
    #[command(external_subcommand)]
    External(Vec<OsString>),
}

#[derive(Args)]
struct StatusArgs {
    /// Address of any controller in its setting `back`, such as 10.0.0.1:8081.
    #[arg(long, value_name = "ADDR")]
    at: String,
    /// Print the result as JSON.
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
struct JobArgs {
    /// Address of a controller in its setting `listen`, or of a load balancer for the
    /// controllers, such as 10.0.0.1:8080; may be given several times.
    #[arg(long, value_name = "ADDR", required = true)]
    at: Vec<String>,
    /// Print the result as JSON.
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
struct ConfigArgs {
    /// The platform's JSON settings file.
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// The operators' INI file.
    #[arg(long, value_name = "FILE")]
    options: Option<PathBuf>,
}

impl ConfigArgs {
    fn load(&self) -> Result<(Settings, Options)> {
        let settings = Settings::load(&self.config)?;
        let options = match &self.options {
            Some(path) => Options::load(path)?,
            None => Options::default(),
        };
        Ok((settings, options))
    }
}

/// A failed command: its exit code, and one line for standard error.
struct CommandError(u8, String);

/// Exit code for arguments or input files that are invalid.
const EXIT_USAGE: u8 = 2;
/// Exit code if no controller answered, or the outcome is unknown.
const EXIT_UNREACHABLE: u8 = 3;
/// Exit code if the job does not exist.
const EXIT_NO_SUCH_JOB: u8 = 4;
/// Exit code if the request was refused.
const EXIT_REFUSED: u8 = 5;

impl From<operator::Failure> for CommandError {
    fn from(failure: operator::Failure) -> Self {
        CommandError(failure.code(), failure.text().to_owned())
    }
}

impl From<Failure> for CommandError {
    fn from(failure: Failure) -> Self {
        let code = match failure {
            Failure::Refused { .. } => EXIT_REFUSED,
            Failure::NoSuchJob => EXIT_NO_SUCH_JOB,
            Failure::GivenUp { .. } | Failure::Unknown { .. } => EXIT_UNREACHABLE,
        };
        CommandError(code, failure.to_string())
    }
}

impl JobArgs {
    fn client(&self) -> Result<Client, CommandError> {
        let mut addresses = Vec::new();
        for at in &self.at {
            let addr: SocketAddr = at.parse().map_err(|_| {
                let text = format!("--at: {at:?} is not an address like 10.0.0.1:8080");
                CommandError(EXIT_USAGE, text)
            })?;
            addresses.push(addr);
        }
        Ok(Client::new(addresses, RetryPolicy::default()))
    }

    fn format_status(&self, status: &JobStatus) -> String {
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

    fn wait_for_end(&self, client: &Client, id: &str) -> Result<String, CommandError> {
        // Progress is printed to standard error; only the final status is the result.
        let print_progress = |status: &JobStatus| {
            if !status.state.is_final() {
                eprint!("{}", self.format_status(status));
            }
        };
        let last_status =
            async_io::block_on(client.wait(id, Duration::from_secs(1), print_progress))?;
        Ok(self.format_status(&last_status))
    }
}

fn read_job(path: &PathBuf) -> Result<JobSpec, CommandError> {
    let mut body = Vec::new();
    let result = if path.as_os_str() == "-" {
        std::io::stdin().read_to_end(&mut body).map(|_| ())
    } else {
        std::fs::read(path).map(|bytes| body = bytes)
    };
    let name = path.display();
    result.map_err(|e| CommandError(EXIT_USAGE, format!("{name}: {e}")))?;
    JobSpec::parse(&body).map_err(|e| CommandError(EXIT_USAGE, format!("{name}: {e}")))
}

/// Runs the program pathwinch-NAME in the directory of this program. The first argument
/// is NAME; the others are passed on to that program.
fn run_external(arguments: &[OsString]) -> Result<ExitCode, CommandError> {
    let (name, args) = arguments
        .split_first()
        .ok_or_else(|| CommandError(EXIT_USAGE, "no command given".into()))?;
    let name = name.to_string_lossy();
    let is_name_char = |c: char| c.is_ascii_lowercase() || c == '-';
    let installed = std::env::current_exe()
        .ok()
        .filter(|_| name.chars().all(is_name_char))
        .and_then(|exe| Some(exe.parent()?.join(format!("pathwinch-{name}"))))
        .filter(|path| path.is_file());
    let Some(program) = installed else {
        let text = format!("{name}: no such command; pathwinch --help lists the commands");
        return Err(CommandError(EXIT_USAGE, text));
    };
    let exit_status = std::process::Command::new(&program)
        .args(args)
        .status()
        .map_err(|e| CommandError(1, format!("{}: {e}", program.display())))?;
    Ok(ExitCode::from(
        exit_status.code().unwrap_or(1).clamp(0, 255) as u8,
    ))
}

/// Runs a command that sends requests to controllers, and returns its output.
fn run_client_command(command: &Command) -> Result<String, CommandError> {
    match command {
        Command::Status(target) => Ok(operator::status(&target.at, target.json)?),
        Command::Explain { job, target } => Ok(operator::explain(&target.at, job, target.json)?),
        Command::Submit {
            job,
            wait,
            job_args,
        } => {
            let spec = read_job(job)?;
            let client = job_args.client()?;
            let accepted = async_io::block_on(client.submit(&spec))?;
            match wait {
                true => job_args.wait_for_end(&client, &spec.id),
                false => Ok(job_args.format_status(&accepted)),
            }
        }
        Command::Poll {
            job,
            wait,
            job_args,
        } => {
            let client = job_args.client()?;
            match wait {
                true => job_args.wait_for_end(&client, job),
                false => Ok(job_args.format_status(&async_io::block_on(client.poll(job))?)),
            }
        }
        Command::Abort { job, job_args } => {
            let client = job_args.client()?;
            Ok(job_args.format_status(&async_io::block_on(client.cancel(job))?))
        }
        _ => Ok(String::new()),
    }
}

/// Runs the command and returns the exit code of the program. Settings and options files
/// that can't be loaded, and failures of `serve` and `upgraded`, are returned as errors.
pub fn execute(cli: Cli) -> Result<ExitCode> {
    let outcome = match &cli.command {
        Command::Serve(config_args) => {
            let (settings, options) = config_args.load()?;
            server::run(settings, options)?;
            return Ok(ExitCode::SUCCESS);
        }
        Command::CheckConfig(config_args) => {
            let (settings, _) = config_args.load()?;
            Ok(format!("{}: settings are sound\n", settings.name))
        }
        Command::Upgraded { node, config } => {
            let settings = Settings::load(config)?;
            Ok(async_io::block_on(declare_upgraded::declare(
                &settings, node,
            ))?)
        }
        Command::External(arguments) => match run_external(arguments) {
            Ok(code) => return Ok(code),
            Err(error) => Err(error),
        },
        command => run_client_command(command),
    };
    match outcome {
        Ok(text) => {
            // A write error is ignored: a reader such as `head` may close the pipe
            // early.
            let _ = std::io::stdout().write_all(text.as_bytes());
            Ok(ExitCode::SUCCESS)
        }
        Err(CommandError(code, text)) => {
            eprintln!("pathwinch: {text}");
            Ok(ExitCode::from(code))
        }
    }
}
