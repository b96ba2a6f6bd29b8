//! A new leader reads the records, then learns of jobs that other nodes accept.

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

/// A watch waits for 20 s.
const WATCH_TIMEOUT: Duration = Duration::from_secs(25);

/// Reads the records of a new term.
pub(super) async fn load(node: Rc<Node>, term: u64) {
    loop {
        if node.election.borrow().leadership().map(|l| l.term) != Some(term) {
            return;
        }
        match node.read_records(term).await {
            Ok(()) => break,
            Err(e) => log::info!("reading the records: {e}"),
        }
        Timer::after(Duration::from_millis(200)).await;
    }
    node.watch_acceptances(term).await;
}

impl Node {
    /// Learns of jobs that other nodes accepted.
    async fn watch_acceptances(&self, term: u64) {
        let mut notices = AcceptanceFeed::new(term);
        let pause = || Timer::after(Duration::from_millis(300));
        while self.of_term(term, |_, _| ()).is_some() {
            let now = self.now();
            self.budgets.charge_requests(now, 1.0);
            let answer = self
                .state(Method::Get, &notices.path(20_000), None, WATCH_TIMEOUT)
                .await;
            let next = match &answer {
                Ok(a) => notices.answered(a.status, &a.body),
                Err(_) => Next::Pause,
            };
            let keys = match next {
                Next::Look(keys) => keys,
                Next::Pause => {
                    pause().await;
                    continue;
                }
                Next::List => match self.list_as_of(records::ACCEPTANCES).await {
                    Ok(listing) => {
                        notices.listed(listing.revision);
                        listing.items.into_iter().map(|i| i.key).collect()
                    }
                    Err(_) => {
                        pause().await;
                        continue;
                    }
                },
            };
            for key in keys {
                let id = key.trim_start_matches(records::ACCEPTANCES).to_owned();
                loop {
                    match self.lookup(&id).await {
                        Ok(Found::Live(record, version)) => {
                            self.of_term(term, |l, now| l.accepted(*record, version, now));
                            break;
                        }
                        Ok(_) => break,
                        Err(_) => Timer::after(Duration::from_millis(200)).await,
                    };
                    if self.of_term(term, |_, _| ()).is_none() {
                        return;
                    }
                }
                self.of_term(term, |l, _| l.acceptance_handled(key));
            }
        }
    }

    async fn read_records(&self, term: u64) -> Result<(), StoreError> {
        // The machine registry first: it is what the leases of workers hang on.
        let machines = self.list_as_of(records::MACHINES).await?;
        if machines.revision < term {
            return Err(StoreError::BeforeTerm(machines.revision));
        }
        let jobs = self.list(records::JOBS).await?;
        let chunks = self.list(records::SEGMENTS).await?;
        let pieces = self.list(spec_chunks::SPEC_CHUNKS).await?;
        let notices = self.list(records::ACCEPTANCES).await?;
        let standbys = self.read_standby_record().await?;
        self.read_exclusions(term).await?;
        self.of_term(term, |l, now| {
            l.load_standbys(standbys);
            load_machines(l, machines.items, now);
            let unreadable = load_jobs(l, jobs, &pieces, now);
            load_spec_chunks(l, &pieces, &unreadable);
            load_segments(l, chunks, &unreadable);
            // What they tell of is among the jobs, unless it came after those
            // were read; then the watch tells of it again.
            for notice in notices.into_iter().filter(|n| n.version <= term) {
                l.acceptance_handled(notice.key);
            }
            l.finish_loading(now);
        });
        Ok(())
    }
}

fn load_machines(l: &mut Leader, machines: Vec<Item>, now: Millis) {
    for item in machines {
        let name = item.key.trim_start_matches(records::MACHINES).to_owned();
        match serde_json::from_value::<MachineRecord>(item.value) {
            Ok(record) => l.load_machine(&name, record, item.version, now),
            Err(e) => log::error!("record {}: {e}", item.key),
        }
    }
}

/// Returns the jobs whose records can't be read. Polls of those are answered
/// 503, and the next leader tries again; what else is kept of them must stay.
fn load_jobs(l: &mut Leader, jobs: Vec<Item>, pieces: &[Item], now: Millis) -> HashSet<String> {
    let text: BTreeMap<&str, &str> = pieces
        .iter()
        .filter_map(|i| Some((i.key.as_str(), i.value.as_str()?)))
        .collect();
    let mut unreadable = HashSet::new();
    for item in jobs {
        let id = item.key.trim_start_matches(records::JOBS);
        let stored = serde_json::from_value::<StoredJob>(item.value);
        let whole = stored.map_err(anyhow::Error::from).and_then(|s| {
            s.with_spec(|p| {
                let values = p.keys(id).filter_map(|k| text.get(k.as_str()).copied());
                spec_chunks::join(p, values)
            })
        });
        match whole {
            Ok(record) => {
                l.load_job(record, item.version, now);
            }
            Err(e) => {
                log::error!("record {}: {e:#}", item.key);
                unreadable.insert(id.to_owned());
            }
        }
    }
    unreadable
}

fn load_spec_chunks(l: &mut Leader, pieces: &[Item], unreadable: &HashSet<String>) {
    let cleared = pieces.iter().filter(|i| {
        let id = spec_chunks::SpecChunks::job_of(&i.key);
        id.is_none_or(|id| !unreadable.contains(id))
    });
    l.load_spec_chunks(cleared.map(|i| (i.key.clone(), i.version)).collect());
}

fn load_segments(l: &mut Leader, chunks: Vec<Item>, unreadable: &HashSet<String>) {
    for item in chunks {
        let name = item.key.strip_prefix(records::SEGMENTS);
        let Some((id, chunk)) = name.and_then(|k| k.rsplit_once('/')) else {
            continue;
        };
        if unreadable.contains(id) {
            continue;
        }
        if let (Ok(chunk), Some(text)) = (chunk.parse(), item.value.as_str()) {
            l.load_segment(id, chunk, text);
        }
    }
}
