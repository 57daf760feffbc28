//! The closed list of error kinds, and the HTTP response of each.

use serde::{Deserialize, Serialize};

/// What a caller may conclude about the effect of a failed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No target executed any part of the request.
    NotRun,
    /// A target may have executed the request.
    Unknown,
}

macro_rules! error_kinds {
    ($($(#[$doc:meta])* $kind:ident, $name:literal, $status:literal, $outcome:ident, $retry:expr;)*) => {
        /// The reasons for which a request is rejected or abandoned.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum ErrorKind {
            $($(#[$doc])* $kind,)*
        }

        impl ErrorKind {
            /// All kinds, in the order of the table.
            pub const ALL: &'static [Self] = &[$(Self::$kind,)*];

            /// Returns the name of the kind in the `type` of a response and in metric labels.
            #[must_use]
            pub fn name(self) -> &'static str {
                match self { $(Self::$kind => $name,)* }
            }

            /// Returns the HTTP status of the response.
            #[must_use]
            pub fn status(self) -> u16 {
                match self { $(Self::$kind => $status,)* }
            }

            /// Returns what the caller may conclude about the effect of the request.
            #[must_use]
            pub fn outcome(self) -> Outcome {
                match self { $(Self::$kind => Outcome::$outcome,)* }
            }

            /// Returns the delay after which the caller may retry, in s; `None` when the same request will always be rejected.
            ///
            /// ```
            /// use domain::ErrorKind;
            /// assert_eq!(ErrorKind::QueueFull.retry_after_s(), Some(1));
            /// assert_eq!(ErrorKind::UnknownService.retry_after_s(), None);
            /// ```
            #[must_use]
            pub fn retry_after_s(self) -> Option<u32> {
                match self { $(Self::$kind => $retry,)* }
            }
        }
    };
}

error_kinds! {
    /// The request line or a header is malformed.
    MalformedRequest, "malformed-request", 400, NotRun, None;
    /// The headers exceed the maximum length.
    HeadersTooLarge, "headers-too-large", 431, NotRun, None;
    /// The configuration has no service with the requested name.
    UnknownService, "unknown-service", 404, NotRun, None;
    /// The body ended before its announced length.
    BodyIncomplete, "body-incomplete", 400, NotRun, None;
    /// The body did not arrive in time.
    BodyTooSlow, "body-too-slow", 408, NotRun, Some(1);
    /// The body exceeds the maximum length of the service.
    BodyTooLarge, "body-too-large", 413, NotRun, None;
    /// The bodies of other requests take all memory that the settings allow.
    NoMemory, "no-memory", 503, NotRun, Some(1);
    /// The deadline had passed when the request arrived.
    DeadlinePast, "deadline-past", 504, NotRun, None;
    /// The request would wait in the queue beyond its deadline.
    CannotMeetDeadline, "cannot-meet-deadline", 503, NotRun, Some(1);
    /// The queue is full.
    QueueFull, "queue-full", 503, NotRun, Some(1);
    /// No target of the service accepts requests.
    NoTarget, "no-target", 503, NotRun, Some(2);
    /// The daemon has not loaded a configuration.
    NoConfiguration, "no-configuration", 503, NotRun, Some(2);
    /// The idempotency key was used for a different request.
    KeyReused, "key-reused", 422, NotRun, None;
    /// A request with the same idempotency key is in progress.
    KeyRunning, "key-running", 409, Unknown, Some(1);
    /// A request with the same idempotency key was executed, or may have been, and its response is not available.
    KeySpent, "key-spent", 409, Unknown, None;
    /// The daemon that executes, or executed, the request with the same idempotency key can't be reached.
    KeyHolderAway, "key-holder-away", 503, Unknown, Some(2);
    /// The idempotency key can't be recorded, because the platform's table can't be reached.
    ClaimUnavailable, "claim-unavailable", 503, NotRun, Some(2);
    /// No connection to a target could be established.
    TargetUnreachable, "target-unreachable", 503, NotRun, Some(1);
    /// The targets rejected the request without executing it.
    TargetRefused, "target-refused", 503, NotRun, Some(1);
    /// The target failed after the request was sent.
    TargetFailed, "target-failed", 502, Unknown, Some(1);
    /// The target did not respond before the deadline.
    TargetTimeout, "target-timeout", 504, Unknown, Some(1);
}
