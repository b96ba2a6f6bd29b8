//! When a request is made again and when it is given up: decisions alone, no
//! clock and no sockets. Times are milliseconds on the caller's own clock.

use std::ops::Range;

pub type Ms = u64;

/// The rules of the users' protocol, and how they are varied.
#[derive(Debug, Clone, PartialEq)]
pub struct Rules {
    /// No response within this time counts as none.
    pub answer_ms: Ms,
    /// The least pause before a request is made again.
    pub pause_ms: Ms,
    /// A `Retry-After` is followed up to this.
    pub most_pause_ms: Ms,
    /// From the first attempt on; then it is given up.
    pub total_ms: Ms,
    /// Up to this share is added to each pause, so that many clients that
    /// were refused together don't come back together.
    pub jitter: f64,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            answer_ms: 5_000,
            pause_ms: 1_000,
            most_pause_ms: 30_000,
            total_ms: 60_000,
            jitter: 0.25,
        }
    }
}

/// How one attempt ended.
#[derive(Debug, Clone, PartialEq)]
pub enum Attempt {
    /// The other side never saw it.
    NotSent,
    /// It may have taken effect, or may still take effect.
    NoAnswer,
    Answered {
        status: u16,
        retry_after_s: Option<u32>,
    },
}

/// What follows from it.
#[derive(Debug, Clone, PartialEq)]
pub enum Next {
    /// Answered for good: 200, 201 and such.
    Done,
    /// 400, 422 or 404: asking again changes nothing.
    Refused,
    /// To be made again, at another node first if there is one.
    Again { at: Ms },
    /// The time is up. `unknown`: an attempt may have taken effect.
    GivenUp { unknown: bool },
}

/// One request through all its attempts.
#[derive(Debug)]
pub struct Ladder {
    rules: Rules,
    began: Ms,
    unknown: bool,
}

impl Ladder {
    pub fn new(rules: Rules, now: Ms) -> Self {
        Ladder {
            rules,
            began: now,
            unknown: false,
        }
    }

    /// How long the next attempt may wait for its answer.
    pub fn patience(&self, now: Ms) -> Ms {
        let left = (self.began + self.rules.total_ms).saturating_sub(now);
        self.rules.answer_ms.min(left.max(1))
    }

    /// `chance`: from 0 to 1, drawn by the caller.
    pub fn ended(&mut self, attempt: &Attempt, now: Ms, chance: f64) -> Next {
        let wish = match attempt {
            Attempt::Answered { status, .. } if (200..300).contains(status) => return Next::Done,
            Attempt::Answered {
                status: 400 | 404 | 405 | 422,
                ..
            } => return Next::Refused,
            Attempt::Answered {
                status,
                retry_after_s,
            } => {
                // 503 and 429 say that nothing was done; of 504 and the rest
                // that isn't known.
                self.unknown |= !matches!(status, 429 | 503);
                Ms::from(retry_after_s.unwrap_or(0)) * 1000
            }
            Attempt::NoAnswer => {
                self.unknown = true;
                0
            }
            Attempt::NotSent => 0,
        };
        let wish = wish.min(self.rules.most_pause_ms);
        let pause = self.rules.pause_ms.max(wish);
        let extra = (pause as f64 * self.rules.jitter * chance.clamp(0.0, 1.0)) as Ms;
        let at = now + pause + extra;
        if at >= self.began + self.rules.total_ms {
            return Next::GivenUp {
                unknown: self.unknown,
            };
        }
        Next::Again { at }
    }
}

/// Which node a request goes to: in turn, passing over those that have
/// refused three connections in a row.
#[derive(Debug)]
pub struct Turns {
    nodes: Vec<Node>,
    next: usize,
}

#[derive(Debug, Clone, Default)]
struct Node {
    failed: u32,
    passed_over_until: Ms,
}

/// Connections in a row that fail before a node is passed over, and for how long.
const FAILURES: u32 = 3;
const PASSED_OVER_MS: Ms = 3_000;

