//! From a clearing to accepted bids to an award.
//!
//! A bid binds the home to nothing, so a job may have two out: the best place
//! and the next best in another market. If both are accepted, one is awarded
//! and the other let go.

use super::*;
use crate::{
    clearing::{JobBid, Place, Problem},
    lending,
    wire::{Ask, Award, Bid, BidSaid, Job, MAX_ROWS},
};

/// Bids that are not answered for so long are given up.
const PATIENCE: Millis = 4_000;
/// Of an expected cost, what an award may come to: run times are guesses.
const SLACK: f64 = 1.5;
/// An offer must stand for so much longer to be bid for.
const LEAST_LEFT: Millis = 2_000;

#[derive(Debug)]
struct Out {
    bid: u64,
    market: usize,
    price: Money,
    /// `None`: no answer yet; then the price accepted, if it was.
    said: Option<Option<Money>>,
}

#[derive(Debug)]
struct Bids {
    job: WaitingJob,
    worth: Money,
    out: Vec<Out>,
    until: Millis,
}

/// Bids under way. They expire by themselves and are not recorded.
#[derive(Debug, Default)]
pub(super) struct BidTracker {
    jobs: BTreeMap<String, Bids>,
    by_bid: HashMap<u64, String>,
    count: u64,
}

impl BidTracker {
    /// Lets a job's bids go.
    pub(super) fn forget(&mut self, job: &str, markets: &mut [Market]) {
        let Some(bids) = self.jobs.remove(job) else {
            return;
        };
        for out in bids.out {
            self.by_bid.remove(&out.bid);
            let release = &mut markets[out.market].release;
            if out.said != Some(None) && release.len() < MAX_ROWS {
                release.push(out.bid);
            }
        }
    }

    /// A call with these bids came to nothing.
    pub(super) fn unanswered(&mut self, bids: &[u64], markets: &mut [Market]) {
        for bid in bids {
            let Some(job) = self.by_bid.get(bid) else {
                continue;
            };
            let Some(out) = self
                .jobs
                .get_mut(job)
                .and_then(|b| b.out.iter_mut().find(|o| o.bid == *bid))
            else {
                continue;
            };
            out.said = Some(None);
            // It may have been accepted all the same.
            if markets[out.market].release.len() < MAX_ROWS {
                markets[out.market].release.push(*bid);
            }
        }
    }
}

/// An offer and where it stands.
struct Standing {
    market: usize,
    offer: String,
    price: Money,
}

impl Broker {
    /// Offers that can be counted on now.
    fn standing(&self, now: Millis) -> (Vec<Standing>, Vec<Place>) {
        let (mut list, mut places) = (Vec::new(), Vec::new());
        for (m, market) in self.markets.iter().enumerate() {
            let Some(clock) = market.clock.ahead(now, LEAST_LEFT) else {
                continue;
            };
            let here = self.jobs.values().filter(|l| l.market == m).count();
            if !market.known
                || !market.clock.watched()
                || !market.gate.usable()
                || !market.reputation.trusted()
                || here >= MAX_ROWS / 2
            {
                continue;
            }
            for o in &market.offers {
                if o.valid_until_ms < clock.clock_ms || o.slots == 0 {
                    continue;
                }
                let price = o.price as f64;
                places.push(Place {
                    slots: o.slots,
                    slot: o.slot,
                    price,
                    effective: market.reputation.effective(price),
                });
                list.push(Standing {
                    market: m,
                    offer: o.offer.clone(),
                    price: o.price,
                });
            }
        }
        (list, places)
    }

    pub(super) fn clear(&mut self, now: Millis) {
        self.award_accepted(now);
        if now < self.next_clearing || self.waiting.is_empty() {
            return;
        }
        self.next_clearing = now + self.o.sync_interval_ms;
        let (standing, offers) = self.standing(now);
        if offers.is_empty() {
            return;
        }
        let open: Vec<WaitingJob> = self
            .waiting
            .iter()
            .filter(|w| !self.jobs.contains_key(&w.job) && !self.bidding.jobs.contains_key(&w.job))
            .cloned()
            .collect();
        let out = self.jobs.len() + self.bidding.jobs.len();
        let (go, _) = lending::choose(&open, out, |team| self.money(team, now), &self.o);
        let teams: Vec<&String> = self.o.budgets.keys().collect();
        let (go, jobs): (Vec<WaitingJob>, Vec<JobBid>) = go
            .into_iter()
            .filter_map(|w| Some((w.clone(), bidder(w, &teams, &self.o)?)))
            .unzip();
        let problem = Problem {
            jobs,
            offers,
            budgets: teams.iter().map(|t| self.money(t, now) as f64).collect(),
        };
        let plan = crate::clearing::clear(&problem, &self.effort);
        let mut rows: BTreeMap<usize, Vec<Bid>> = BTreeMap::new();
        for ((w, j), choice) in go.iter().zip(&problem.jobs).zip(&plan.choice) {
            let Some(best) = *choice else { continue };
            let first = standing[best].market;
            // The next best, in another market, for the case that it refuses.
            let second = (0..standing.len())
                .filter(|o| standing[*o].market != first)
                .filter(|o| {
                    let p = &problem.offers[*o];
                    p.slots >= j.slots
                        && p.slot.holds(&j.slot)
                        && f64::from(j.slots) * j.hours * p.effective < j.worth
                })
                .min_by(|a, b| {
                    let price = |o: usize| problem.offers[o].effective;
                    price(*a).total_cmp(&price(*b))
                });
            let chosen = std::iter::once(best).chain(second);
            self.bid(w, j, chosen.map(|o| &standing[o]), &mut rows, now);
        }
        for (m, bids) in rows {
            for part in bids.chunks(MAX_ROWS / 4) {
                let numbers: Vec<u64> = part.iter().map(|b| b.bid).collect();
                if self.markets[m].gate.enter(now, false) {
                    self.call(m, Call::Bids(numbers), Ask::Bids(part.to_vec()));
                } else {
                    self.bidding.unanswered(&numbers, &mut self.markets);
                }
            }
        }
    }

