//! Turns the result of a clearing into bids, and accepted bids into awards.
//!
//! A bid does not bind the home, so a job may have two bids at a time: one for
//! the best offer and one for the best offer of another market. If both are
//! accepted, the broker awards the job to one market and releases the other bid.

use super::*;
use crate::{
    clearing::{JobBid, PricedOffer, Problem},
    lending,
    wire::{Award, Bid, BidAnswer, Job, MAX_ITEMS_PER_MESSAGE, RequestBody},
};

/// Time after which an unanswered bid is given up.
const BID_TIMEOUT_MS: Millis = 4_000;
/// Ratio of an award's cap to its expected cost. Estimates of run times are
/// inaccurate, so the cap leaves room above the expected cost.
const COST_CAP_FACTOR: f64 = 1.5;
/// Remaining validity that an offer must have to be bid for.
const MIN_OFFER_VALIDITY_MS: Millis = 2_000;

/// A bid that was sent to a market.
#[derive(Debug)]
struct PendingBid {
    bid: u64,
    market: usize,
    price: Money,
    /// `None`: no answer yet; `Some(None)`: refused or failed; `Some(Some(price))`:
    /// accepted at this price.
    answer: Option<Option<Money>>,
}

/// The bids for one job.
#[derive(Debug)]
struct JobBids {
    job: WaitingJob,
    max_cost: Money,
    pending: Vec<PendingBid>,
    expires_at: Millis,
}

/// Bids that are not yet awarded or released. They are kept in memory only,
/// because a market lets them expire without further messages.
#[derive(Debug, Default)]
pub(super) struct BidTracker {
    jobs: BTreeMap<String, JobBids>,
    job_by_bid: HashMap<u64, String>,
    bid_count: u64,
}

impl BidTracker {
    /// Drops a job's bids and queues those that a market may hold for release.
    pub(super) fn drop_job(&mut self, job: &str, markets: &mut [Market]) {
        let Some(bids) = self.jobs.remove(job) else {
            return;
        };
        for bid in bids.pending {
            self.job_by_bid.remove(&bid.bid);
            let released_bids = &mut markets[bid.market].released_bids;
            if bid.answer != Some(None) && released_bids.len() < MAX_ITEMS_PER_MESSAGE {
                released_bids.push(bid.bid);
            }
        }
    }

    /// Marks bids as failed whose call got no usable reply.
    pub(super) fn mark_unanswered(&mut self, bids: &[u64], markets: &mut [Market]) {
        for bid in bids {
            let Some(job) = self.job_by_bid.get(bid) else {
                continue;
            };
            let Some(pending_bid) = self
                .jobs
                .get_mut(job)
                .and_then(|b| b.pending.iter_mut().find(|o| o.bid == *bid))
            else {
                continue;
            };
            pending_bid.answer = Some(None);
            // The market may have accepted the bid although its reply was lost.
            if markets[pending_bid.market].released_bids.len() < MAX_ITEMS_PER_MESSAGE {
                markets[pending_bid.market].released_bids.push(*bid);
            }
        }
    }
}

/// An offer and the market that made it.
struct UsableOffer {
    market: usize,
    offer: String,
    price: Money,
}

impl Broker {
    /// Returns the valid offers of trusted markets that can be called, whose clocks
    /// are reliable and that hold fewer than half of `MAX_ITEMS_PER_MESSAGE` jobs; the second
    /// list has the same offers in the form that the clearing takes.
    fn usable_offers(&self, now: Millis) -> (Vec<UsableOffer>, Vec<PricedOffer>) {
        let (mut offers, mut priced_offers) = (Vec::new(), Vec::new());
        for (market_index, market) in self.markets.iter().enumerate() {
            let Some(clock) = market.clock.time_after(now, MIN_OFFER_VALIDITY_MS) else {
                continue;
            };
            let awards_here = self
                .jobs
                .values()
                .filter(|l| l.market == market_index)
                .count();
            if !market.configured
                || !market.clock.observed_long_enough()
                || !market.breaker.usable()
                || !market.reputation.trusted()
                || awards_here >= MAX_ITEMS_PER_MESSAGE / 2
            {
                continue;
            }
            for offer in &market.offers {
                if offer.valid_until_ms < clock.clock_ms || offer.slots == 0 {
                    continue;
                }
                let price = offer.price as f64;
                priced_offers.push(PricedOffer {
                    slots: offer.slots,
                    slot: offer.slot,
                    price,
                    effective_price: market.reputation.effective_price(price),
                });
                offers.push(UsableOffer {
                    market: market_index,
                    offer: offer.offer.clone(),
                    price: offer.price,
                });
            }
        }
        (offers, priced_offers)
    }

