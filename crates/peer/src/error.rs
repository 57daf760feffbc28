//! Errors that an operator sees: what happened, and what to do next.

use jsonrpsee::types::{ErrorObject, ErrorObjectOwned};
use serde::{Deserialize, Serialize};

macro_rules! operator_errors {
    ($($(#[$doc:meta])* $kind:ident, $code:literal, $next:literal;)*) => {
        /// Why an operator's request was not carried out. The payload is what happened, in a sentence.
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
            /// The JSON-RPC code.
            #[must_use]
            pub fn code(&self) -> i32 {
                match self { $(Self::$kind(_) => $code,)* }
            }

            /// What happened.
            #[must_use]
            pub fn message(&self) -> &str {
                match self { $(Self::$kind(message) => message,)* }
            }

            /// What to do next.
            #[must_use]
            pub fn next_step(&self) -> &'static str {
                match self { $(Self::$kind(_) => $next,)* }
            }

            /// The error of that code.
            ///
            /// ```
            /// let err = peer::OperatorError::Conflict("the head moved".into());
            /// assert_eq!(peer::OperatorError::from_code(err.code(), "the head moved"), Some(err));
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
    /// The input can't be used.
    BadInput, 1001, "mend the field that is named and run the command again; nothing was changed";
    /// Somebody else changed the same thing in the meantime.
    Conflict, 1002, "look at the present state with `trefoilpass status` and decide again; nothing was changed";
    /// The thing is in a state that does not allow the step.
    WrongState, 1003, "look at the present state with `trefoilpass vm list` or `wave status`; nothing was changed";
    /// There is no such thing.
    NotFound, 1004, "check the name against the listing; nothing was changed";
    /// The pool's availability budget has no room for it.
    OverBudget, 1009, "wait until other VMs of the pool serve again (`trefoilpass pool list`); nothing was changed";
    /// Daemons that have to agree can't be reached.
    Held, 1005, "start a daemon on the named entry VMs again, or take them out of entry_vms; then run it again";
    /// The platform's table can't be reached, and nothing was changed.
    PlatformAway, 1006, "run it again when `trefoilpass status` shows the platform as reachable";
    /// The platform's answer was lost; the change may have been made.
    OutcomeUnknown, 1007, "look at the present state before you run it again; the change may have been made";
    /// The daemon has no configuration yet.
    NoConfiguration, 1008, "apply a configuration with `trefoilpass config apply FILE`";
}

impl From<OperatorError> for ErrorObjectOwned {
    fn from(err: OperatorError) -> Self {
        ErrorObject::owned(err.code(), err.message().to_owned(), None::<()>)
    }
}