    fn bid<'a>(
        &mut self,
        w: &WaitingJob,
        j: &JobBid,
        offers: impl Iterator<Item = &'a Standing>,
        rows: &mut BTreeMap<usize, Vec<Bid>>,
        now: Millis,
    ) {
        let mut out = Vec::new();
        for s in offers {
            self.bidding.count += 1;
            let bid = (self.term << 32) | self.bidding.count;
            self.bidding.by_bid.insert(bid, w.job.clone());
            out.push(Out {
                bid,
                market: s.market,
                price: s.price,
                said: None,
            });
            rows.entry(s.market).or_default().push(Bid {
                bid,
                offer: s.offer.clone(),
                slots: j.slots,
                price: s.price,
            });
        }
        let bids = Bids {
            job: w.clone(),
            worth: j.worth as Money,
            out,
            until: now + PATIENCE,
        };
        self.bidding.jobs.insert(w.job.clone(), bids);
    }

    pub(super) fn bids_said(&mut self, m: usize, bids: &[u64], said: &[BidSaid], now: Millis) {
        if said.len() != bids.len() {
            self.report_violation(m, "not as many answers as bids");
            return self.bidding.unanswered(bids, &mut self.markets);
        }
        for (bid, said) in bids.iter().zip(said) {
            let accepted = match said {
                BidSaid::Accepted { price, .. } => Some(*price),
                BidSaid::Refused => None,
            };
            let Some(job) = self.bidding.by_bid.get(bid) else {
                // Given up meanwhile.
                if accepted.is_some() && self.markets[m].release.len() < MAX_ROWS {
                    self.markets[m].release.push(*bid);
                }
                continue;
            };
            let out = self
                .bidding
                .jobs
                .get_mut(job)
                .and_then(|b| b.out.iter_mut().find(|o| o.bid == *bid));
            if let Some(out) = out {
                let dearer = accepted.is_some_and(|p| p > out.price);
                out.said = Some(accepted.filter(|_| !dearer));
                if dearer {
                    self.report_violation(m, "a higher price than was bid");
                }
            }
        }
        self.award_accepted(now);
    }

    /// Awards each job whose bids are all answered to the cheapest market.
    fn award_accepted(&mut self, now: Millis) {
        let ready: Vec<String> = self
            .bidding
            .jobs
            .iter()
            .filter(|(_, b)| now >= b.until || b.out.iter().all(|o| o.said.is_some()))
            .map(|(j, _)| j.clone())
            .collect();
        for job in ready {
            let Some(bids) = self.bidding.jobs.get_mut(&job) else {
                continue;
            };
            let reputation =
                |m: usize, price: Money| self.markets[m].reputation.effective(price as f64);
            let best = bids
                .out
                .iter()
                .enumerate()
                .filter_map(|(i, o)| Some((i, o.market, o.bid, o.said.flatten()?)))
                .min_by(|a, b| reputation(a.1, a.3).total_cmp(&reputation(b.1, b.3)));
            if let Some((i, market, bid, price)) = best {
                bids.out.remove(i);
                self.bidding.by_bid.remove(&bid);
                let (w, worth) = (bids.job.clone(), bids.worth);
                self.intend(w, worth, market, bid, price, now);
            }
            self.bidding.forget(&job, &mut self.markets);
        }
    }

    /// Writes down that a job is to be offloaded, before anyone is told.
    fn intend(
        &mut self,
        w: WaitingJob,
        worth: Money,
        m: usize,
        bid: u64,
        price: Money,
        now: Millis,
    ) {
        let hours = hours(&w);
        let expected = f64::from(w.left()) * hours * price as f64;
        let cap = ((expected * SLACK) as Money).min(worth).max(1);
        let still = self.waiting.iter().any(|x| x.job == w.job && x.placed == 0);
        let start_by = self.markets[m].clock.ahead(now, self.o.start_within_ms);
        let (Some(start_by), true) = (start_by, still && cap <= self.money(&w.team, now)) else {
            self.markets[m].release.push(bid);
            return;
        };
        if self.jobs.contains_key(&w.job) {
            return;
        }
        let Some(award) = self.next_award_id() else {
            return;
        };
        let message = Award {
            award,
            bid,
            start_by,
            cap,
            job: Job {
                id: w.job.clone(),
                gang: w.kind == lending::Kind::Gang,
                tasks: w.tasks,
                done: w.done.clone(),
                slot: w.slot,
                image: w.image.clone(),
                image_gb: w.image_gb,
                estimate_s: w.estimate_s,
            },
        };
        let lent = OffloadedJob {
            award,
            market: m,
            team: w.team.clone(),
            tasks: w.tasks,
            cap,
            start_by,
            phase: Phase::Intended,
            message: Some(message),
            recall: false,
        };
        let record = lent.record(&self.markets[m].name, None);
        self.ledger_sync
            .want(vec![(award_key(&w.job), value(&record))]);
        self.jobs.insert(w.job, lent);
    }
}

fn hours(w: &WaitingJob) -> f64 {
    w.estimate_s.max(1.0) / 3600.0
}

fn bidder(w: &WaitingJob, teams: &[&String], o: &Options) -> Option<JobBid> {
    Some(JobBid {
        slots: w.left(),
        slot: w.slot,
        hours: hours(w),
        worth: w.rent as f64 * o.worth,
        budget: teams.iter().position(|t| **t == w.team)?,
    })
}
