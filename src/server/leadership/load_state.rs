//! Loads the records at the start of a term, then watches the feed of jobs that other
//! nodes accept.
//!
//! This module owns the order in which the records are read, and the loop over the
//! feed. The campaign starts it when a term begins; it ends with the term.
//!
//! Invariants: loading never finishes with records that are older than the term. A feed
//! entry is removed only after its job was looked up.

use super::super::{Node, store::StoreError};
use crate::{
    control::{
        acceptance_feed::{AcceptanceFeed, Next},
        leader::Leader,
        requests::Found,
    },
    protocol::state::Item,
    state::{
        Millis,
        records::{self, MachineRecord, StoredJob},
        request_budget::RequestPriority,
        spec_chunks,
    },
};
use async_io::Timer;
use http_types::Method;
use std::{
    collections::{BTreeMap, HashSet},
    rc::Rc,
    time::Duration,
};

/// Time in milliseconds for which the store holds a watch request open while the feed
/// has no new entries.
const WATCH_WAIT_MS: Millis = 20_000;
/// Timeout of a watch request; longer than [`WATCH_WAIT_MS`].
const WATCH_TIMEOUT: Duration = Duration::from_secs(25);
/// Pauses after a failed watch request, and after a failed read.
const WATCH_RETRY_PAUSE: Duration = Duration::from_millis(300);
const READ_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Loads the records at the start of `term`, then watches the feed until the term ends.
pub(super) async fn load(node: Rc<Node>, term: u64) {
    loop {
        let led_term = node.election.borrow().leadership().map(|held| held.term);
        if led_term != Some(term) {
            return;
        }
        match node.read_records(term).await {
            Ok(()) => break,
            Err(e) => log::info!("term {term}: failed to load the records, retrying: {e}"),
        }
        Timer::after(READ_RETRY_PAUSE).await;
    }
    node.watch_acceptances(term).await;
}

impl Node {
    fn leads_term(&self, term: u64) -> bool {
        self.in_term(term, |_, _| ()).is_some()
    }

    /// Adds jobs that other nodes accepted to the leader's state, until the term ends.
    async fn watch_acceptances(&self, term: u64) {
        let mut feed = AcceptanceFeed::new(term);
        while self.leads_term(term) {
            let Some(keys) = self.next_feed_entries(&mut feed).await else {
                Timer::after(WATCH_RETRY_PAUSE).await;
                continue;
            };
            for key in keys {
                let id = key.trim_start_matches(records::ACCEPTANCES);
                if !self.accept_from_feed(term, id).await {
                    return;
                }
                self.in_term(term, |leader, _| leader.acceptance_handled(key));
            }
        }
    }

    /// Waits for new entries of the feed. Returns `None` if the feed can't be read now.
    async fn next_feed_entries(&self, feed: &mut AcceptanceFeed) -> Option<Vec<String>> {
        let now = self.now();
        self.budgets
            .charge_requests(now, RequestPriority::Leadership, 1);
        let answer = self
            .call_store(Method::Get, &feed.path(WATCH_WAIT_MS), None, WATCH_TIMEOUT)
            .await
            .ok()?;
        match feed.answered(answer.status, &answer.body) {
            Next::LookUp(keys) => Some(keys),
            Next::Pause => None,
            Next::List => {
                let listing = self
                    .list_as_of(records::ACCEPTANCES, RequestPriority::Acceptance)
                    .await
                    .ok()?;
                feed.listed(listing.revision);
                Some(listing.items.into_iter().map(|item| item.key).collect())
            }
        }
    }

    /// Looks up a job of the feed, with retries until the lookup succeeds or the term
    /// ends. Returns `false` if the term has ended.
    async fn accept_from_feed(&self, term: u64, id: &str) -> bool {
        loop {
            match self.lookup(id, RequestPriority::Acceptance).await {
                Ok(Found::Live(record, version)) => {
                    self.in_term(term, |leader, now| leader.accepted(*record, version, now));
                    return true;
                }
                Ok(_) => return true,
                Err(_) => Timer::after(READ_RETRY_PAUSE).await,
            };
            if !self.leads_term(term) {
                return false;
            }
        }
    }

