//! Child processes of the testbed: starts them, restarts those that exit, upgrades
//! the controllers to another program one by one, and kills all of them when
//! [`Children`] is dropped.

use crate::installation::Testbed;
use anyhow::{Context, Result};
use async_io::Timer;
use std::{
    cell::RefCell,
    ffi::OsString,
    path::PathBuf,
    process::{Child, Command},
    time::Duration,
};

/// A rolling upgrade of the controllers to another program while they serve requests.
#[derive(Debug, Clone)]
pub struct RollingUpgrade {
    pub program: PathBuf,
    /// From the start to the upgrade of the first controller.
    pub first_after: Duration,
    /// From the upgrade of one controller to that of the next.
    pub interval: Duration,
}

/// The command of a process that is restarted whenever it exits.
#[derive(Debug, Clone)]
pub struct Program {
    /// Names the log file, `NAME.log`.
    pub name: String,
    pub path: PathBuf,
    pub arguments: Vec<OsString>,
}

/// Supervised processes, which are killed when this value is dropped.
pub struct Children {
    dir: PathBuf,
    commands: RefCell<Vec<Program>>,
    running: RefCell<Vec<Option<Child>>>,
}

impl Children {
    /// Starts no process yet; see [`Children::supervise`]. The log files go to `dir`.
    pub fn new(dir: PathBuf, programs: Vec<Program>) -> Self {
        Children {
            dir,
            running: RefCell::new(programs.iter().map(|_| None).collect()),
            commands: RefCell::new(programs),
        }
    }

    /// Returns the process id of each program, in their order; `None` if it does not
    /// run.
    pub fn process_ids(&self) -> Vec<Option<u32>> {
        let running = self.running.borrow();
        running.iter().map(|c| c.as_ref().map(Child::id)).collect()
    }

    fn start(&self, index: usize) -> Result<Child> {
        let program = &self.commands.borrow()[index];
        let log = self.dir.join(format!("{}.log", program.name));
        let log_file = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&log)
            .with_context(|| format!("cannot open log file {}", log.display()))?;
        Command::new(&program.path)
            .args(&program.arguments)
            .stdin(std::process::Stdio::null())
            .stdout(log_file.try_clone()?)
            .stderr(log_file)
            .spawn()
            .with_context(|| format!("cannot start {}", program.path.display()))
    }

    /// Starts every program that does not run, once a second, as the service manager
    /// of a real installation would. Never returns.
    pub async fn supervise(&self) {
        loop {
            let names: Vec<String> = self
                .commands
                .borrow()
                .iter()
                .map(|c| c.name.clone())
                .collect();
            for (index, name) in names.iter().enumerate() {
                let exit_status = match &mut self.running.borrow_mut()[index] {
                    Some(child) => child.try_wait().ok().flatten(),
                    None => None,
                };
                if let Some(status) = exit_status {
                    log::warn!("child process {name} exited ({status}), restarting it");
                    self.running.borrow_mut()[index] = None;
                }
                if self.running.borrow()[index].is_none() {
                    match self.start(index) {
                        Ok(child) => self.running.borrow_mut()[index] = Some(child),
                        Err(e) => log::error!("{e:#}"),
                    }
                }
            }
            Timer::after(Duration::from_secs(1)).await;
        }
    }

    /// Kills a process to simulate a crash; [`Children::supervise`] restarts it.
    pub fn kill_process(&self, index: usize) {
        if let Some(Some(child)) = self.running.borrow_mut().get_mut(index) {
            let _ = child.kill();
        }
    }

    /// Kills the controllers one after the other, so that each is restarted with the
    /// new program. Then applies the next limits to the state service.
    pub async fn upgrade_controllers(&self, testbed: &Testbed, upgrade: &RollingUpgrade) {
        Timer::after(upgrade.first_after).await;
        for index in 0..testbed.controllers.len() {
            self.commands.borrow_mut()[index].path = upgrade.program.clone();
            if let Some(child) = &mut self.running.borrow_mut()[index] {
                let _ = child.kill();
            }
            log::warn!(
                "rolling upgrade: killed {} to restart it with the new program",
                testbed.controllers[index].name
            );
            Timer::after(upgrade.interval).await;
        }
        testbed.state.borrow_mut().apply_next_limits(testbed.now());
        log::warn!(
            "rolling upgrade: the next limits of the state service apply now, if the site sets any"
        );
    }
}

impl Drop for Children {
    fn drop(&mut self) {
        for child in self.running.borrow_mut().iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Returns the path of the controller program in the directory of this program.
pub fn program_in_own_directory() -> Result<PathBuf> {
    let own_path = std::env::current_exe().context("cannot determine the path of this program")?;
    let controller_program = own_path.with_file_name("pathwinch");
    anyhow::ensure!(
        controller_program.is_file(),
        "no pathwinch in the directory of {}: build it (cargo build --release --workspace) \
         or pass its path with --program",
        own_path.display()
    );
    Ok(controller_program)
}
