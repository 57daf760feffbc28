//! What fits into one transaction.

mod support;

use submission::{Job, JobSpec};
use support::{Pool, job, step};

/// The store accepts calls of at most 1 MB. The content of rows is encoded in base64.
const MAX_CALL_BYTES: usize = 1_000_000;

fn encoded_bytes(job: &Job, is_new: bool) -> usize {
    let spec = serde_json::to_vec(&**job.spec()).unwrap().len();
    let record = serde_json::to_vec(&job.record()).unwrap().len();
    let rows = if is_new { spec + record } else { record };
    rows * 4 / 3
}

#[test]
fn the_rows_of_a_batch_fit_into_a_call_of_the_store() {
    let labelled = |label: String| {
        let mut step = step(1);
        step.required_label = label.into();
        job(vec![step])
    };
    let specs: [(&str, JobSpec); 4] = [
        ("many tasks", job(vec![step(1500)])),
        ("a long label", labelled("x".repeat(60_000))),
        ("control characters", labelled("\u{1}".repeat(10_000))),
        ("small", job(vec![step(6)])),
    ];
    for (name, spec) in specs {
        let mut pool = Pool::new(&["one"]);
        for id in 1..=200 {
            pool.submit(id, spec.clone());
        }
        let (mut jobs, mut batches) = (0, 0);
        loop {
            let batch = pool.scheduler.take_batch(98);
            if batch.changes.is_empty() {
                break;
            }
            let rows = batch.changes.iter().map(|change| {
                let job = pool.scheduler.job(change.job).unwrap();
                encoded_bytes(job, change.is_new)
            });
            let bytes: usize = rows.sum();
            assert!(bytes < MAX_CALL_BYTES, "{name}: {bytes} bytes");
            batches += 1;
            jobs += batch.changes.len();
            pool.scheduler.apply_commit(&batch);
        }
        assert_eq!(jobs, 200, "{name}");
        assert!(batches <= 40, "{name}: {batches} batches");
    }
}

#[test]
fn the_progress_of_many_large_jobs_fits_into_a_call_of_the_store() {
    let mut pool = Pool::new(&["one"]);
    let mut tiny = step(1500);
    tiny.needs.cpu_milli = 0;
    tiny.needs.memory_mb = 0;
    let ids: Vec<_> = (1..=60)
        .map(|id| pool.submit(id, job(vec![tiny.clone()])))
        .collect();
    while pool.scheduler.ready_steps() > 0 {
        pool.round();
    }
    for id in ids {
        pool.scheduler.cancel(id, pool.now());
    }
    loop {
        let batch = pool.scheduler.take_batch(98);
        if batch.changes.is_empty() {
            break;
        }
        let rows = batch.changes.iter().map(|change| {
            let job = pool.scheduler.job(change.job).unwrap();
            encoded_bytes(job, change.is_new)
        });
        let bytes: usize = rows.sum();
        assert!(bytes < MAX_CALL_BYTES, "{bytes} bytes");
        pool.scheduler.apply_commit(&batch);
    }
}
