//! Errors, YAML parsing and value checks that the daemon's settings and the deployment document share.

use std::collections::HashSet;
use std::fmt::Display;
use std::hash::Hash;

use serde::de::DeserializeOwned;
use snafu::Snafu;

/// The result of parsing settings.
pub type Result<T> = std::result::Result<T, Error>;

/// Why settings were rejected.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The text is not valid YAML or does not match the expected type: for example, a field is unknown or missing, or a
    /// value is not a number, an address or an id.
    #[snafu(display("{message}"))]
    Yaml {
        /// The YAML parser's message, with the field and the line where the parser knows them.
        message: String,
    },
    /// The value of a field is out of range, a duplicate, a reference to an id that is not listed, or an empty list.
    #[snafu(display("{field}: {message}"))]
    InvalidField {
        /// The path of the field, such as `vms[3].zone`.
        field: String,
        /// What is wrong with the value and which values are valid.
        message: String,
    },
}

impl From<clients::Error> for Error {
    fn from(err: clients::Error) -> Self {
        Self::InvalidField {
            field: err.field().to_owned(),
            message: err.to_string(),
        }
    }
}

impl Error {
    pub(crate) fn invalid_field(field: impl Display, message: impl Display) -> Self {
        Self::InvalidField {
            field: field.to_string(),
            message: message.to_string(),
        }
    }
}

/// Parses a YAML document into any deserializable type. Whether unknown fields are rejected is decided by the type.
///
/// # Errors
/// [`Error::Yaml`] if the text is not valid YAML or does not match the type.
///
/// ```
/// let err = settings::parse_yaml::<u32>("many").unwrap_err();
/// assert!(err.to_string().contains("u32"));
/// ```
pub fn parse_yaml<T: DeserializeOwned>(text: &str) -> Result<T> {
    deserialize(text)
}

pub(crate) fn deserialize<T: DeserializeOwned>(text: &str) -> Result<T> {
    serde_norway::from_str(text).map_err(|err| Error::Yaml {
        message: err.to_string(),
    })
}

/// Fails on the first duplicate in `values`. `kind` is the noun for a value in the message, and `field_path` returns
/// the path of the field at an index of `values`.
pub(crate) fn check_unique<T: Eq + Hash + Display>(
    values: impl IntoIterator<Item = T>,
    kind: &str,
    field_path: impl Fn(usize) -> String,
) -> Result<()> {
    let mut seen = HashSet::new();
    for (index, value) in values.into_iter().enumerate() {
        if seen.contains(&value) {
            return Err(Error::invalid_field(
                field_path(index),
                format_args!("{kind} `{value}` is listed twice"),
            ));
        }
        seen.insert(value);
    }
    Ok(())
}

/// Fails unless `value` lies in `range`.
pub(crate) fn check_range(
    value: u64,
    range: std::ops::RangeInclusive<u64>,
    field: impl Display,
) -> Result<()> {
    if range.contains(&value) {
        return Ok(());
    }
    Err(Error::invalid_field(
        field,
        format_args!(
            "{value} is not between {} and {}",
            range.start(),
            range.end()
        ),
    ))
}
