//! How a call to the platform fails.

use snafu::Snafu;

/// The result of a call to the platform.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a call to the platform gave no result.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// No connection could be made, so the call had no effect.
    #[snafu(display("the platform can't be reached"))]
    Unreachable,
    /// The answer was lost or said that the platform is out of order: the call may have had its effect.
    #[snafu(display("the platform's answer was lost: {message}"))]
    Lost {
        /// What was seen.
        message: String,
    },
    /// The platform refused the call, which had no effect.
    #[snafu(display("the platform refused the call with status {status}"))]
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// A row or object is not what its key promises.
    #[snafu(display("`{key}` can't be read: {message}"))]
    Unreadable {
        /// The row's key or the object's name.
        key: String,
        /// What the reader said.
        message: String,
    },
}
