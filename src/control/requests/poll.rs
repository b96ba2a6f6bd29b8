//! The steps of a poll. A poll is answered from memory if a final state is known,
//! otherwise from the leader's cluster state or from the records. Called by `request`,
//! and by the server for polls that peers send to the leader.
//!
//! Must never write, and never report a job as unknown without having read the records.

use super::{
    Answer, Event, NO_SUCH_JOB, Next, NodeView, Reading, unexpected_event, withheld_answer,
};
use crate::protocol::users::JobState;

/// Performs one step of a poll.
pub(super) fn step(id: &str, event: Event, view: &mut NodeView) -> Next {
    match event {
        Event::Arrived if id.is_empty() => Next::Answer(Answer::Refused(404, NO_SUCH_JOB.into())),
        Event::Arrived => begin(id, view),
        Event::LeaderReplied(reading) => match reading.status {
            Some(status) => Next::Answer(Answer::known(status)),
            None => Next::ReadState,
        },
        Event::Read(read) => Next::Answer(answer_from_records(read)),
        other => unexpected_event(&other),
    }
}

fn begin(id: &str, view: &mut NodeView) -> Next {
    if let Some(status) = view.known_final_status(id) {
        return Next::Answer(Answer::known(status));
    }
    let Some(leader) = view.acting_leader() else {
        return Next::AskLeader;
    };
    if !leader.loaded() {
        return Next::ReadState;
    }
    match leader.answerable_status(id) {
        Some(status) => Next::Answer(Answer::known(status)),
        // If no state is withheld, only the records can answer.
        None => withheld_answer(leader, id).map_or(Next::ReadState, Next::Answer),
    }
}

/// Returns the answer to a poll, based on a read of the records.
fn answer_from_records(read: Result<Reading, String>) -> Answer {
    match read.map(|reading| reading.status) {
        Ok(Some(status)) => Answer::known(status),
        Ok(None) => Answer::Refused(404, NO_SUCH_JOB.into()),
        Err(e) => Answer::Later(e),
    }
}

/// Returns the leader's answers to polls received by its peers, by job: state, number
/// of tasks done, number of tasks running. `None` if this node is not the leader, or
/// has not loaded the records.
pub fn answer_peer_polls(
    view: &mut NodeView,
    ids: &[String],
) -> Option<Vec<Option<(JobState, u32, u32)>>> {
    let now = view.now;
    let leader = view.acting_leader().filter(|leader| leader.loaded())?;
    let answer_for = |id: &String| {
        leader
            .answerable_by_peers(id, now)
            .map(|status| (status.state, status.done, status.running))
    };
    Some(ids.iter().map(answer_for).collect())
}
