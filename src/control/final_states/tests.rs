use super::{FinalStates, JobState, JobStatus, MAX_FINAL_STATES};

#[test]
fn only_final_states_are_kept_up_to_a_bound() {
    let mut final_states = FinalStates::default();
    let status = |index: usize, state| JobStatus {
        id: format!("j-{index:06}"),
        state,
        done: 1,
        running: 0,
    };
    final_states.insert(&status(0, JobState::Running), 0);
    assert_eq!(final_states.get("j-000000"), None);
    for index in 0..MAX_FINAL_STATES * 2 {
        final_states.insert(&status(index, JobState::Done), 0);
    }
    assert!(final_states.by_job.len() <= MAX_FINAL_STATES);
    let last = format!("j-{:06}", MAX_FINAL_STATES * 2 - 1);
    assert_eq!(
        final_states.get(&last).map(|s| s.state),
        Some(JobState::Done)
    );
    assert_eq!(final_states.get("j-000000"), None);
}