    /// Reads all records and loads them into the leader's state of `term`.
    async fn read_records(&self, term: u64) -> Result<(), StoreError> {
        // The machine registry is read first, as the leases of workers depend on it.
        let machines = self
            .list_as_of(records::MACHINES, RequestPriority::Acceptance)
            .await?;
        if machines.revision < term {
            return Err(StoreError::BeforeTerm(machines.revision));
        }
        let revision = machines.revision;
        let jobs = self
            .list(records::JOBS, RequestPriority::Acceptance)
            .await?;
        let segments = self
            .list(records::SEGMENTS, RequestPriority::Acceptance)
            .await?;
        let chunks = self
            .list(spec_chunks::SPEC_CHUNKS, RequestPriority::Acceptance)
            .await?;
        let feed_entries = self
            .list(records::ACCEPTANCES, RequestPriority::Acceptance)
            .await?;
        let standbys = self.read_standby_record().await?;
        self.read_exclusions(term).await?;
        self.in_term(term, |leader, now| {
            leader.load_standbys(standbys);
            load_machines(leader, machines.items, now);
            let unreadable = load_jobs(leader, jobs, &chunks, now);
            load_spec_chunks(leader, &chunks, &unreadable);
            load_segments(leader, segments, &unreadable);
            // The jobs of these entries are among the loaded jobs, unless they were
            // accepted after the jobs were read. The watch reports entries of the
            // latter again.
            for entry in feed_entries
                .into_iter()
                .filter(|entry| entry.version <= term)
            {
                leader.acceptance_handled(entry.key);
            }
            leader.finish_loading(now);
            log::info!(
                "term {term}: loaded {} jobs and {} machines, as of revision {revision} or later",
                leader.cluster.live_jobs(),
                leader.cluster.machine_count(),
            );
        });
        Ok(())
    }
}

fn load_machines(leader: &mut Leader, machines: Vec<Item>, now: Millis) {
    for item in machines {
        let name = item.key.trim_start_matches(records::MACHINES).to_owned();
        match serde_json::from_value::<MachineRecord>(item.value) {
            Ok(record) => leader.load_machine(&name, record, item.version, now),
            Err(e) => log::error!("failed to decode machine record {}: {e}", item.key),
        }
    }
}

/// Loads the job records, and returns the ids of jobs whose records can't be decoded.
/// Polls of these jobs are answered with 503, and the next leader tries again, so their
/// spec chunks and segments must not be removed.
fn load_jobs(
    leader: &mut Leader,
    jobs: Vec<Item>,
    chunks: &[Item],
    now: Millis,
) -> HashSet<String> {
    let chunk_texts: BTreeMap<&str, &str> = chunks
        .iter()
        .filter_map(|item| Some((item.key.as_str(), item.value.as_str()?)))
        .collect();
    let mut unreadable = HashSet::new();
    for item in jobs {
        let id = item.key.trim_start_matches(records::JOBS);
        let stored = serde_json::from_value::<StoredJob>(item.value);
        let complete = stored.map_err(anyhow::Error::from).and_then(|stored| {
            stored.with_spec(|chunks| {
                let texts = chunks
                    .keys(id)
                    .filter_map(|key| chunk_texts.get(key.as_str()).copied());
                spec_chunks::join(chunks, texts)
            })
        });
        match complete {
            Ok(record) => {
                leader.load_job(record, item.version, now);
            }
            Err(e) => {
                log::error!("failed to decode job record {}: {e:#}", item.key);
                unreadable.insert(id.to_owned());
            }
        }
    }
    unreadable
}

fn load_spec_chunks(leader: &mut Leader, chunks: &[Item], unreadable: &HashSet<String>) {
    let of_readable_jobs = chunks.iter().filter(|item| {
        let id = spec_chunks::SpecChunks::job_of(&item.key);
        id.is_none_or(|id| !unreadable.contains(id))
    });
    let versions = of_readable_jobs.map(|item| (item.key.clone(), item.version));
    leader.load_spec_chunks(versions.collect());
}

fn load_segments(leader: &mut Leader, segments: Vec<Item>, unreadable: &HashSet<String>) {
    for item in segments {
        let name = item.key.strip_prefix(records::SEGMENTS);
        let Some((id, index)) = name.and_then(|name| name.rsplit_once('/')) else {
            continue;
        };
        if unreadable.contains(id) {
            continue;
        }
        if let (Ok(index), Some(text)) = (index.parse(), item.value.as_str()) {
            leader.load_segment(id, index, text);
        }
    }
}
