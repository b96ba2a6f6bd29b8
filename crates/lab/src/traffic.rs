//! What workers exchange with controllers, as counted by the workers.

use crate::Millis;
use hdrhistogram::Histogram;

/// Bytes of an HTTP request line with its headers, and of a status line with
/// its headers, as `async-h1` writes them, rounded up.
pub const HEADER_BYTES: u64 = 160;
/// The longest time that a histogram tells apart, in milliseconds.
const LONGEST_MS: u64 = 600_000;
/// Significant digits that histograms keep.
const DIGITS: u8 = 3;

/// A histogram of times in milliseconds.
pub fn times() -> Histogram<u64> {
    let made = Histogram::new_with_max(LONGEST_MS, DIGITS);
    made.unwrap_or_else(|_| unreachable!("the bounds are valid"))
}

/// Records a time; longer ones than can be told apart count as the longest.
pub fn record(histogram: &mut Histogram<u64>, time: Millis) {
    histogram.saturating_record(time);
}

/// Counters since they were last reset.
#[derive(Debug)]
pub struct Traffic {
    /// Reports that were sent.
    pub reports: u64,
    /// Reports that were answered with a token that counts.
    pub answered: u64,
    /// Reports without an answer, or with one that doesn't count.
    pub unanswered: u64,
    /// Direct orders that were received.
    pub direct_orders: u64,
    /// Bytes that all workers sent and received, headers included.
    pub bytes_sent: u64,
    pub bytes_received: u64,
    /// From sending a report to its answer, in milliseconds.
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
            answer_times: times(),
        }
    }
}

impl Traffic {
    /// Counts a message that workers sent.
    pub fn sent(&mut self, body: usize) {
        self.bytes_sent += body as u64 + HEADER_BYTES;
    }

    /// Counts a message that workers received.
    pub fn received(&mut self, body: usize) {
        self.bytes_received += body as u64 + HEADER_BYTES;
    }
}
