//! Runs one case of the review: `review-case NAME FOLDER`. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
//! case couldn't run. `TROUBLE=0` leaves the disruption out.

mod executor;
mod http;
mod platform;
mod record;
mod store;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use record::Record;

mod cases;

/// What a case came to.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

pub struct Stage {
    pub record: Arc<Record>,
    /// A temporary folder for settings and logs.
    pub folder: PathBuf,
    pub has_trouble: bool,
}

fn temporary_folder() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    folder
}

async fn ended_from_outside() {
    use tokio::signal::unix::{SignalKind, signal};
    let (Ok(mut term), Ok(mut int)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, folder] = &args[..] else {
        eprintln!("usage: review-case NAME FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::new(&Path::new(folder).join("record.txt")));
    record.line(&format!(
        "case {name}, disruption: {}",
        if has_trouble { "yes" } else { "no" }
    ));
    let stage = Stage {
        record: record.clone(),
        folder: temporary_folder(),
        has_trouble,
    };
    let temporary = stage.folder.clone();
    let limit = Duration::from_secs(110);
    // Whatever ends the case drops it, and with it the processes that it started.
    let verdict = tokio::select! {
        verdict = tokio::time::timeout(limit, cases::run(name, stage)) => verdict.unwrap_or(Verdict::CouldNotRun),
        () = ended_from_outside() => Verdict::CouldNotRun,
    };
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(temporary);
    }
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("the rule was broken", 1),
        Verdict::CouldNotRun => ("the case could not run", 2),
    };
    record.line(text);
    println!("{name}: {text}");
    ExitCode::from(code)
}