    /// Assigns waiting jobs to offers, at most once per sync interval, and sends
    /// the bids that follow from it.
    pub(super) fn clear_waiting_jobs(&mut self, now: Millis) {
        self.award_accepted_bids(now);
        if now < self.next_clearing || self.waiting.is_empty() {
            return;
        }
        self.next_clearing = now + self.options.sync_interval_ms;
        let (usable_offers, offers) = self.usable_offers(now);
        if offers.is_empty() {
            return;
        }
        let open_jobs: Vec<WaitingJob> = self
            .waiting
            .iter()
            .filter(|w| !self.jobs.contains_key(&w.job) && !self.bidding.jobs.contains_key(&w.job))
            .cloned()
            .collect();
        let offloaded = self.jobs.len() + self.bidding.jobs.len();
        let (chosen_jobs, _) = lending::choose(
            &open_jobs,
            offloaded,
            |team| self.remaining_budget(team, now),
            &self.options,
        );
        let teams: Vec<&String> = self.options.budgets.keys().collect();
        let (chosen_jobs, jobs): (Vec<WaitingJob>, Vec<JobBid>) = chosen_jobs
            .into_iter()
            .filter_map(|job| Some((job.clone(), job_bid(job, &teams, &self.options)?)))
            .unzip();
        let problem = Problem {
            jobs,
            offers,
            budgets: teams
                .iter()
                .map(|t| self.remaining_budget(t, now) as f64)
                .collect(),
        };
        let plan = crate::clearing::clear(&problem, &self.effort);
        let mut rows: BTreeMap<usize, Vec<Bid>> = BTreeMap::new();
        for ((job, terms), choice) in chosen_jobs.iter().zip(&problem.jobs).zip(&plan.choice) {
            let Some(best) = *choice else { continue };
            let first = usable_offers[best].market;
            // The best offer of another market serves as a fallback if the first
            // market refuses the bid.
            let second_best = (0..usable_offers.len())
                .filter(|o| usable_offers[*o].market != first)
                .filter(|o| {
                    let candidate = &problem.offers[*o];
                    candidate.slots >= terms.slots
                        && candidate.slot.holds(&terms.slot)
                        && f64::from(terms.slots) * terms.hours * candidate.effective_price
                            < terms.max_cost
                })
                .min_by(|a, b| {
                    let price = |o: usize| problem.offers[o].effective_price;
                    price(*a).total_cmp(&price(*b))
                });
            let bid_offers = std::iter::once(best).chain(second_best);
            self.place_bids(
                job,
                terms,
                bid_offers.map(|o| &usable_offers[o]),
                &mut rows,
                now,
            );
        }
        for (market_index, bids) in rows {
            for batch in bids.chunks(MAX_ITEMS_PER_MESSAGE / 4) {
                let bid_ids: Vec<u64> = batch.iter().map(|b| b.bid).collect();
                if self.markets[market_index].breaker.admit(now, false) {
                    self.send_call(
                        market_index,
                        Call::Bids(bid_ids),
                        RequestBody::Bids(batch.to_vec()),
                    );
                } else {
                    self.bidding.mark_unanswered(&bid_ids, &mut self.markets);
                }
            }
        }
    }

