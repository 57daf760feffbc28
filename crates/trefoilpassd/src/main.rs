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

use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    let args = args::Args::parse();
    if args.fleet {
        return run_fleet(&args);
    }
    let settings = match args.settings() {
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
    match run::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("trefoilpassd: {err}");
            ExitCode::FAILURE
        }
    }
}

fn run_fleet(args: &args::Args) -> ExitCode {
    let settings = match args.fleet_settings() {
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
    match fleetd::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("trefoilpassd: {err}");
            ExitCode::FAILURE
        }
    }
}
