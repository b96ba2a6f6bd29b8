//! Each step by itself, with what comes between.

use super::*;
use crate::protocol::users::JobState;

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
        began: 0,
        status: state.map(status),
        version: None,
    }
}

fn told(state: Option<JobState>) -> Event {
    Event::Told(reading(state))
}

/// At a node that does not lead.
fn step(request: &mut Request, event: Event, finals: &mut Finals) -> Next {
    request.step(
        event,
        &mut Here {
            leader: None,
            acts: false,
            finals,
            settings: &settings(),
            types: &[],
            upgraded: true,
            now: 0,
            wall_ms: 0,
            read_in: None,
        },
    )
}

fn state_of(next: Next) -> JobState {
    match next {
        Next::Answer(Answer::State(_, s)) => s.state,
        other => panic!("{other:?}"),
    }
}

/// Guards against a relayed word, or one read from the records, that was true
/// when it was said and is given after this node has told the job's end.
#[test]
fn an_answer_that_was_overtaken_on_its_way_is_not_given() {
    let ended = |finals: &mut Finals| finals.remember(&status(JobState::Cancelled), 0);
    for relayed in [true, false] {
        let mut finals = Finals::default();
        let mut poll = Request::poll(ID);
        assert!(matches!(
            step(&mut poll, Event::Begin, &mut finals),
            Next::AskLeader
        ));
        let event = match relayed {
            true => told(Some(JobState::Running)),
            false => {
                let next = step(&mut poll, told(None), &mut finals);
                assert!(matches!(next, Next::ReadState));
                Event::Read(Ok(reading(Some(JobState::Queued))))
            }
        };
        ended(&mut finals);
        let next = step(&mut poll, event, &mut finals);
        assert_eq!(state_of(next), JobState::Cancelled);
    }
    // So it is with a submission's answer that another node gave.
    let mut finals = Finals::default();
    let body = format!(r#"{{"ref":"{ID}"}}"#);
    let mut submit = Request::submit(body.as_bytes(), false);
    assert!(matches!(
        step(&mut submit, Event::Begin, &mut finals),
        Next::Forward
    ));
    ended(&mut finals);
    let answer = Answer::State(200, status(JobState::Queued));
    let next = step(&mut submit, Event::Forwarded(Some(answer)), &mut finals);
    assert_eq!(state_of(next), JobState::Cancelled);
}

/// Guards against asking the leader, or the records, for what never changes.
#[test]
fn an_end_that_is_known_is_told_from_memory_whatever_is_asked() {
    let mut finals = Finals::default();
    let mut poll = Request::poll(ID);
    step(&mut poll, Event::Begin, &mut finals);
    let next = step(&mut poll, told(Some(JobState::Done)), &mut finals);
    assert_eq!(state_of(next), JobState::Done);
    let body = format!(r#"{{"ref":"{ID}","pieces":"many"}}"#);
    for mut request in [
        Request::poll(ID),
        Request::submit(body.as_bytes(), false),
        Request::withdraw(ID, false),
    ] {
        let next = step(&mut request, Event::Begin, &mut finals);
        assert_eq!(state_of(next), JobState::Done);
    }
}

#[test]
fn what_is_no_ref_is_no_job_and_nobody_is_asked() {
    let mut finals = Finals::default();
    for mut request in [Request::poll("j-1"), Request::withdraw("j-1", false)] {
        let next = step(&mut request, Event::Begin, &mut finals);
        assert!(matches!(next, Next::Answer(Answer::Refused(404, _))));
    }
}

/// Guards against a user who is told that a job is not known because a leader
/// that is overloaded, or of another version, said something else.
#[test]
fn a_relayed_answer_is_read_for_what_it_says() {
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
