//! The daemon of an entry VM: it takes callers' requests, routes them to targets, and keeps the fleet's promises.

mod args;
mod clock;
mod control;
mod front;
mod in_force;
mod metrics;
mod run;
mod shared;
mod traces;
mod traffic;

use std::fmt::Display;
use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    let args = args::Args::parse();
    if args.fleet {
        start(&args, args.fleet_settings(), fleetd::run)
    } else {
        start(&args, args.settings(), run::run)
    }
}

/// Checks the settings, and runs the daemon with them unless only the check was asked for.
fn start<S, E: Display>(
    args: &args::Args,
    settings: args::Result<S>,
    run: impl FnOnce(S) -> Result<(), E>,
) -> ExitCode {
    let settings = match settings {
        Ok(settings) => settings,
        Err(err) => {
            eprintln!("trefoilpassd: {err}");
            return ExitCode::from(args::EXIT_BAD_SETTINGS);
        }
    };
    if args.check {
        println!("{}: ok", args.config.display());
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("trefoilpassd: {err}");
            ExitCode::FAILURE
        }
    }
}
