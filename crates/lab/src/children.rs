//! Child processes: started, kept up, rolled to another program, and ended with
//! this one.

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

/// A roll of the controllers to another program while they serve.
#[derive(Debug, Clone)]
pub struct RollingUpgrade {
    pub program: PathBuf,
    /// From the start to the first, and from one to the next.
    pub after: Duration,
    pub every: Duration,
}

/// A process to be kept up.
#[derive(Debug, Clone)]
pub struct Program {
    /// For its log.
    pub name: String,
    pub path: PathBuf,
    pub arguments: Vec<OsString>,
}

/// Processes that end with this one.
pub struct Children {
    dir: PathBuf,
    commands: RefCell<Vec<Program>>,
    running: RefCell<Vec<Option<Child>>>,
}

impl Children {
    /// Nothing is started yet; logs go to `dir`.
    pub fn new(dir: PathBuf, programs: Vec<Program>) -> Self {
        Children {
            dir,
            running: RefCell::new(programs.iter().map(|_| None).collect()),
            commands: RefCell::new(programs),
        }
    }

    /// The process ids of those that run, in the order of the programs.
    pub fn process_ids(&self) -> Vec<Option<u32>> {
        let running = self.running.borrow();
        running.iter().map(|c| c.as_ref().map(Child::id)).collect()
    }

    fn start(&self, index: usize) -> Result<Child> {
        let program = &self.commands.borrow()[index];
        let log = self.dir.join(format!("{}.log", program.name));
        let out = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&log)
            .with_context(|| format!("cannot write {}", log.display()))?;
        Command::new(&program.path)
            .args(&program.arguments)
            .stdin(std::process::Stdio::null())
            .stdout(out.try_clone()?)
            .stderr(out)
            .spawn()
            .with_context(|| format!("cannot start {}", program.path.display()))
    }

    /// Starts what isn't running, as a platform would.
    pub async fn keep_up(&self) {
        loop {
            let names: Vec<String> = self
                .commands
                .borrow()
                .iter()
                .map(|c| c.name.clone())
                .collect();
            for (i, name) in names.iter().enumerate() {
                let ended = match &mut self.running.borrow_mut()[i] {
                    Some(child) => child.try_wait().ok().flatten(),
                    None => None,
                };
                if let Some(how) = ended {
                    log::warn!("{name} ended ({how}), starting it again");
                    self.running.borrow_mut()[i] = None;
                }
                if self.running.borrow()[i].is_none() {
                    match self.start(i) {
                        Ok(child) => self.running.borrow_mut()[i] = Some(child),
                        Err(e) => log::error!("{e:#}"),
                    }
                }
            }
            Timer::after(Duration::from_secs(1)).await;
        }
    }

    /// Ends one, as a fault would. It is kept up.
    pub fn end(&self, index: usize) {
        if let Some(Some(child)) = self.running.borrow_mut().get_mut(index) {
            let _ = child.kill();
        }
    }

    /// Kills the controllers one after the other; each comes back with the new
    /// program. Then the state service has its new limits.
    pub async fn roll(&self, testbed: &Testbed, roll: &RollingUpgrade) {
        Timer::after(roll.after).await;
        for i in 0..testbed.controllers.len() {
            self.commands.borrow_mut()[i].path = roll.program.clone();
            if let Some(child) = &mut self.running.borrow_mut()[i] {
                let _ = child.kill();
            }
            log::warn!("{} is upgraded", testbed.controllers[i].name);
            Timer::after(roll.every).await;
        }
        testbed.state.borrow_mut().apply_next_limits(testbed.now());
        log::warn!("the state service has its limits to come, if the site names any");
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

/// The program of controllers that stands beside this one.
pub fn program_beside() -> Result<PathBuf> {
    let own = std::env::current_exe().context("where is this program?")?;
    let beside = own.with_file_name("pathwinch");
    anyhow::ensure!(
        beside.is_file(),
        "no pathwinch beside {}: build it (cargo build --release --workspace) \
         or name it with --program",
        own.display()
    );
    Ok(beside)
}
