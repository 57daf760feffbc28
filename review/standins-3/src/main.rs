//! The cases of review/11 and later. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

mod executor;
mod http_server;
mod key;
mod long;
mod memory;
mod record;
mod stage;
mod steps;
mod vms;
mod wave;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use key::Taken;
use record::Record;
use tokio::signal::unix::{SignalKind, signal};

#[tokio::main]
async fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(program), Some(folder), Some(record)) =
        (args.next(), args.next(), args.next(), args.next())
    else {
        eprintln!("usage: review-3 CASE DAEMON-PROGRAM TEMPORARY-FOLDER RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&PathBuf::from(record));
    let (program, folder) = (PathBuf::from(program), PathBuf::from(folder));
    record.line(&format!("case {case}, trouble {trouble}"));
    let run = async {
        match case.as_str() {
            "memory" => memory::run(record.clone(), program, folder, trouble).await,
            "unavailable" => wave::unavailable(record.clone(), program, folder, trouble).await,
            "leader" => wave::leader(record.clone(), program, folder, trouble).await,
            "steps" => steps::run(record.clone(), program, folder, trouble).await,
            "long" => long::run(record.clone(), program, folder, trouble).await,
            "key" => key::run(record.clone(), program, folder, trouble, Taken::Key).await,
            "route" => key::run(record.clone(), program, folder, trouble, Taken::Route).await,
            _ => 2,
        }
    };
    let mut terminated = signal(SignalKind::terminate()).expect("a signal handler");
    let mut interrupted = signal(SignalKind::interrupt()).expect("a signal handler");
    // Whatever ends the run, its processes end with it.
    let status = tokio::select! {
        status = tokio::time::timeout(Duration::from_secs(115), run) => status.unwrap_or(2),
        _ = terminated.recv() => 2,
        _ = interrupted.recv() => 2,
    };
    record.say(match status {
        0 => "held",
        1 => "BROKEN",
        _ => "could not run",
    });
    ExitCode::from(status)
}
