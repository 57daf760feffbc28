//! The operators' command line. It talks to any daemon.

mod args;
mod check_fleet;
mod commands;
mod diff;
mod error;
mod output;
mod wait;

use std::process::ExitCode;

use clap::Parser;

use crate::args::Args;
use crate::error::Error;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let args = Args::parse();
    match commands::run(args).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            report(&err);
            ExitCode::from(err.exit_code())
        }
    }
}

/// What happened, then what to do next, as the last line.
fn report(err: &Error) {
    eprintln!("trefoilpass: {err}");
    eprintln!("next: {}", err.next_step());
}
