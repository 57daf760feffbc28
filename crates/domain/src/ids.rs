//! Typed ids and counters, so that an id of one kind can't be used as an id of another.

use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use snafu::Snafu;

/// The result of parsing an id.
pub type Result<T> = std::result::Result<T, BadId>;

/// The maximum length of an id in bytes.
const MAX_ID_BYTES: usize = 64;

/// The error of parsing an invalid id.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display(
    "`{text}` is not an id: use 1 to {MAX_ID_BYTES} lower-case letters, digits, `-`, `_` or `.`"
))]
pub struct BadId {
    /// The invalid text.
    pub text: String,
}

fn checked(text: &str) -> Result<SmolStr> {
    let is_id_byte = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-_.".contains(&b);
    let len_ok = (1..=MAX_ID_BYTES).contains(&text.len());
    if len_ok && text.bytes().all(is_id_byte) {
        return Ok(SmolStr::new(text));
    }
    BadIdSnafu { text }.fail()
}

macro_rules! text_ids {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(SmolStr);

        impl $name {
            /// Parses an id.
            ///
            /// # Errors
            /// [`BadId`] when the text is empty, longer than 64 bytes, or has characters other than lower-case letters, digits,
            /// `-`, `_` and `.`.
            ///
            /// ```
            #[doc = concat!("assert!(domain::", stringify!($name), "::new(\"a-1\").is_ok());")]
            #[doc = concat!("assert!(domain::", stringify!($name), "::new(\"A 1\").is_err());")]
            /// ```
            pub fn new(text: &str) -> Result<Self> {
                checked(text).map(Self)
            }

            /// Returns the id as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl TryFrom<String> for $name {
            type Error = BadId;

            fn try_from(text: String) -> Result<Self> {
                Self::new(&text)
            }
        }

        impl std::str::FromStr for $name {
            type Err = BadId;

            fn from_str(text: &str) -> Result<Self> {
                Self::new(text)
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.0.into()
            }
        }
    )*};
}

text_ids! {
    /// The name of a service.
    ServiceId;
    /// The name of a pool of VMs.
    PoolId;
    /// The name of a target VM.
    VmId;
    /// The name of a team, which submits jobs.
    TeamId;
    /// The id of a job.
    JobId;
    /// The name of an availability zone.
    ZoneId;
    /// The name of a rack, which is a failure domain inside an availability zone.
    RackId;
    /// The name of an entry VM, which runs one daemon.
    EntryVmId;
    /// The name of a preset of the deployment.
    PresetId;
    /// The id of an incarnation of a daemon: one process from its start to its end.
    Incarnation;
    /// The id of a write to the platform's table. The row that was written shows after a lost response whether the write
    /// took effect.
    OpId;
}

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the next value.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    )*};
}

counters! {
    /// The number of an accepted configuration. Increases with each configuration.
    Epoch;
    /// The number of a change to the VM records. Increases with each change.
    FleetSeq;
    /// The term of a leader. Increases with each takeover.
    Term;
}
