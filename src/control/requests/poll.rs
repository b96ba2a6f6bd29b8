//! The steps of a poll: answered from memory where a final state is known, by
//! the leader's cluster state, or by the records. Called by `request`, and by the
//! server for polls that peers send to the leader.
//!
//! Must never write, and never call a job unknown without having read the
//! records.

use super::{
    Answer, Event, NO_SUCH_JOB, Next, NodeView, Reading, unexpected_event, withheld_answer,
};
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
        Event::Read(read) => Next::Answer(by_records(read)),
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
    if !leader.loaded() {
        return Next::ReadState;
    }
    match leader.answerable_status(id) {
        Some(status) => Next::Answer(Answer::known(status)),
        // Where nothing withholds it, only the records can answer.
        None => withheld_answer(leader, id).map_or(Next::ReadState, Next::Answer),
    }
}

/// The answer to a poll by a reading of the records.
fn by_records(read: Result<Reading, String>) -> Answer {
    match read.map(|reading| reading.status) {
        Ok(Some(status)) => Answer::known(status),
        Ok(None) => Answer::Refused(404, NO_SUCH_JOB.into()),
        Err(e) => Answer::Later(e),
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
