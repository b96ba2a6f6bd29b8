//! What a new leader checks before its first decision. Each check in turn must pass; any
//! failure means a cold failover, in which nothing older than the term is placed before
//! every machine is confirmed or its lease has expired.
//!
//! Called once by the leader's failover. A pure function of the claim; it must never
//! pass a replica that may lack something that runs.

use super::replica::Replica;
use crate::state::records::StandbyRecord;

/// The checks, in order. Authority, and that the process did not pause, are checked with
/// each decision: without authority nothing is decided, and after a pause it has to be
/// renewed first. The records are checked when they are read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Check {
    /// A standby is named.
    Named,
    /// This node is named, in this incarnation.
    Me,
    /// It has a complete replica.
    Whole,
    /// The replica is of the term of the record, or of a later one that started nothing.
    Term,
    /// All checks passed.
    Passed,
}

/// Why a failover is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ColdReason {
    /// The record names no standby.
    NobodyNamed,
    /// The record names other nodes.
    NotNamed,
    /// This node is named in an earlier incarnation.
    BeganAnew,
    /// It has no complete replica.
    NoCopy,
    /// Its replica is of an earlier term than the record.
    OldCopy,
}

impl ColdReason {
    /// The text for operators and metrics.
    pub fn text(self) -> &'static str {
        match self {
            ColdReason::NobodyNamed => "no standby was named",
            ColdReason::NotNamed => "other nodes were named",
            ColdReason::BeganAnew => "this process began after it was named",
            ColdReason::NoCopy => "it has no whole copy",
            ColdReason::OldCopy => "its copy is of an earlier term than the record",
        }
    }
}

/// What the checks are made on.
pub struct FailoverClaim<'a> {
    /// Name of this node.
    pub me: &'a str,
    /// Its incarnation.
    pub incarnation: u64,
    /// As read in this term: since then nobody else can have changed it.
    pub record: Option<&'a StandbyRecord>,
    /// Its complete replica, if it has one.
    pub replica: Option<&'a Replica>,
}

impl Check {
    fn step(self, claim: &FailoverClaim) -> Result<Check, ColdReason> {
        let names = claim.record.map_or(&[][..], |r| &r.named);
        let me = names.iter().find(|(name, _)| name == claim.me);
        match (self, me) {
            (Check::Named, _) if names.is_empty() => Err(ColdReason::NobodyNamed),
            (Check::Named, _) => Ok(Check::Me),
            (Check::Me, None) => Err(ColdReason::NotNamed),
            (Check::Me, Some((_, i))) if *i != claim.incarnation => Err(ColdReason::BeganAnew),
            (Check::Me, Some(_)) => Ok(Check::Whole),
            (Check::Whole, _) => claim.replica.map(|_| Check::Term).ok_or(ColdReason::NoCopy),
            (Check::Term, _) => {
                let record = claim.record.map_or(u64::MAX, |r| r.term);
                match claim.replica.is_some_and(|c| c.term >= record) {
                    true => Ok(Check::Passed),
                    false => Err(ColdReason::OldCopy),
                }
            }
            (Check::Passed, _) => Ok(Check::Passed),
        }
    }
}

/// Whether the node may use its replica.
pub fn check_failover(claim: &FailoverClaim) -> Result<(), ColdReason> {
    let mut check = Check::Named;
    while check != Check::Passed {
        check = check.step(claim)?;
    }
    Ok(())
}

#[cfg(test)]
mod tests;
