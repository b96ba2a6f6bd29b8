//! Reads of jobs that other jobs depend on, for polls that are answered from the
//! records.
//!
//! This module owns the dependency records that this node has read. It is called for
//! polls that only the records can answer (`server::poll_records`).
//!
//! Invariants: a job is reported as unfinished only if its dependencies were read
//! recently enough. The number of dependencies that are read for one poll, or for one
//! round of polls, is bounded.

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

/// Maximum number of levels of dependencies that are read for one poll. The
/// dependencies that were read are kept, so that the next poll of the job continues
/// from them.
const MAX_LEVELS: usize = 8;
/// Maximum number of levels of dependencies that are followed in a list of the live
/// records. A level costs no request there, but the bound is still needed: if the list
/// is already too old, or has more dependencies than this node keeps, they stay unread
/// however often the list is followed.
const MAX_LISTED_LEVELS: usize = 64;
/// Maximum number of dependencies that are read per level for one poll, and in total
/// for one round of polls.
const MAX_READS: usize = 500;

/// Values and versions of all live records in a list, by key.
pub(super) type ListedRecords = HashMap<String, (Value, u64)>;

/// Status and dependencies of a job, as decoded from its record.
pub(super) struct ListedJob {
    pub(super) status: JobStatus,
    /// Jobs whose cancellation may cancel this job. Empty once a task of this job is
    /// complete, as a job is started only after all jobs that it depends on are done.
    pub(super) dependencies: Vec<String>,
}

/// Evidence that this node has read about jobs that other jobs depend on.
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
    /// Returns whether a job that depends on other jobs may be reported as unfinished,
    /// and if not, why.
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

    /// Stores the final state of a job.
    pub(super) fn learn_final(&self, id: &str, record: &FinalRecord) {
        self.with_view(|view| view.remember(&final_status(id, record)));
    }

    /// Reads the direct and transitive dependencies of a job that are not known yet, up
    /// to [`MAX_LEVELS`] levels. The job itself must have been read before.
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
                    Ok(Found::NoRecord) | Err(_) => continue,
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
        // The dependencies in a spec never change: a spec that is kept in chunks isn't
        // read again if they are known.
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

    /// Stores the state and the dependencies of a job that a read begun at `read_at`
    /// found.
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

    /// Follows the dependencies of the given jobs through a list of all live jobs whose
    /// read began at `read_at`. Returns the dependencies that are not in the list:
    /// these jobs have ended.
    pub(super) async fn follow_listed_dependencies(
        &self,
        ids: &[&str],
        listed: &ListedRecords,
        read_at: Millis,
    ) -> BTreeSet<String> {
        let mut ended = BTreeSet::new();
        for id in ids {
            let mut unread = self.unread_dependencies(id);
            for _ in 0..MAX_LISTED_LEVELS {
                if !self.learn_all_listed(&unread, listed, read_at).await {
                    break;
                }
                unread = self.unread_dependencies(id);
            }
            unread.retain(|id| !listed.contains_key(&job_key(id)));
            ended.extend(unread);
            if ended.len() >= MAX_READS {
                break;
            }
        }
        ended.into_iter().take(MAX_READS).collect()
    }

    /// Stores each of the given jobs that is in the list. Returns whether any was
    /// stored.
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
