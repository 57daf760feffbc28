//! Ids and counters that keep one kind of thing from being passed for another.

use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use snafu::Snafu;

/// The result of reading an id.
pub type Result<T> = std::result::Result<T, BadId>;

/// The longest id, in bytes.
const MAX_ID_BYTES: usize = 64;

/// The text is not a valid id.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display(
    "`{text}` is not an id: use 1 to {MAX_ID_BYTES} lower-case letters, digits, `-`, `_` or `.`"
))]
pub struct BadId {
    /// The text as it was given.
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
            /// Reads an id.
            ///
            /// # Errors
            /// [`BadId`] when the text is empty, too long or has other characters.
            ///
            /// ```
            #[doc = concat!("assert!(domain::", stringify!($name), "::new(\"a-1\").is_ok());")]
            #[doc = concat!("assert!(domain::", stringify!($name), "::new(\"A 1\").is_err());")]
            /// ```
            pub fn new(text: &str) -> Result<Self> {
                checked(text).map(Self)
            }

            /// The id as text.
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
    /// A service that callers address.
    ServiceId;
    /// A pool of VMs.
    PoolId;
    /// A target VM.
    VmId;
    /// A team that submits jobs.
    TeamId;
    /// A job.
    JobId;
    /// An availability zone.
    ZoneId;
    /// A rack, which is a failure domain inside a zone.
    RackId;
    /// An entry VM, which runs one daemon.
    EntryVmId;
    /// A preset of the deployment.
    PresetId;
    /// One run of a daemon: a restart gets another incarnation.
    Incarnation;
    /// One write to the platform's table, so that a lost answer can be read back.
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
            /// The value after this one.
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
    /// The number of an accepted configuration; it only grows.
    Epoch;
    /// The number of a change to the VM records; it only grows.
    FleetSeq;
    /// The number of a steward's tenure; it only grows.
    Term;
}
