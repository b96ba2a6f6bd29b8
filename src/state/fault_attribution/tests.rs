use super::{JobFailures, MachineFailures, MachineHandle, QUARANTINE_RETRY_MS};
use crate::state::slot_table::SlotTable;

/// Returns the handle of the machine with this index.
fn machine(index: usize) -> MachineHandle {
    let mut machines: SlotTable<MachineHandle, ()> = SlotTable::default();
    let handles: Vec<_> = (0..=index).map(|_| machines.insert(())).collect();
    handles[index]
}

#[test]
fn job_is_suspected_after_two_machines_unless_one_is_at_fault() {
    let mut job = JobFailures::default();
    job.record_failure(machine(1), 100);
    job.record_failure(machine(1), 200);
    assert!(
        !job.reevaluate(200, |_| (false, None)),
        "one machine is not enough evidence"
    );
    job.record_failure(machine(2), 300);
    let mut other = job.clone();
    assert!(!other.reevaluate(300, |handle| (handle == machine(1), None)));
    assert!(job.reevaluate(300, |_| (false, None)) && job.suspected);
    // The machine is quarantined later, which clears the job.
    assert!(job.reevaluate(400, |handle| (handle == machine(1), None)) && !job.suspected);
    // A new leader relies on the record, because it does not have the failures.
    let mut job = JobFailures::inherited_suspicion(0);
    job.record_failure(machine(1), 9_000);
    assert!(!job.reevaluate(9_000, |_| (false, None)) && job.suspected);
    job.record_success();
    assert!(!job.suspected);
}

#[test]
fn job_is_suspected_and_retried_slowly_when_it_fails_where_others_run() {
    let mut job = JobFailures::default();
    job.record_failure(machine(1), 1_000);
    assert!(!job.reevaluate(1_000, |_| (false, Some(900))));
    assert!(job.reevaluate(1_500, |_| (false, Some(1_400))) && job.suspected);
    let mut now = 1_500;
    let mut retries = 0;
    while now < 600_000 {
        assert!(job.is_backing_off(now) && !job.is_backing_off(job.next_retry_at()));
        now = job.next_retry_at();
        (0..100).for_each(|_| job.delay_retry(now));
        retries += 1;
    }
    assert!(
        (8..16).contains(&retries),
        "{retries} retries in ten minutes"
    );
    job.record_success();
    assert!(!job.suspected && !job.is_backing_off(now));
    // A job that has run is never suspected again.
    job.record_failure(machine(1), now);
    job.record_failure(machine(2), now);
    assert!(!job.reevaluate(now, |_| (false, None)));
}

#[test]
fn machine_is_quarantined_by_jobs_that_run_elsewhere_and_returns() {
    let mut machine_failures = MachineFailures::default();
    machine_failures.record_failure("a", true, 1, 100);
    assert!(!machine_failures.reevaluate(100));
    // A task that was started before the failure is no evidence.
    machine_failures.record_success(50);
    machine_failures.record_failure("a", true, 1, 200);
    assert!(machine_failures.reevaluate(200) && machine_failures.quarantined);
    assert!(!machine_failures.end_quarantine_if_due(200 + QUARANTINE_RETRY_MS - 1));
    assert!(
        machine_failures.end_quarantine_if_due(200 + QUARANTINE_RETRY_MS)
            && !machine_failures.quarantined
    );
    // Several jobs have to fail if none is known to run elsewhere.
    let mut machine_failures = MachineFailures::default();
    for job in ["a", "a", "b"] {
        machine_failures.record_failure(job, false, 1, 100);
    }
    assert!(!machine_failures.reevaluate(100));
    machine_failures.record_failure("c", false, 1, 200);
    assert!(machine_failures.reevaluate(200) && machine_failures.quarantined);
    machine_failures.clear_job("b");
    assert!(
        machine_failures.reevaluate(300) && !machine_failures.quarantined,
        "the quarantine ends once one of the three jobs is at fault"
    );
    // A task that ran after the failures clears the machine.
    machine_failures.record_success(250);
    machine_failures.record_failure("d", false, 1, 300);
    assert!(!machine_failures.reevaluate(300));
}
