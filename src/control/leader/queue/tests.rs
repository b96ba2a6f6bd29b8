//! Tests of the queue order of waiting jobs.

use super::{JobSpec, Objective, deadline_band};

#[test]
fn late_batch_yields_when_last_objective_is_not_near() {
    let spec = JobSpec::parse(
        br#"{"ref":"j-000001","job_family":"c","owner_crew":"t","run_shape":"array",
            "urgency":"normal","pieces":3,"cores":1.0,"accelerators":0.0,"memory_gb":1.0,
            "bundle":"i","image_gb":1.0,"same_place":false,"apart":false,"lendback":true,
            "expected_s":20.0,"snapshot_every_s":0.0,"snapshot_cost_s":0.0,"due_s":100.0}"#,
    )
    .unwrap();
    let objective = |times| Objective {
        kind: "deadline".into(),
        class: Some("c".into()),
        within_s: None,
        times: Some(times),
    };
    let band =
        |age_s: u64, objectives: &[Objective]| deadline_band(&spec, objectives, age_s * 1000);
    let objectives = [objective(1.0), objective(1.5)];
    assert_eq!(band(0, &objectives), 1);
    assert_eq!(band(90, &objectives), 2);
    assert_eq!(band(110, &objectives), 0);
    // Without a later objective, three times the deadline applies, so the job does not
    // wait forever.
    assert_eq!(band(110, &[]), 2);
    assert_eq!(band(280, &[]), 0);
}
