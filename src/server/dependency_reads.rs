//! Reads of the jobs that others depend on, for answers from the records.
//!
//! Owns: what this node has read of such jobs. Called by the polls that only the
//! records can answer (`server::polls`).
//!
//! Must never: call a job unfinished whose dependencies were not read lately enough,
//! or read more of them for one poll than is bounded here.

use super::{Node, store::StoreError};
use crate::{
    control::{
        dependency_evidence::{DependencyEvidence, DependencyVerdict},
        requests::{Found, final_status},
    },
    protocol::users::JobStatus,
    state::{
        Millis,
        records::{FinalRecord, JobRecord, StoredJob, job_key},
        request_budget::RequestPriority,
    },
};
use serde::Deserialize;
use serde_json::Value;
use std::{
    cell::RefCell,
    collections::{BTreeSet, HashMap},
};

/// How many levels of dependencies are read for one poll. What was read is kept, so
/// that the next poll of the job goes on from there.
const MAX_LEVELS: usize = 8;
/// The same of a list that was read, where a level costs no request. A list that is
/// too old by now, or longer than what is kept, never becomes known however often it
/// is followed.
const MAX_LISTED_LEVELS: usize = 64;
/// Most dependencies that are read for one poll, and for one round of polls.
const MAX_READS: usize = 500;

/// Values and versions of the live records that were listed, by key.
pub(super) type ListedRecords = HashMap<String, (Value, u64)>;

/// A listed job by its record.
pub(super) struct ListedJob {
    pub(super) status: JobStatus,
    /// The jobs with which it may be cancelled: none once a task of it is complete, as
    /// it was started when all of them were done.
    pub(super) dependencies: Vec<String>,
}

/// What this node has read of jobs that others depend on.
pub(super) struct DependencyReads {
    evidence: RefCell<DependencyEvidence>,
}

impl DependencyReads {
    pub(super) fn new(evidence: DependencyEvidence) -> Self {
        DependencyReads {
            evidence: RefCell::new(evidence),
        }
    }

    fn known_dependencies(&self, id: &str) -> Option<Vec<String>> {
        let evidence = self.evidence.borrow();
        evidence.dependencies_of(id).map(<[String]>::to_vec)
    }

    fn read_unfinished(&self, id: &str, dependencies: Vec<String>, read_at: Millis) {
        let mut evidence = self.evidence.borrow_mut();
        evidence.read_unfinished(id, dependencies, read_at);
    }
}

impl ListedJob {
    pub(super) fn of(record: JobRecord) -> Self {
        let status = record.status();
        let dependencies = match status.done {
            0 => record.spec.dependencies,
            _ => Vec::new(),
        };
        ListedJob {
            status,
            dependencies,
        }
    }
}

impl Node {
    /// Whether a job that depends on others may be called unfinished.
    pub(super) fn dependency_verdict(&self, id: &str) -> DependencyVerdict {
        let evidence = self.dependency_reads.evidence.borrow();
        self.with_view(|view| view.dependency_verdict(&evidence, id))
    }

    fn unread_dependencies(&self, id: &str) -> BTreeSet<String> {
        match self.dependency_verdict(id) {
            DependencyVerdict::Unread(ids) => ids,
            DependencyVerdict::NotCancelled | DependencyVerdict::Cancelled(_) => BTreeSet::new(),
        }
    }

    /// Remembers the final state of a job.
    pub(super) fn learn_final(&self, id: &str, record: &FinalRecord) {
        self.with_view(|view| view.remember(&final_status(id, record)));
    }

    /// Reads the dependencies of a job that was read, and theirs, as far as they are
    /// not known.
    pub(super) async fn read_dependencies(&self, id: &str) {
        for _ in 0..MAX_LEVELS {
            let unread = self.unread_dependencies(id);
            let ids: Vec<String> = unread.into_iter().take(MAX_READS).collect();
            if ids.is_empty() {
                return;
            }
            let read_at = self.now();
            let mut has_read = false;
            for (id, found) in self.lookup_all(&ids, RequestPriority::Poll).await {
                match found {
                    Ok(Found::Live(record, _)) => {
                        self.learn_job(ListedJob::of(*record), read_at);
                    }
                    Ok(Found::Final(record, _)) => self.learn_final(&id, &record),
                    Ok(Found::Nothing) | Err(_) => continue,
                }
                has_read = true;
            }
            if !has_read {
                return;
            }
        }
    }

    /// Decodes the record of a listed job.
    pub(super) async fn decode_listed(
        &self,
        id: &str,
        value: &Value,
    ) -> Result<ListedJob, StoreError> {
        let stored = StoredJob::deserialize(value)?;
        let status = stored.status(id);
        if status.state.is_final() || status.done > 0 {
            let dependencies = Vec::new();
            return Ok(ListedJob {
                status,
                dependencies,
            });
        }
        // A long spec need not be read again for what never changes in it.
        let known = match stored.spec {
            Some(_) => None,
            None => self.dependency_reads.known_dependencies(id),
        };
        let dependencies = match known {
            Some(dependencies) => dependencies,
            None => {
                let record = self.with_spec(id, stored, RequestPriority::Poll).await?;
                record.spec.dependencies
            }
        };
        Ok(ListedJob {
            status,
            dependencies,
        })
    }

    /// Remembers what a read that began at `read_at` found of a job.
    pub(super) fn learn_job(&self, job: ListedJob, read_at: Millis) {
        let ListedJob {
            status,
            dependencies,
        } = job;
        if status.state.is_final() {
            self.with_view(|view| view.remember(&status));
        } else {
            self.dependency_reads
                .read_unfinished(&status.id, dependencies, read_at);
        }
    }

    /// Follows the dependencies of these jobs through a list of all live ones that
    /// was begun at `read_at`. Returns those that are not live: they are over.
    pub(super) async fn follow_listed_dependencies(
        &self,
        ids: &[&str],
        listed: &ListedRecords,
        read_at: Millis,
    ) -> BTreeSet<String> {
        let mut over = BTreeSet::new();
        for id in ids {
            let mut unread = self.unread_dependencies(id);
            for _ in 0..MAX_LISTED_LEVELS {
                if !self.learn_all_listed(&unread, listed, read_at).await {
                    break;
                }
                unread = self.unread_dependencies(id);
            }
            unread.retain(|id| !listed.contains_key(&job_key(id)));
            over.extend(unread);
            if over.len() >= MAX_READS {
                break;
            }
        }
        over.into_iter().take(MAX_READS).collect()
    }

    /// Takes in those of the jobs that are listed; returns whether one was.
    async fn learn_all_listed(
        &self,
        ids: &BTreeSet<String>,
        listed: &ListedRecords,
        read_at: Millis,
    ) -> bool {
        let mut has_learned = false;
        for id in ids {
            if let Some((value, _)) = listed.get(&job_key(id))
                && let Ok(job) = self.decode_listed(id, value).await
            {
                self.learn_job(job, read_at);
                has_learned = true;
            }
        }
        has_learned
    }
}
