//! Counters of the messages between workers and controllers, taken on the workers'
//! side.

use crate::Millis;
use hdrhistogram::Histogram;

/// Estimated size in bytes of the request line or status line of a message with its
/// headers, as `async-h1` writes them, rounded up.
pub const HEADER_BYTES: u64 = 160;
/// Largest value of the histograms, in milliseconds.
const MAX_TIME_MS: u64 = 600_000;
/// Significant digits of the histograms.
const DIGITS: u8 = 3;

/// A histogram of times in milliseconds.
pub fn time_histogram() -> Histogram<u64> {
    let histogram_result = Histogram::new_with_max(MAX_TIME_MS, DIGITS);
    histogram_result.unwrap_or_else(|_| unreachable!("the bounds are valid"))
}

/// Records a time. One above the largest value of the histogram counts as that value.
pub fn record(histogram: &mut Histogram<u64>, time: Millis) {
    histogram.saturating_record(time);
}

/// Counters of all workers since the last reset.
#[derive(Debug)]
pub struct Traffic {
    /// Number of heartbeats sent.
    pub reports: u64,
    /// Number of heartbeats with a valid answer: for the current incarnation and with a
    /// fencing token that is not outdated.
    pub answered: u64,
    /// Number of heartbeats without an answer, or with one that is not valid.
    pub unanswered: u64,
    /// Number of direct command requests received.
    pub direct_orders: u64,
    /// Bytes sent, including HTTP headers.
    pub bytes_sent: u64,
    /// Bytes received, including HTTP headers.
    pub bytes_received: u64,
    /// Times from sending a heartbeat to its answer, in milliseconds.
    pub answer_times: Histogram<u64>,
}

impl Default for Traffic {
    fn default() -> Self {
        Traffic {
            reports: 0,
            answered: 0,
            unanswered: 0,
            direct_orders: 0,
            bytes_sent: 0,
            bytes_received: 0,
            answer_times: time_histogram(),
        }
    }
}

impl Traffic {
    /// Counts a message that a worker sent.
    pub fn sent(&mut self, body: usize) {
        self.bytes_sent += body as u64 + HEADER_BYTES;
    }

    /// Counts a message that a worker received.
    pub fn received(&mut self, body: usize) {
        self.bytes_received += body as u64 + HEADER_BYTES;
    }
}