impl Turns {
    /// `first`: where to begin, so that clients spread.
    pub fn new(nodes: usize, first: usize) -> Self {
        Turns {
            nodes: vec![Node::default(); nodes.max(1)],
            next: first % nodes.max(1),
        }
    }

    /// A node that isn't passed over, or the next one if all are.
    pub fn choose(&mut self, now: Ms) -> usize {
        let n = self.nodes.len();
        let order: Range<usize> = 0..n;
        order
            .map(|k| (self.next + k) % n)
            .find(|i| self.nodes[*i].passed_over_until <= now)
            .unwrap_or(self.next)
    }

    /// How an attempt at that node ended: it stays the first choice only if
    /// it took the request.
    pub fn ended(&mut self, node: usize, attempt: &Attempt, now: Ms) {
        let n = self.nodes.len();
        let Some(state) = self.nodes.get_mut(node) else {
            return;
        };
        match attempt {
            Attempt::NotSent => {
                state.failed += 1;
                if state.failed >= FAILURES {
                    state.failed = 0;
                    state.passed_over_until = now + PASSED_OVER_MS;
                }
            }
            _ => state.failed = 0,
        }
        let took =
            matches!(attempt, Attempt::Answered { status, .. } if *status < 500 && *status != 429);
        self.next = if took { node } else { (node + 1) % n };
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn answered(status: u16, retry_after_s: Option<u32>) -> Attempt {
        Attempt::Answered {
            status,
            retry_after_s,
        }
    }

    #[test]
    fn a_request_is_made_again_after_what_the_answer_says_and_given_up_in_time() {
        let mut l = Ladder::new(Rules::default(), 1000);
        assert_eq!(
            l.ended(&answered(503, None), 1000, 0.0),
            Next::Again { at: 2000 }
        );
        assert_eq!(
            l.ended(&answered(503, Some(7)), 2000, 1.0),
            Next::Again { at: 10_750 }
        );
        // A far-off Retry-After is followed for 30 s only.
        assert_eq!(
            l.ended(&answered(429, Some(9999)), 10_750, 0.0),
            Next::Again { at: 40_750 }
        );
        assert_eq!(l.patience(40_750), 5000);
        assert_eq!(l.patience(60_000), 1000, "the total time goes first");
        assert_eq!(
            l.ended(&answered(503, Some(30)), 40_750, 0.0),
            Next::GivenUp { unknown: false },
            "the next attempt would come after 60 s"
        );
    }

    #[test]
    fn what_had_no_answer_stays_unknown_and_refusals_are_final() {
        let mut l = Ladder::new(Rules::default(), 0);
        assert!(matches!(
            l.ended(&Attempt::NoAnswer, 5000, 0.5),
            Next::Again { .. }
        ));
        // A later 503 doesn't take back that the first attempt may count.
        assert_eq!(
            l.ended(&answered(503, Some(30)), 59_000, 0.0),
            Next::GivenUp { unknown: true }
        );
        for status in [400, 404, 422] {
            let mut l = Ladder::new(Rules::default(), 0);
            assert_eq!(l.ended(&answered(status, None), 1, 0.0), Next::Refused);
        }
        let mut l = Ladder::new(Rules::default(), 0);
        assert_eq!(l.ended(&answered(201, None), 1, 0.0), Next::Done);
    }

    #[test]
    fn a_node_that_refuses_connections_is_passed_over_for_a_while() {
        let mut t = Turns::new(2, 0);
        for _ in 0..3 {
            // The other node answers each time, and is chosen next.
            t.ended(0, &Attempt::NotSent, 100);
            assert_eq!(t.choose(100), 1);
            t.ended(1, &answered(503, None), 100);
        }
        assert_eq!(t.choose(100), 1, "node 0 is passed over");
        assert_eq!(t.choose(3100), 0);
        t.ended(0, &answered(200, None), 3100);
        assert_eq!(t.choose(3100), 0, "it answers: stay with it");
    }
}
