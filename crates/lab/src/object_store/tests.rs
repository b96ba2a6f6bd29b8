use super::*;

const CANCEL_MS: Millis = 20_000;

fn array_job() -> JobSpec {
    let text = r#"{"ref":"j-000001","job_family":"c","owner_crew":"t","run_shape":"array",
        "urgency":"normal","pieces":2,"cores":1.0,"accelerators":0.0,"memory_gb":1.0,
        "bundle":"image","image_gb":1.0,"same_place":false,"apart":false,"lendback":false,
        "expected_s":35.0,"snapshot_every_s":0.0,"snapshot_cost_s":0.0}"#;
    JobSpec::parse(text.as_bytes()).unwrap()
}

/// Guards against a run that passes although a cancelled task is never stopped.
#[test]
fn cancelled_task_that_stays_is_reported_once() {
    let mut store = ObjectStore::new(1, 0.0, 5_000, CANCEL_MS);
    store.upload(&array_job());
    store.task_started("j-000001/0", "i-000001", 0);
    store.task_started("j-000001/1", "i-000002", 0);
    store.record_cancellation("j-000001", 1_000);
    store.task_left("j-000001/1", "i-000002");
    store.check_cancelled_tasks(1_000 + CANCEL_MS);
    assert!(store.violations().is_empty());
    for late in 1..4 {
        store.check_cancelled_tasks(1_000 + CANCEL_MS + late);
        assert_eq!(store.violations().len(), 1);
    }
}
