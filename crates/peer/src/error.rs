//! Errors of operator requests, each with what to do next.

use jsonrpsee::types::{ErrorObject, ErrorObjectOwned};
use serde::{Deserialize, Serialize};

macro_rules! operator_errors {
    ($($(#[$doc:meta])* $kind:ident, $code:literal, $next:literal;)*) => {
        /// The reason why an operator's request failed. The payload is a sentence that describes the failure.
        #[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
        pub enum OperatorError {
            $($(#[$doc])* $kind(String),)*
        }

        impl std::fmt::Display for OperatorError {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(self.message())
            }
        }

        impl std::error::Error for OperatorError {}

        impl OperatorError {
            /// Returns the JSON-RPC error code.
            #[must_use]
            pub fn code(&self) -> i32 {
                match self { $(Self::$kind(_) => $code,)* }
            }

            /// Returns the sentence that describes the failure.
            #[must_use]
            pub fn message(&self) -> &str {
                match self { $(Self::$kind(message) => message,)* }
            }

            /// Returns what the operator can do next.
            #[must_use]
            pub fn next_step(&self) -> &'static str {
                match self { $(Self::$kind(_) => $next,)* }
            }

            /// Returns the error with a JSON-RPC error code and a message. `None` for a code that no operator error has.
            ///
            /// ```
            /// let err = peer::OperatorError::Conflict("the configuration head changed".into());
            /// assert_eq!(peer::OperatorError::from_code(err.code(), err.message()), Some(err));
            /// ```
            #[must_use]
            pub fn from_code(code: i32, message: &str) -> Option<Self> {
                match code {
                    $($code => Some(Self::$kind(message.into())),)*
                    _ => None,
                }
            }
        }
    };
}

operator_errors! {
    /// The input is invalid. The message names the field.
    BadInput, 1001, "correct the named field and run the command again; nothing was changed";
    /// Another change was made to the same object at the same time.
    Conflict, 1002, "check the current state with `trefoilpass status` before you run the command again; nothing was changed";
    /// The state of the VM or wave does not allow the request.
    WrongState, 1003, "check the current state with `trefoilpass vm list` or `wave status`; nothing was changed";
    /// No object has the requested name or id.
    NotFound, 1004, "check the name against the listing; nothing was changed";
    /// The request would exceed the disruption budget of the pool.
    OverBudget, 1009, "wait until other VMs of the pool serve again (`trefoilpass pool list`); nothing was changed";
    /// Daemons whose agreement is required can't be reached.
    #[serde(rename = "Held")]
    PeersUnreachable, 1005, "start a daemon on the named entry VMs, or remove them from entry_vms; then run the command again";
    /// The platform's table can't be reached, and nothing was changed.
    #[serde(rename = "PlatformAway")]
    PlatformUnreachable, 1006, "run the command again when `trefoilpass status` shows the platform as reachable";
    /// The platform's response was lost; the change may have been made.
    OutcomeUnknown, 1007, "check the current state before you run the command again; the change may have been made";
    /// The daemon has no configuration yet.
    NoConfiguration, 1008, "apply a configuration with `trefoilpass config apply FILE`";
}

impl From<OperatorError> for ErrorObjectOwned {
    fn from(err: OperatorError) -> Self {
        ErrorObject::owned(err.code(), err.message().to_owned(), None::<()>)
    }
}
