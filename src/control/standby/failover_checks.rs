//! Checks that a new leader makes before its first decision. The checks are made in
//! order and each must pass; any failure means a cold failover, in which no job from
//! before the term is placed until every machine is confirmed by a heartbeat or its
//! lease has expired.
//!
//! Called once by the leader's failover. The result is a pure function of the claim.
//! The checks must never pass a replica that may lack a running task.

use super::replica::Replica;
use crate::state::records::StandbyRecord;

/// The checks, in order. Authority, and that the process was not paused, are checked
/// with each decision: without authority the leader decides nothing, and after a pause
/// the authority has to be renewed first. The records are checked when they are read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Check {
    /// The record names a standby.
    StandbyNamed,
    /// The record names this node, in its current incarnation.
    OwnName,
    /// This node has a complete replica.
    ReplicaComplete,
    /// The replica is of the term of the record, or of a later term that started no
    /// task.
    ReplicaTerm,
    /// All checks passed.
    Passed,
}

/// Why a failover is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ColdReason {
    /// The record names no standby.
    NoStandbyNamed,
    /// The record names other nodes.
    OtherNodesNamed,
    /// The record names this node in an earlier incarnation.
    Restarted,
    /// This node has no complete replica.
    NoCompleteReplica,
    /// The replica of this node is of an earlier term than the record.
    OutdatedReplica,
}

impl ColdReason {
    /// Returns the text for operators and metrics.
    pub fn text(self) -> &'static str {
        match self {
            ColdReason::NoStandbyNamed => "no standby was named",
            ColdReason::OtherNodesNamed => "other nodes were named",
            ColdReason::Restarted => "this process began after it was named",
            ColdReason::NoCompleteReplica => "it has no whole copy",
            ColdReason::OutdatedReplica => "its copy is of an earlier term than the record",
        }
    }
}

/// The input of the checks.
pub struct FailoverClaim<'a> {
    /// Name of this node.
    pub node_name: &'a str,
    /// Incarnation of this node.
    pub incarnation: u64,
    /// The record as read in this term, since when no other node can have changed it.
    pub record: Option<&'a StandbyRecord>,
    /// The complete replica of this node, if it has one.
    pub replica: Option<&'a Replica>,
}

impl Check {
    fn step(self, claim: &FailoverClaim) -> Result<Check, ColdReason> {
        let names = claim.record.map_or(&[][..], |r| &r.standbys);
        let own_entry = names.iter().find(|(name, _)| name == claim.node_name);
        match (self, own_entry) {
            (Check::StandbyNamed, _) if names.is_empty() => Err(ColdReason::NoStandbyNamed),
            (Check::StandbyNamed, _) => Ok(Check::OwnName),
            (Check::OwnName, None) => Err(ColdReason::OtherNodesNamed),
            (Check::OwnName, Some((_, i))) if *i != claim.incarnation => Err(ColdReason::Restarted),
            (Check::OwnName, Some(_)) => Ok(Check::ReplicaComplete),
            (Check::ReplicaComplete, _) => claim
                .replica
                .map(|_| Check::ReplicaTerm)
                .ok_or(ColdReason::NoCompleteReplica),
            (Check::ReplicaTerm, _) => {
                let record_term = claim.record.map_or(u64::MAX, |r| r.term);
                match claim.replica.is_some_and(|c| c.term >= record_term) {
                    true => Ok(Check::Passed),
                    false => Err(ColdReason::OutdatedReplica),
                }
            }
            (Check::Passed, _) => Ok(Check::Passed),
        }
    }
}

/// Whether the node may use its replica; `Err` gives the reason for a cold failover.
pub fn check_failover(claim: &FailoverClaim) -> Result<(), ColdReason> {
    let mut check = Check::StandbyNamed;
    while check != Check::Passed {
        check = check.step(claim)?;
    }
    Ok(())
}

#[cfg(test)]
mod tests;
