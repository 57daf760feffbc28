//! Each promise that the soak checks is seen to be broken when it is.

use std::time::{Duration, Instant};

use platform_stand_in::{AttemptRecord, CRASHED, ReportedState, VmCommandRecord};
use soak::{
    JobKind, JobRecord, Ledger, StateSeen, allowed_failures, findings, leader_findings,
    standing_jobs,
};

const JOB: u64 = 0xa1;

struct Case {
    start: Instant,
    record: JobRecord,
    runs: Vec<AttemptRecord>,
}

impl Case {
    /// A job that was accepted, of two steps of one task.
    fn new() -> Self {
        let start = Instant::now();
        let mut record = JobRecord::new(JobKind::Chain { tasks: [1, 1] });
        record.is_refused = false;
        record.accepted = Some(start);
        Self {
            start,
            record,
            runs: Vec::new(),
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn with_run(
        mut self,
        task: &str,
        run: u64,
        began_ms: u64,
        ended: Option<(u64, &'static str)>,
    ) -> Self {
        self.runs.push(AttemptRecord {
            stops_at: None,
            task: format!("00000000000000{task}"),
            attempt: run,
            fails: false,
            is_service: false,
            started_at: self.at(began_ms),
            ended: ended.map(|(ms, how)| (self.at(ms), how)),
            is_end_acknowledged: ended.is_some_and(|(_, how)| how == "done"),
        });
        self
    }

    fn with_state(mut self, at_ms: u64, shown: ReportedState) -> Self {
        let at = self.at(at_ms);
        self.record.seen.push(StateSeen {
            asked: at,
            answered: at,
            shown,
        });
        self
    }

    fn with_record(mut self, change: impl FnOnce(&mut JobRecord)) -> Self {
        change(&mut self.record);
        self
    }
}

fn check(name: &str, case: &Case, expected: Option<&str>) {
    let mut ledger = Ledger::default();
    ledger.jobs.insert(JOB, case.record.clone());
    let found = findings(&ledger, &case.runs);
    match expected {
        None => assert!(found.is_empty(), "{name}: {found:?}"),
        Some(expected) => assert!(
            found.len() == 1 && found[0].contains(expected),
            "{name}: {found:?}"
        ),
    }
}

fn served() -> Case {
    Case::new()
        .with_run("a1.0.0.0", 1, 10, Some((310, "done")))
        .with_run("a1.0.1.0", 1, 320, Some((620, "done")))
}

#[test]
fn a_job_that_was_served_breaks_nothing() {
    check(
        "served",
        &served().with_state(700, ReportedState::Done),
        None,
    );
    let again = Case::new()
        .with_run("a1.0.0.0", 1, 10, Some((100, "lapsed")))
        .with_run("a1.0.0.0", 2, 110, Some((410, "done")));
    check("again after a lapse", &again, None);
    let lost = Case::new().with_state(1000, ReportedState::NotFound);
    check("not known for a moment", &lost, None);
    let mut unknown = served().with_run("a1.0.1.0", 2, 5000, None);
    unknown.runs[1].is_end_acknowledged = false;
    check("again after an end that nobody recorded", &unknown, None);
}

#[test]
fn broken_promises_are_found() {
    let twice = Case::new()
        .with_run("a1.0.0.0", 1, 10, Some((310, "done")))
        .with_run("a1.0.0.0", 2, 200, Some((500, "lapsed")));
    check(
        "two runs at once",
        &twice,
        Some("ran again after it was done"),
    );
    let twice = Case::new().with_run("a1.0.0.0", 1, 10, None).with_run(
        "a1.0.0.0",
        2,
        200,
        Some((500, "done")),
    );
    check("two runs at once", &twice, Some("ran twice at once"));
    let again = served().with_run("a1.0.1.0", 2, 900, Some((1200, "done")));
    check(
        "again after done",
        &again,
        Some("ran again after it was done"),
    );
    let order = Case::new()
        .with_run("a1.0.0.0", 1, 10, Some((310, "done")))
        .with_run("a1.0.1.0", 1, 300, Some((600, "done")));
    check(
        "the second step too early",
        &order,
        Some("before the first was done"),
    );
    let unasked = served().with_run("b2.0.0.0", 1, 10, None);
    check("a job of nobody", &unasked, Some("nobody handed it in"));
    let refused = served().with_record(|record| {
        record.is_refused = true;
        record.accepted = None;
    });
    check(
        "refused and run",
        &refused,
        Some("every attempt was refused"),
    );
    let early = served().with_state(600, ReportedState::Done);
    check("done too early", &early, Some("shown as done"));
    let lost = Case::new().with_state(3100, ReportedState::NotFound);
    check("lost", &lost, Some("not known"));
    let failed = Case::new().with_state(100, ReportedState::Failed);
    check("failed", &failed, Some("nothing failed"));
    let cancelled = Case::new().with_state(100, ReportedState::Cancelled);
    check(
        "cancelled by nobody",
        &cancelled,
        Some("nobody cancelled it"),
    );
    let start = Case::new().start;
    let after = Case::new()
        .with_record(|record| record.cancelled = Some(start))
        .with_run("a1.0.0.0", 1, 3500, None);
    check(
        "started after it was cancelled",
        &after,
        Some("after the job was cancelled"),
    );
}

#[test]
fn failures_without_two_crashes_under_one_task_are_found() {
    fn check_allowed(name: &str, case: &Case, expected: Option<&str>, allowed: usize) {
        check(name, case, expected);
        let mut ledger = Ledger::default();
        ledger.jobs.insert(JOB, case.record.clone());
        assert_eq!(allowed_failures(&ledger, &case.runs), allowed, "{name}");
    }
    let failed_at = |at_ms| {
        let case = Case::new()
            .with_run("a1.0.0.0", 1, 10, Some((20, CRASHED)))
            .with_run("a1.0.0.0", 2, 30, Some((40, CRASHED)));
        case.with_state(at_ms, ReportedState::Failed)
    };
    check_allowed("two crashes", &failed_at(50), None, 1);
    let early = Some("nothing failed; 1 workers crashed");
    check_allowed("before the second crash", &failed_at(39), early, 0);
    let apart = Case::new()
        .with_run("a1.0.0.0", 1, 10, Some((20, CRASHED)))
        .with_run("a1.0.0.1", 1, 30, Some((40, CRASHED)))
        .with_state(50, ReportedState::Failed);
    check_allowed("two tasks with a crash", &apart, early, 0);
    let planned = Case::new()
        .with_run("a1.0.0.0", 1, 10, Some((20, "gone")))
        .with_run("a1.0.0.0", 2, 30, Some((40, "lapsed")))
        .with_state(50, ReportedState::Failed);
    check_allowed("no crash", &planned, Some("; 0 workers crashed"), 0);
    let lasting = failed_at(50).with_record(|record| record.kind = JobKind::Lasting { tasks: 1 });
    check_allowed("a task that lasts", &lasting, Some("; 2 workers"), 0);
}

#[test]
fn accepted_jobs_that_stand_still_are_found() {
    fn check(name: &str, case: &Case, at_ms: u64, expected: bool) {
        let mut ledger = Ledger::default();
        ledger.jobs.insert(JOB, case.record.clone());
        let standing = standing_jobs(&ledger, &case.runs, case.at(at_ms));
        assert_eq!(!standing.is_empty(), expected, "{name}");
    }
    check("just accepted", &Case::new(), 2900, false);
    check("never started", &Case::new(), 3100, true);
    let first = Case::new().with_run("a1.0.0.0", 1, 10, Some((310, "done")));
    check("between two steps", &first, 3200, false);
    check("the second step never starts", &first, 3400, true);
    check("served", &served(), 9000, false);
    let running = Case::new().with_run("a1.0.0.0", 1, 10, None);
    check("running", &running, 9000, false);
    let start = Case::new().start;
    let cancelled = Case::new().with_record(|record| record.cancel_asked = Some(start));
    check("cancelled", &cancelled, 9000, false);
    let lasting = Case::new()
        .with_record(|record| record.kind = JobKind::Lasting { tasks: 2 })
        .with_run("a1.0.0.0", 1, 10, None);
    check("one of two tasks that last", &lasting, 9000, true);
    let lasting = lasting.with_run("a1.0.0.1", 1, 20, None);
    check("tasks that last", &lasting, 9000, false);
    let failed = Case::new().with_state(100, ReportedState::Failed);
    check(
        "shown as failed, a finding of its own",
        &failed,
        9000,
        false,
    );
}

#[test]
fn leaders_that_command_one_vm_too_close_together_are_found() {
    let start = Instant::now();
    let command = |vm: &str, leader: &str, term, at_ms| VmCommandRecord {
        vm: vm.to_owned(),
        leader: leader.to_owned(),
        term,
        received_at: start + Duration::from_millis(at_ms),
    };
    let check = |second: VmCommandRecord, expected: Option<&str>| {
        let commands = [command("m-0", "d0", 3, 100), second];
        let found = leader_findings(&commands, start);
        match expected {
            None => assert!(found.is_empty(), "{commands:?}: {found:?}"),
            Some(expected) => assert!(
                found.len() == 1 && found[0].contains(expected),
                "{commands:?}: {found:?}"
            ),
        }
    };
    check(command("m-0", "d0", 3, 110), None);
    check(command("m-0", "d0", 4, 110), None);
    check(command("m-1", "d1", 4, 110), None);
    check(command("m-0", "d1", 4, 3100), None);
    check(command("m-0", "d1", 4, 3099), Some("within the gap"));
    check(command("m-0", "d1", 3, 9000), Some("one term"));
    check(command("m-0", "d1", 2, 9000), Some("a lower term"));
    check(command("m-0", "d0", 2, 9000), Some("a lower term"));
}
