//! Tests of the individual steps of requests, including events that overtake each
//! other.

use super::{Answer, Event, Next, NodeView, Reading, Request, request};
use crate::{
    control::{final_states::FinalStates, safety_bounds::MAX_READ_AGE_MS},
    protocol::{
        settings::Settings,
        users::{JobState, JobStatus},
    },
    state::Millis,
};

fn settings() -> Settings {
    let cluster = serde_json::json!({
        "zones": ["a"], "teams": [{"name": "t"}],
        "workers": {"report_s": 1.0, "lease_s": 10.0, "gang_wait_s": 45.0,
                    "gang_peer_s": 5.0, "cancel_s": 35.0},
        "state": {"rps": 200.0, "write_rps": 80.0, "value_kb": 8.0, "txn_ops": 12},
        "cloud": {"rps": 5.0, "list_lag_s": 3.0}, "quota": {"max_sockets": 600}
    });
    let settings = serde_json::json!({
        "host_name": "n0", "area": "a", "listen": "127.0.0.1:1", "back": "127.0.0.1:2",
        "known": [], "outside": {"cloud": "127.0.0.1:3", "state": "127.0.0.1:4"},
        "cluster": cluster
    });
    Settings::parse(&settings.to_string()).unwrap()
}

const ID: &str = "j-000001";

fn status(state: JobState) -> JobStatus {
    JobStatus {
        id: ID.into(),
        state,
        done: 0,
        running: 0,
    }
}

fn reading(state: Option<JobState>) -> Reading {
    Reading {
        started_at: 0,
        status: state.map(status),
        version: None,
    }
}

fn leader_replied(state: Option<JobState>) -> Event {
    Event::LeaderReplied(reading(state))
}

/// Performs a step at a node that is not the leader, at time 0.
fn step(request: &mut Request, event: Event, final_states: &mut FinalStates) -> Next {
    step_at(0, request, event, final_states)
}

/// Performs a step at a node that is not the leader, at `now`.
fn step_at(
    now: Millis,
    request: &mut Request,
    event: Event,
    final_states: &mut FinalStates,
) -> Next {
    request.step(
        event,
        &mut NodeView {
            leader: None,
            may_act: false,
            final_states,
            settings: &settings(),
            types: &[],
            upgraded: true,
            now,
            wall_ms: 0,
            read_term: None,
        },
    )
}

fn state_of(next: Next) -> JobState {
    match next {
        Next::Answer(Answer::State(_, s)) => s.state,
        other => panic!("{other:?}"),
    }
}

