//! Which waiting jobs are offered to other clusters.

use crate::{Money, Ms, options::Options, ranges::Ranges, wire::Slot};
use serde::{Deserialize, Serialize};
use std::fmt;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    Array,
    Gang,
    Service,
}

/// A job as the leader tells of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Waiting {
    pub job: String,
    pub class: String,
    pub team: String,
    pub kind: Kind,
    pub tasks: u32,
    pub done: Ranges,
    pub slot: Slot,
    pub image: String,
    pub image_gb: f64,
    pub estimate_s: f64,
    pub waited_ms: Ms,
    /// Until its deadline, if it has one; below zero: passed.
    pub left_ms: Option<i64>,
    /// When it is expected to be done here; absent: nobody knows.
    pub here_ms: Option<Ms>,
    /// What renting for it here would cost, in millionths.
    pub rent: Money,
    /// Tasks that are, or may be, on machines here.
    pub placed: u32,
    /// Someone's guarantee or aim counts on its being started here.
    pub kept: bool,
}

/// Why a job stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stays {
    Service,
    Class,
    /// Some of it is, or may be, on a machine here.
    Placed,
    Guaranteed,
    /// It is expected to make its aims here.
    InTime,
    WaitedTooLittle,
    /// The floor of work that stays for the machines here.
    Floor,
    /// As many as allowed are offloaded.
    Enough,
    /// Its team may not spend anything.
    NoBudget,
}

impl fmt::Display for Stays {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Stays::Service => "services are never lent",
            Stays::Class => "its class is not lent",
            Stays::Placed => "some of it runs here",
            Stays::Guaranteed => "its team's guarantee covers it",
            Stays::InTime => "expected in time here",
            Stays::WaitedTooLittle => "has not waited long enough",
            Stays::Floor => "kept as work for the machines here",
            Stays::Enough => "as many jobs as allowed are lent",
            Stays::NoBudget => "its team has no budget",
        })
    }
}

impl Waiting {
    pub fn left(&self) -> u32 {
        self.tasks.saturating_sub(self.done.count())
    }

    fn cpus(&self) -> f64 {
        f64::from(self.left()) * self.slot.cpus
    }

    /// What can be said of the job alone.
    fn stays(&self, o: &Options) -> Option<Stays> {
        if self.kind == Kind::Service {
            return Some(Stays::Service);
        }
        if !o.classes.contains(&self.class) {
            return Some(Stays::Class);
        }
        // Never half a gang, and an array only whole: a job's tasks are in
        // one place or in none.
        if self.placed > 0 {
            return Some(Stays::Placed);
        }
        if self.kept {
            return Some(Stays::Guaranteed);
        }
        let in_time = match (self.left_ms, self.here_ms) {
            (Some(left), Some(here)) => here as i64 <= left,
            (None, Some(here)) => here <= o.after_ms,
            (_, None) => false,
        };
        if in_time {
            return Some(Stays::InTime);
        }
        (self.waited_ms < o.after_ms).then_some(Stays::WaitedTooLittle)
    }
}

/// Splits what waits into jobs to be offloaded, most urgent first, and jobs that
/// stay, with the reason. `offloaded`: jobs that are offloaded already; `money`: what a
/// team may still spend.
pub fn choose<'a>(
    waiting: &'a [Waiting],
    lent: usize,
    money: impl Fn(&str) -> Money,
    o: &Options,
) -> (Vec<&'a Waiting>, Vec<(&'a str, Stays)>) {
    let (mut go, mut stay) = (Vec::new(), Vec::new());
    let mut local: f64 = waiting.iter().map(Waiting::cpus).sum();
    let mut order: Vec<&Waiting> = waiting.iter().collect();
    // Those that are latest, or have least time, first.
    order.sort_by_key(|w| {
        (
            w.left_ms.unwrap_or(i64::MAX),
            std::cmp::Reverse(w.waited_ms),
        )
    });
    for w in order {
        let why = w.stays(o).or_else(|| {
            if money(&w.team) == 0 || w.rent == 0 {
                Some(Stays::NoBudget)
            } else if lent + go.len() >= o.jobs {
                Some(Stays::Enough)
            } else if local - w.cpus() < o.floor_cpus {
                Some(Stays::Floor)
            } else {
                None
            }
        });
        match why {
            Some(why) => stay.push((w.job.as_str(), why)),
            None => {
                local -= w.cpus();
                go.push(w);
            }
        }
    }
    (go, stay)
}

#[cfg(test)]
mod tests;
