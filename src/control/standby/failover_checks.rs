//! What a new leader checks before its first decision. Each answer in turn
//! must be yes; any no takes the cold way, on which nothing older than the
//! term is placed before every machine was heard or its lease has lapsed.

use super::replica::Copy;
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
pub enum Refusal {
    NobodyNamed,
    NotNamed,
    BeganAnew,
    NoCopy,
    OldCopy,
}

impl Refusal {
    pub fn text(self) -> &'static str {
        match self {
            Refusal::NobodyNamed => "no standby was named",
            Refusal::NotNamed => "other nodes were named",
            Refusal::BeganAnew => "this process began after it was named",
            Refusal::NoCopy => "it has no whole copy",
            Refusal::OldCopy => "its copy is of an earlier term than the record",
        }
    }
}

/// What the checks go by.
pub struct Claim<'a> {
    pub me: &'a str,
    pub incarnation: u64,
    /// As read in this term: since then nobody else can have changed it.
    pub record: Option<&'a StandbyRecord>,
    pub copy: Option<&'a Copy>,
}

impl Check {
    fn step(self, claim: &Claim) -> Result<Check, Refusal> {
        let names = claim.record.map_or(&[][..], |r| &r.named);
        let me = names.iter().find(|(name, _)| name == claim.me);
        match (self, me) {
            (Check::Named, _) if names.is_empty() => Err(Refusal::NobodyNamed),
            (Check::Named, _) => Ok(Check::Me),
            (Check::Me, None) => Err(Refusal::NotNamed),
            (Check::Me, Some((_, i))) if *i != claim.incarnation => Err(Refusal::BeganAnew),
            (Check::Me, Some(_)) => Ok(Check::Whole),
            (Check::Whole, _) => claim.copy.map(|_| Check::Term).ok_or(Refusal::NoCopy),
            (Check::Term, _) => {
                let record = claim.record.map_or(u64::MAX, |r| r.term);
                match claim.copy.is_some_and(|c| c.term >= record) {
                    true => Ok(Check::Passed),
                    false => Err(Refusal::OldCopy),
                }
            }
            (Check::Passed, _) => Ok(Check::Passed),
        }
    }
}

/// Whether the node may go by its copy.
pub fn judge(claim: &Claim) -> Result<(), Refusal> {
    let mut check = Check::Named;
    while check != Check::Passed {
        check = check.step(claim)?;
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_no_takes_the_cold_way() {
        let record = |term, name: &str, i| StandbyRecord {
            term,
            named: vec![(name.into(), i)],
            known_to_all: true,
        };
        let copy = |term| Copy {
            term,
            ..Copy::default()
        };
        let judge = |record: Option<StandbyRecord>, copy: Option<Copy>| {
            judge(&Claim {
                me: "n1",
                incarnation: 7,
                record: record.as_ref(),
                copy: copy.as_ref(),
            })
        };
        assert_eq!(judge(None, Some(copy(5))), Err(Refusal::NobodyNamed));
        let nobody = StandbyRecord::default();
        assert_eq!(
            judge(Some(nobody), Some(copy(5))),
            Err(Refusal::NobodyNamed)
        );
        let named = record(5, "n1", 7);
        let other = record(5, "n2", 7);
        assert_eq!(judge(Some(other), Some(copy(5))), Err(Refusal::NotNamed));
        let before = record(5, "n1", 6);
        assert_eq!(judge(Some(before), Some(copy(5))), Err(Refusal::BeganAnew));
        assert_eq!(judge(Some(named.clone()), None), Err(Refusal::NoCopy));
        // A leader in between has started something and wrote a record.
        assert_eq!(
            judge(Some(named.clone()), Some(copy(4))),
            Err(Refusal::OldCopy)
        );
        assert_eq!(judge(Some(named.clone()), Some(copy(5))), Ok(()));
        assert_eq!(judge(Some(named), Some(copy(6))), Ok(()));
    }
}