/// Guards against a relayed or recorded state that was correct when it was read but is
/// sent after this node has reported the job's final state.
#[test]
fn overtaken_answer_is_discarded() {
    let ended =
        |final_states: &mut FinalStates| final_states.insert(&status(JobState::Cancelled), 0);
    for relayed in [true, false] {
        let mut final_states = FinalStates::default();
        let mut poll = Request::poll(ID);
        assert!(matches!(
            step(&mut poll, Event::Arrived, &mut final_states),
            Next::AskLeader
        ));
        let event = match relayed {
            true => leader_replied(Some(JobState::Running)),
            false => {
                let next = step(&mut poll, leader_replied(None), &mut final_states);
                assert!(matches!(next, Next::ReadState));
                Event::Read(Ok(reading(Some(JobState::Queued))))
            }
        };
        ended(&mut final_states);
        let next = step(&mut poll, event, &mut final_states);
        assert_eq!(state_of(next), JobState::Cancelled);
    }
    // The same holds for a submission's answer that another node gave.
    let mut final_states = FinalStates::default();
    let body = format!(r#"{{"ref":"{ID}"}}"#);
    let mut submit = Request::submit(body.as_bytes(), false);
    assert!(matches!(
        step(&mut submit, Event::Arrived, &mut final_states),
        Next::Forward
    ));
    ended(&mut final_states);
    let answer = Answer::State(200, status(JobState::Queued));
    let next = step(
        &mut submit,
        Event::Forwarded(Some(answer)),
        &mut final_states,
    );
    assert_eq!(state_of(next), JobState::Cancelled);
}

/// Guards against asking the leader, or reading the records, for a final state, which
/// never changes.
#[test]
fn known_final_state_answers_every_request() {
    let mut final_states = FinalStates::default();
    let mut poll = Request::poll(ID);
    step(&mut poll, Event::Arrived, &mut final_states);
    let next = step(
        &mut poll,
        leader_replied(Some(JobState::Done)),
        &mut final_states,
    );
    assert_eq!(state_of(next), JobState::Done);
    let body = format!(r#"{{"ref":"{ID}","pieces":"many"}}"#);
    for mut request in [
        Request::poll(ID),
        Request::submit(body.as_bytes(), false),
        Request::cancel(ID, false),
    ] {
        let next = step(&mut request, Event::Arrived, &mut final_states);
        assert_eq!(state_of(next), JobState::Done);
    }
}

#[test]
fn invalid_job_id_is_rejected_without_lookup() {
    let mut final_states = FinalStates::default();
    for mut request in [Request::poll("j-1"), Request::cancel("j-1", false)] {
        let next = step(&mut request, Event::Arrived, &mut final_states);
        assert!(matches!(next, Next::Answer(Answer::Refused(404, _))));
    }
}

/// Guards against reporting a job as unknown because a leader that is overloaded, or of
/// another version, returned some other error.
#[test]
fn relayed_answer_is_parsed_by_status() {
    let body = serde_json::to_vec(&status(JobState::Queued)).unwrap();
    let known = Answer::relayed(201, &body);
    assert_eq!(known, Answer::State(201, status(JobState::Queued)));
    let error = br#"{"error":"ref: not of the form"}"#;
    let refused = Answer::Refused(400, "ref: not of the form".into());
    assert_eq!(Answer::relayed(400, error), refused);
    for later in [429, 500, 503, 504] {
        assert!(matches!(Answer::relayed(later, error), Answer::Later(_)));
    }
    assert!(matches!(Answer::relayed(200, b"<"), Answer::Later(_)));
}

/// The record as read at that time.
fn read_at(began: Millis, state: JobState) -> Event {
    Event::Read(Ok(Reading {
        started_at: began,
        ..reading(Some(state))
    }))
}

/// Guards against an unfinished state that is sent long after it was read: by then
/// another node may have reported the final state.
#[test]
fn stale_reading_is_reread_within_bound() {
    for late in [MAX_READ_AGE_MS, MAX_READ_AGE_MS + 1] {
        let mut final_states = FinalStates::default();
        let mut poll = Request::poll(ID);
        step_at(0, &mut poll, Event::Arrived, &mut final_states);
        let reply = leader_replied(Some(JobState::Running));
        let next = step_at(late, &mut poll, reply, &mut final_states);
        if late == MAX_READ_AGE_MS {
            assert_eq!(state_of(next), JobState::Running);
            continue;
        }
        assert!(matches!(next, Next::ReadState), "{next:?}");
        let again = read_at(late, JobState::Queued);
        let next = step_at(late + MAX_READ_AGE_MS, &mut poll, again, &mut final_states);
        assert_eq!(state_of(next), JobState::Queued);
    }
    let mut final_states = FinalStates::default();
    let mut poll = Request::poll(ID);
    step_at(0, &mut poll, Event::Arrived, &mut final_states);
    let (mut now, mut event) = (0, leader_replied(Some(JobState::Running)));
    for _ in 0..request::MAX_STALE_READS {
        now += 2 * MAX_READ_AGE_MS;
        let next = step_at(now, &mut poll, event, &mut final_states);
        assert!(matches!(next, Next::ReadState), "{next:?}");
        event = read_at(now, JobState::Running);
    }
    let next = step_at(
        now + 2 * MAX_READ_AGE_MS,
        &mut poll,
        event,
        &mut final_states,
    );
    assert!(matches!(next, Next::Answer(Answer::Later(_))), "{next:?}");
}

/// Guards against refusing a job that was accepted while a refusal was delayed in
/// transit: the job is looked up again.
#[test]
fn stale_refusal_is_read_again() {
    let mut final_states = FinalStates::default();
    let body = format!(r#"{{"ref":"{ID}"}}"#);
    let mut submit = Request::submit(body.as_bytes(), false);
    step_at(0, &mut submit, Event::Arrived, &mut final_states);
    let refused = Answer::Refused(400, "pieces is missing".into());
    let event = Event::Forwarded(Some(refused));
    let next = step_at(MAX_READ_AGE_MS + 1, &mut submit, event, &mut final_states);
    assert!(matches!(next, Next::ReadState), "{next:?}");
    let known = read_at(MAX_READ_AGE_MS + 1, JobState::Queued);
    let next = step_at(MAX_READ_AGE_MS + 10, &mut submit, known, &mut final_states);
    assert_eq!(state_of(next), JobState::Queued);
}

/// Guards against reporting a final state while another node may still send an answer
/// that it read before. A final state in the leader's answer has already been held by
/// the leader.
#[test]
fn final_state_read_is_held_then_answered_immediately() {
    let mut final_states = FinalStates::default();
    let mut poll = Request::poll(ID);
    step_at(0, &mut poll, Event::Arrived, &mut final_states);
    let read = read_at(0, JobState::Done);
    let Next::Wait(held) = step_at(10, &mut poll, read, &mut final_states) else {
        panic!("the final state was answered without being held");
    };
    assert!(held > MAX_READ_AGE_MS && poll.is_held());
    let next = step_at(10 + held, &mut poll, Event::Waited, &mut final_states);
    assert_eq!(state_of(next), JobState::Done);
    let mut again = Request::poll(ID);
    let next = step_at(11 + held, &mut again, Event::Arrived, &mut final_states);
    assert_eq!(state_of(next), JobState::Done);

    let mut final_states = FinalStates::default();
    let mut poll = Request::poll(ID);
    step_at(0, &mut poll, Event::Arrived, &mut final_states);
    let next = step_at(
        10,
        &mut poll,
        leader_replied(Some(JobState::Done)),
        &mut final_states,
    );
    assert_eq!(state_of(next), JobState::Done);
}
