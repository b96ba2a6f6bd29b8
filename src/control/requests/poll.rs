//! The steps of a poll: answered from memory where a final state is known, by
//! the leader's cluster state, or by the records. Called by `request`, and by the
//! server for polls that peers send to the leader.
//!
//! Must never write, and never call a job unknown without having read the
//! records.

use super::{Answer, CANCELLATION_PENDING, Event, NO_SUCH_JOB, Next, NodeView, unexpected_event};
use crate::protocol::users::JobState;

/// One step of a poll.
pub(super) fn step(id: &str, event: Event, view: &mut NodeView) -> Next {
    match event {
        Event::Begin if id.is_empty() => Next::Answer(Answer::Refused(404, NO_SUCH_JOB.into())),
        Event::Begin => begin(id, view),
        Event::LeaderReplied(reading) => match reading.status {
            Some(status) => Next::Answer(Answer::known(status)),
            None => Next::ReadState,
        },
        Event::Read(Ok(reading)) => Next::Answer(match reading.status {
            Some(status) => Answer::known(status),
            None => Answer::Refused(404, NO_SUCH_JOB.into()),
        }),
        Event::Read(Err(e)) => Next::Answer(Answer::Later(e)),
        other => unexpected_event(&other),
    }
}

fn begin(id: &str, view: &mut NodeView) -> Next {
    if let Some(status) = view.known_final_status(id) {
        return Next::Answer(Answer::known(status));
    }
    let Some(leader) = view.acting() else {
        return Next::AskLeader;
    };
    match leader
        .loaded()
        .then(|| leader.answerable_status(id))
        .flatten()
    {
        Some(status) => Next::Answer(Answer::known(status)),
        None if leader.is_cancelled_with_dependency(id) => {
            Next::Answer(Answer::later(CANCELLATION_PENDING))
        }
        // It leads, and only the records can answer.
        None => Next::ReadState,
    }
}

/// The leader's answers to polls at its peers, by job: state, tasks done, tasks
/// running. `None`: this node does not lead.
pub fn polled(view: &mut NodeView, ids: &[String]) -> Option<Vec<Option<(JobState, u32, u32)>>> {
    let now = view.now;
    let leader = view.acting().filter(|leader| leader.loaded())?;
    let known = |id: &String| {
        leader
            .answerable_by_peers(id, now)
            .map(|s| (s.state, s.done, s.running))
    };
    Some(ids.iter().map(known).collect())
}
