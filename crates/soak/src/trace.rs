//! What the daemons' logs and the workers tell of a job.

use std::path::Path;
use std::time::Instant;

use platform_stand_in::AttemptRecord;

use crate::checks::job_of;

/// The messages of a job that are shown: crashes of workers under its tasks, and tasks that are given up.
const MESSAGES: [&str; 2] = ["a worker crashed", "is given up"];

/// The longest part of a line of a log that is shown, in bytes on either side of the job's name.
const CONTEXT: usize = 120;

/// The job that a finding is about.
pub(crate) fn job_of_finding(finding: &str) -> Option<u64> {
    let (job, _) = finding.strip_prefix("job ")?.split_once(':')?;
    u64::from_str_radix(job, 16).ok()
}

/// The lines of a job in the logs of a folder, by file and number, cut to what surrounds the job's name.
pub(crate) fn log_lines(logs: &Path, job: u64) -> Vec<String> {
    let name = format!("{job:016x}");
    let mut lines = Vec::new();
    for entry in std::fs::read_dir(logs).into_iter().flatten().flatten() {
        let text = std::fs::read(entry.path()).unwrap_or_default();
        let text = String::from_utf8_lossy(&text);
        let file = entry.file_name();
        for (number, line) in (1..).zip(text.lines()) {
            let is_shown = MESSAGES.iter().any(|message| line.contains(message));
            if let Some(at) = line.find(&name).filter(|_| is_shown) {
                let head: String = line.chars().take(2 * CONTEXT).collect();
                let rest: String = line[at..].chars().take(CONTEXT).collect();
                lines.push(format!("{head} ... {rest} ({}:{number})", file.display()));
            }
        }
    }
    lines.sort();
    lines
}

/// The runs of a job's tasks, by task and attempt, from `start` on.
pub(crate) fn run_lines(runs: &[AttemptRecord], job: u64, start: Instant) -> Vec<String> {
    let runs = runs.iter().filter(|run| job_of(&run.task) == Some(job));
    let mut runs: Vec<_> = runs.collect();
    runs.sort_by_key(|run| (&run.task, run.attempt));
    let line = |run: &AttemptRecord| {
        let began = run.started_at - start;
        let ended = run.ended.map_or("runs".to_owned(), |(at, how)| {
            format!("{how} at {:.3} s", (at - start).as_secs_f64())
        });
        let (task, attempt, began) = (&run.task, run.attempt, began.as_secs_f64());
        format!("{task} attempt {attempt}: from {began:.3} s, {ended}")
    };
    runs.into_iter().map(line).collect()
}
