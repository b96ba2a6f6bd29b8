//! Cancellations. They are recorded by leaders alone.

use super::*;

/// How long the record is waited for, less than users wait.
const PATIENCE: Millis = 1_500;
/// About as long as a write takes.
const PAUSE: Millis = 15;

#[derive(Debug, Default)]
pub(super) struct Cancel {
    began: Option<Millis>,
}

impl Cancel {
    pub(super) fn step(
        &mut self,
        id: &str,
        forwarded: bool,
        event: Event,
        view: &mut NodeView,
    ) -> Next {
        match event {
            Event::Begin if id.is_empty() => Next::Answer(Answer::Refused(404, NO_SUCH.into())),
            Event::Begin => match (view.end_of(id), view.acting()) {
                (Some(status), _) => Next::Answer(Answer::known(status)),
                (None, Some(l)) if !l.loaded() => Next::Answer(Answer::later(UNREAD)),
                (None, Some(_)) => self.look(id, view),
                (None, None) if forwarded => Next::NotLeading,
                (None, None) => Next::Forward,
            },
            Event::Forwarded(Some(answer)) => Next::Answer(answer),
            Event::Forwarded(None) => Next::Answer(Answer::later(NO_LEADER)),
            Event::LookupResults(found) => match (looked(id, found, view), view.may_act) {
                (_, false) => Next::Answer(Answer::later(LOST)),
                (Ok(Some(status)), _) if status.state.is_final() => {
                    Next::Answer(Answer::known(status))
                }
                (Ok(Some(_)), _) => self.mark(id, view),
                (Ok(None), _) => Next::Answer(Answer::Refused(404, NO_SUCH.into())),
                (Err(answer), _) => Next::Answer(answer),
            },
            Event::Waited => self.look(id, view),
            other => out_of_place(&other),
        }
    }

    fn look(&mut self, id: &str, view: &mut NodeView) -> Next {
        let Some(l) = view.acting() else {
            return Next::Answer(Answer::later(LOST));
        };
        // Its end is on its way to the record: that is waited for.
        if l.is_ending(id) {
            return self.mark(id, view);
        }
        match l.answerable_status(id) {
            Some(status) if status.state.is_final() => Next::Answer(Answer::known(status)),
            Some(_) => self.mark(id, view),
            None if l.is_cancelled_with_dependency(id) => Next::Answer(Answer::later(WITHHELD)),
            None => Next::Look(vec![id.to_owned()]),
        }
    }

    fn mark(&mut self, id: &str, view: &mut NodeView) -> Next {
        let began = *self.began.get_or_insert(view.now);
        let late = view.now > began + PATIENCE;
        match view.acting() {
            Some(l) if !late => {
                l.cancel(id);
                Next::Wait(PAUSE)
            }
            _ => Next::Answer(Answer::later("the withdrawal could not be recorded yet")),
        }
    }
}
