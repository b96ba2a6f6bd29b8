//! Polls.

use super::*;

pub(super) fn step(id: &str, event: Event, view: &mut NodeView) -> Next {
    match event {
        Event::Begin if id.is_empty() => Next::Answer(Answer::Refused(404, NO_SUCH.into())),
        Event::Begin => begin(id, view),
        Event::LeaderReplied(reading) => match reading.status {
            Some(status) => Next::Answer(Answer::known(status)),
            None => Next::ReadState,
        },
        Event::Read(Ok(reading)) => Next::Answer(match reading.status {
            Some(status) => Answer::known(status),
            None => Answer::Refused(404, NO_SUCH.into()),
        }),
        Event::Read(Err(e)) => Next::Answer(Answer::Later(e)),
        other => out_of_place(&other),
    }
}

fn begin(id: &str, view: &mut NodeView) -> Next {
    if let Some(status) = view.end_of(id) {
        return Next::Answer(Answer::known(status));
    }
    let Some(l) = view.acting() else {
        return Next::AskLeader;
    };
    match l.loaded().then(|| l.answerable_status(id)).flatten() {
        Some(status) => Next::Answer(Answer::known(status)),
        None if l.is_cancelled_with_dependency(id) => Next::Answer(Answer::later(WITHHELD)),
        // It leads, and only the records can tell.
        None => Next::ReadState,
    }
}

/// Polls at other nodes, as the leader answers them; `None`: it does not lead.
pub fn polled(view: &mut NodeView, ids: &[String]) -> Option<Vec<Option<(JobState, u32, u32)>>> {
    let now = view.now;
    let l = view.acting().filter(|l| l.loaded())?;
    let known = |id: &String| {
        l.answerable_by_peers(id, now)
            .map(|s| (s.state, s.done, s.running))
    };
    Some(ids.iter().map(known).collect())
}
