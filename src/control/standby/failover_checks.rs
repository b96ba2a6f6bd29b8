//! What a new leader checks before its first decision. Each answer in turn
//! must be yes; any no takes the cold way, on which nothing older than the
//! term is placed before every machine was heard or its lease has expired.

use super::replica::Replica;
use crate::state::records::StandbyRecord;

/// The checks, in order. The one for authority, and the one that the process
/// did not stand still, are made with each decision: without authority nothing
/// is decided, and after standing still it has to be renewed first. The one
/// for the records is made when they are read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Check {
    /// Somebody is named.
    Named,
    /// This node is, in this incarnation.
    Me,
    /// It has a copy that was told whole.
    Whole,
    /// Of the term of the record, or of one since that started nothing.
    Term,
    Passed,
}

/// Why a new leader takes the cold way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ColdReason {
    NobodyNamed,
    NotNamed,
    BeganAnew,
    NoCopy,
    OldCopy,
}

impl ColdReason {
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

/// What the checks go by.
pub struct FailoverClaim<'a> {
    pub me: &'a str,
    pub incarnation: u64,
    /// As read in this term: since then nobody else can have changed it.
    pub record: Option<&'a StandbyRecord>,
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

/// Whether the node may go by its copy.
pub fn check_failover(claim: &FailoverClaim) -> Result<(), ColdReason> {
    let mut check = Check::Named;
    while check != Check::Passed {
        check = check.step(claim)?;
    }
    Ok(())
}

#[cfg(test)]
mod tests;