    /// Adds bids for a job at these offers to the rows for each market.
    fn place_bids<'a>(
        &mut self,
        job: &WaitingJob,
        terms: &JobBid,
        offers: impl Iterator<Item = &'a UsableOffer>,
        rows: &mut BTreeMap<usize, Vec<Bid>>,
        now: Millis,
    ) {
        let mut pending = Vec::new();
        for offer in offers {
            self.bidding.bid_count += 1;
            let bid = (self.term << 32) | self.bidding.bid_count;
            self.bidding.job_by_bid.insert(bid, job.job.clone());
            pending.push(PendingBid {
                bid,
                market: offer.market,
                price: offer.price,
                answer: None,
            });
            rows.entry(offer.market).or_default().push(Bid {
                bid,
                offer: offer.offer.clone(),
                slots: terms.slots,
                price: offer.price,
            });
        }
        let bids = JobBids {
            job: job.clone(),
            max_cost: terms.max_cost as Money,
            pending,
            expires_at: now + BID_TIMEOUT_MS,
        };
        self.bidding.jobs.insert(job.job.clone(), bids);
    }

    /// Handles a market's answers to bids, in the order of the bids.
    pub(super) fn on_bid_reply(
        &mut self,
        market: usize,
        bids: &[u64],
        answers: &[BidAnswer],
        now: Millis,
    ) {
        if answers.len() != bids.len() {
            self.report_violation(market, "number of answers differs from number of bids");
            return self.bidding.mark_unanswered(bids, &mut self.markets);
        }
        for (bid, answer) in bids.iter().zip(answers) {
            let accepted = match answer {
                BidAnswer::Accepted { price, .. } => Some(*price),
                BidAnswer::Refused => None,
            };
            let Some(job) = self.bidding.job_by_bid.get(bid) else {
                // The bid was given up before its answer arrived.
                if accepted.is_some()
                    && self.markets[market].released_bids.len() < MAX_ITEMS_PER_MESSAGE
                {
                    self.markets[market].released_bids.push(*bid);
                }
                continue;
            };
            let pending_bid = self
                .bidding
                .jobs
                .get_mut(job)
                .and_then(|b| b.pending.iter_mut().find(|o| o.bid == *bid));
            if let Some(pending_bid) = pending_bid {
                let too_expensive = accepted.is_some_and(|p| p > pending_bid.price);
                pending_bid.answer = Some(accepted.filter(|_| !too_expensive));
                if too_expensive {
                    self.report_violation(market, "accepted price above the bid");
                }
            }
        }
        self.award_accepted_bids(now);
    }

    /// Awards each job whose bids are all answered or have timed out to the market
    /// with the lowest effective price, and releases the other bids.
    fn award_accepted_bids(&mut self, now: Millis) {
        let ready: Vec<String> = self
            .bidding
            .jobs
            .iter()
            .filter(|(_, b)| now >= b.expires_at || b.pending.iter().all(|o| o.answer.is_some()))
            .map(|(j, _)| j.clone())
            .collect();
        for job in ready {
            let Some(bids) = self.bidding.jobs.get_mut(&job) else {
                continue;
            };
            let cost =
                |m: usize, price: Money| self.markets[m].reputation.effective_price(price as f64);
            let best = bids
                .pending
                .iter()
                .enumerate()
                .filter_map(|(i, o)| Some((i, o.market, o.bid, o.answer.flatten()?)))
                .min_by(|a, b| cost(a.1, a.3).total_cmp(&cost(b.1, b.3)));
            if let Some((i, market, bid, price)) = best {
                bids.pending.remove(i);
                self.bidding.job_by_bid.remove(&bid);
                let (waiting_job, max_cost) = (bids.job.clone(), bids.max_cost);
                self.record_intent(waiting_job, max_cost, market, bid, price, now);
            }
            self.bidding.drop_job(&job, &mut self.markets);
        }
    }

    /// Queues the award record of a job that is to be offloaded. The leader and the
    /// market are told only after the record is durable. The bid is released
    /// instead if the job no longer waits, the award's cap exceeds the team's
    /// remaining budget or the market's clock is unreliable.
    fn record_intent(
        &mut self,
        job: WaitingJob,
        max_cost: Money,
        market_index: usize,
        bid: u64,
        price: Money,
        now: Millis,
    ) {
        let hours = estimated_hours(&job);
        let expected = f64::from(job.remaining_tasks()) * hours * price as f64;
        let cap = ((expected * COST_CAP_FACTOR) as Money).min(max_cost).max(1);
        let still_waiting = self
            .waiting
            .iter()
            .any(|x| x.job == job.job && x.placed == 0);
        let start_by = self.markets[market_index]
            .clock
            .time_after(now, self.options.start_within_ms);
        let (Some(start_by), true) = (
            start_by,
            still_waiting && cap <= self.remaining_budget(&job.team, now),
        ) else {
            self.markets[market_index].released_bids.push(bid);
            return;
        };
        if self.jobs.contains_key(&job.job) {
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
                id: job.job.clone(),
                gang: job.kind == lending::Kind::Gang,
                tasks: job.tasks,
                done: job.done.clone(),
                slot: job.slot,
                image: job.image.clone(),
                image_gb: job.image_gb,
                estimate_s: job.estimate_s,
            },
        };
        let offload = OffloadedJob {
            award,
            market: market_index,
            team: job.team.clone(),
            tasks: job.tasks,
            cap,
            start_by,
            phase: Phase::Intended,
            message: Some(message),
            recall: false,
        };
        let record = offload.record(&self.markets[market_index].name, None);
        self.ledger_sync
            .enqueue(vec![(award_key(&job.job), value(&record))]);
        self.jobs.insert(job.job, offload);
    }
}

fn estimated_hours(job: &WaitingJob) -> f64 {
    job.estimate_s.max(1.0) / 3600.0
}

/// Returns the job in the form that the clearing takes; `None` if its team has no
/// budget.
fn job_bid(job: &WaitingJob, teams: &[&String], options: &Options) -> Option<JobBid> {
    Some(JobBid {
        slots: job.remaining_tasks(),
        slot: job.slot,
        hours: estimated_hours(job),
        max_cost: job.rent as f64 * options.max_rent_share,
        budget: teams.iter().position(|t| **t == job.team)?,
    })
}
