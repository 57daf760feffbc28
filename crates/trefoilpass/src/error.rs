//! Errors, their exit codes, and what to do next.

use std::path::PathBuf;

use jsonrpsee::core::ClientError;
use peer::OperatorError;
use snafu::Snafu;

/// The result of a command.
pub(crate) type Result<T> = std::result::Result<T, Error>;

const EXIT_BAD_INPUT: u8 = 2;
const EXIT_REFUSED: u8 = 3;
const EXIT_NO_DAEMON: u8 = 4;
const EXIT_UNKNOWN: u8 = 5;
const EXIT_WAITED: u8 = 6;

/// Why a command did not do what it was asked.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Error {
    #[snafu(display("{}: {source}", path.display()))]
    ReadFile {
        path: PathBuf,
        source: std::io::Error,
    },
    #[snafu(display("{}: {source}", path.display()))]
    Document {
        path: PathBuf,
        source: settings::Error,
    },
    #[snafu(display("{}: {source}", path.display()))]
    Configuration {
        path: PathBuf,
        source: users_platform::Error,
    },
    #[snafu(display("{}: {errors} errors", path.display()))]
    ConfigurationErrors { path: PathBuf, errors: usize },
    #[snafu(display("{}", source.message()))]
    Refused { source: OperatorError },
    #[snafu(display("no daemon answers: {message}"))]
    NoDaemon { message: String },
    #[snafu(display("the daemon's answer was lost: {message}"))]
    Lost { message: String },
    #[snafu(display("not done after {seconds} s: {message}"))]
    Waited { seconds: u64, message: String },
}

impl Error {
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::ReadFile { .. }
            | Self::Document { .. }
            | Self::Configuration { .. }
            | Self::ConfigurationErrors { .. }
            | Self::Refused {
                source: OperatorError::BadInput(_),
            } => EXIT_BAD_INPUT,
            Self::Lost { .. }
            | Self::Refused {
                source: OperatorError::OutcomeUnknown(_),
            } => EXIT_UNKNOWN,
            Self::Refused { .. } => EXIT_REFUSED,
            Self::NoDaemon { .. } => EXIT_NO_DAEMON,
            Self::Waited { .. } => EXIT_WAITED,
        }
    }

    pub(crate) fn next_step(&self) -> &'static str {
        match self {
            Self::ReadFile { .. } => "check the file's name and rights",
            Self::Document { .. } | Self::Configuration { .. } => {
                "mend the field that is named and run the command again"
            }
            Self::ConfigurationErrors { .. } => "mend the entries that are named, then check again",
            Self::Refused { source } => source.next_step(),
            Self::NoDaemon { .. } => "name entry VMs that run with --daemons ADDR,ADDR",
            Self::Lost { .. } => {
                "look at the present state before you run it again; the change may have been made"
            }
            Self::Waited { .. } => {
                "it goes on by itself; look with `trefoilpass status`, `vm list` or `wave status`"
            }
        }
    }

    /// The error of a call that a daemon took.
    pub(crate) fn from_call(err: ClientError) -> Self {
        match err {
            ClientError::Call(object) => {
                let refused = OperatorError::from_code(object.code(), object.message());
                match refused {
                    Some(source) => Self::Refused { source },
                    None => Self::Lost {
                        message: object.message().to_owned(),
                    },
                }
            }
            err => Self::Lost {
                message: err.to_string(),
            },
        }
    }
}
