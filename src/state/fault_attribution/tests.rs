use super::*;
use crate::state::slot_table::SlotTable;

/// The handle of the machine with this index.
fn machine(index: usize) -> MachineHandle {
    let mut machines: SlotTable<MachineHandle, ()> = SlotTable::default();
    let handles: Vec<_> = (0..=index).map(|_| machines.insert(())).collect();
    handles[index]
}

#[test]
fn job_is_suspected_after_two_machines_unless_one_is_at_fault() {
    let mut j = JobFailures::default();
    j.record_failure(machine(1), 100);
    j.record_failure(machine(1), 200);
    assert!(
        !j.reevaluate(200, |_| (false, None)),
        "one machine is no proof"
    );
    j.record_failure(machine(2), 300);
    let mut other = j.clone();
    assert!(!other.reevaluate(300, |m| (m == machine(1), None)));
    assert!(j.reevaluate(300, |_| (false, None)) && j.suspected);
    // The machine is quarantined later: the job is cleared.
    assert!(j.reevaluate(400, |m| (m == machine(1), None)) && !j.suspected);
    // A new leader goes by the record, as it doesn't have the failures.
    let mut j = JobFailures::inherited_suspicion(0);
    j.record_failure(machine(1), 9_000);
    assert!(!j.reevaluate(9_000, |_| (false, None)) && j.suspected);
    j.record_success();
    assert!(!j.suspected);
}

#[test]
fn job_is_suspected_and_retried_slowly_when_it_fails_where_others_run() {
    let mut j = JobFailures::default();
    j.record_failure(machine(1), 1_000);
    assert!(!j.reevaluate(1_000, |_| (false, Some(900))));
    assert!(j.reevaluate(1_500, |_| (false, Some(1_400))) && j.suspected);
    let mut at = 1_500;
    let mut tries = 0;
    while at < 600_000 {
        assert!(j.is_backing_off(at) && !j.is_backing_off(j.next_retry_at()));
        at = j.next_retry_at();
        (0..100).for_each(|_| j.delay_retry(at));
        tries += 1;
    }
    assert!((8..16).contains(&tries), "{tries} in ten minutes");
    j.record_success();
    assert!(!j.suspected && !j.is_backing_off(at));
    // Proven, it is never suspected again.
    j.record_failure(machine(1), at);
    j.record_failure(machine(2), at);
    assert!(!j.reevaluate(at, |_| (false, None)));
}

#[test]
fn machine_is_quarantined_by_jobs_that_run_elsewhere_and_returns() {
    let mut m = MachineFailures::default();
    m.record_failure("a", true, 1, 100);
    assert!(!m.reevaluate(100));
    // What was started before says nothing.
    m.record_success(50);
    m.record_failure("a", true, 1, 200);
    assert!(m.reevaluate(200) && m.quarantined);
    assert!(!m.end_quarantine_if_due(200 + QUARANTINE_RETRY_MS - 1));
    assert!(m.end_quarantine_if_due(200 + QUARANTINE_RETRY_MS) && !m.quarantined);
    // Jobs of which nothing is known must be several.
    let mut m = MachineFailures::default();
    for job in ["a", "a", "b"] {
        m.record_failure(job, false, 1, 100);
    }
    assert!(!m.reevaluate(100));
    m.record_failure("c", false, 1, 200);
    assert!(m.reevaluate(200) && m.quarantined);
    m.clear_job("b");
    assert!(
        m.reevaluate(300) && !m.quarantined,
        "one of them was broken"
    );
    // One that ran after the failures clears it.
    m.record_success(250);
    m.record_failure("d", false, 1, 300);
    assert!(!m.reevaluate(300));
}
