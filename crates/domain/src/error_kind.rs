//! The closed list of error kinds and the table from kind to answer.

use serde::{Deserialize, Serialize};

/// What a caller may conclude about its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No target ran any part of it.
    NotRun,
    /// A target may have run it.
    Unknown,
}

macro_rules! error_kinds {
    ($($(#[$doc:meta])* $kind:ident, $name:literal, $status:literal, $outcome:ident, $retry:expr;)*) => {
        /// Every way in which a request can be refused or given up on.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum ErrorKind {
            $($(#[$doc])* $kind,)*
        }

        impl ErrorKind {
            /// All kinds, in the order of the table.
            pub const ALL: &'static [Self] = &[$(Self::$kind,)*];

            /// The name in the answer's `type` and in the counters.
            #[must_use]
            pub fn name(self) -> &'static str {
                match self { $(Self::$kind => $name,)* }
            }

            /// The HTTP status.
            #[must_use]
            pub fn status(self) -> u16 {
                match self { $(Self::$kind => $status,)* }
            }

            /// What the caller may conclude.
            #[must_use]
            pub fn outcome(self) -> Outcome {
                match self { $(Self::$kind => Outcome::$outcome,)* }
            }

            /// When to come back, in seconds; `None` where the same request will never be taken.
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
    /// The request line or a header can't be read.
    MalformedRequest, "malformed-request", 400, NotRun, None;
    /// The headers are longer than a daemon takes.
    HeadersTooLarge, "headers-too-large", 431, NotRun, None;
    /// No service of that name is configured.
    UnknownService, "unknown-service", 404, NotRun, None;
    /// The body ended before its announced length.
    BodyIncomplete, "body-incomplete", 400, NotRun, None;
    /// The body came too slowly.
    BodyTooSlow, "body-too-slow", 408, NotRun, Some(1);
    /// The body is longer than the service takes.
    BodyTooLarge, "body-too-large", 413, NotRun, None;
    /// The deadline had passed when the request arrived.
    DeadlinePast, "deadline-past", 504, NotRun, None;
    /// The request would have waited past its deadline.
    CannotMeetDeadline, "cannot-meet-deadline", 503, NotRun, Some(1);
    /// The queue holds as many requests as it may.
    QueueFull, "queue-full", 503, NotRun, Some(1);
    /// No target of the service takes work.
    NoTarget, "no-target", 503, NotRun, Some(2);
    /// This daemon has no configuration yet.
    NoConfiguration, "no-configuration", 503, NotRun, Some(2);
    /// The idempotency key belongs to another request.
    KeyReused, "key-reused", 422, NotRun, None;
    /// A request with this key is running.
    KeyRunning, "key-running", 409, Unknown, Some(1);
    /// A request with this key ran, or may have run, and its answer can't be had.
    KeySpent, "key-spent", 409, Unknown, None;
    /// The daemon that holds the key's claim can't be asked now.
    KeyHolderAway, "key-holder-away", 503, Unknown, Some(2);
    /// The key can't be claimed while the platform's table is away.
    ClaimUnavailable, "claim-unavailable", 503, NotRun, Some(2);
    /// No connection to a target could be made.
    TargetUnreachable, "target-unreachable", 503, NotRun, Some(1);
    /// Targets said that they did not run it.
    TargetRefused, "target-refused", 503, NotRun, Some(1);
    /// The target failed after the request was sent.
    TargetFailed, "target-failed", 502, Unknown, Some(1);
    /// The target did not answer before the deadline.
    TargetTimeout, "target-timeout", 504, Unknown, Some(1);
}
