//! The checks that both kinds of settings share.

use std::collections::HashSet;
use std::fmt::Display;
use std::hash::Hash;

use serde::de::DeserializeOwned;
use snafu::Snafu;

/// The result of reading settings.
pub type Result<T> = std::result::Result<T, Error>;

/// Why settings were not taken.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The text is not YAML of the expected shape; the message names field and line.
    #[snafu(display("{message}"))]
    Shape {
        /// What the reader said.
        message: String,
    },
    /// A field's value can't be used.
    #[snafu(display("{field}: {message}"))]
    Field {
        /// The path of the field, such as `vms[3].zone`.
        field: String,
        /// What is wrong and what is wanted.
        message: String,
    },
}

impl Error {
    pub(crate) fn field(field: impl Display, message: impl Display) -> Self {
        Self::Field {
            field: field.to_string(),
            message: message.to_string(),
        }
    }
}

/// Reads a YAML document of any strict type, with errors that name field and line.
///
/// # Errors
/// [`Error::Shape`].
///
/// ```
/// let err = settings::parse_yaml::<u32>("many").unwrap_err();
/// assert!(err.to_string().contains("u32"));
/// ```
pub fn parse_yaml<T: DeserializeOwned>(text: &str) -> Result<T> {
    read(text)
}

pub(crate) fn read<T: DeserializeOwned>(text: &str) -> Result<T> {
    serde_norway::from_str(text).map_err(|err| Error::Shape {
        message: err.to_string(),
    })
}

/// Fails on the first value that was there before; `field` names the place of an index.
pub(crate) fn unique<T: Eq + Hash + Display>(
    values: impl IntoIterator<Item = T>,
    what: &str,
    field: impl Fn(usize) -> String,
) -> Result<()> {
    let mut seen = HashSet::new();
    for (index, value) in values.into_iter().enumerate() {
        if seen.contains(&value) {
            return Err(Error::field(
                field(index),
                format_args!("{what} `{value}` is there twice"),
            ));
        }
        seen.insert(value);
    }
    Ok(())
}

/// Fails unless `value` lies in `range`.
pub(crate) fn within(
    value: u64,
    range: std::ops::RangeInclusive<u64>,
    field: impl Display,
) -> Result<()> {
    if range.contains(&value) {
        return Ok(());
    }
    Err(Error::field(
        field,
        format_args!(
            "{value} is not between {} and {}",
            range.start(),
            range.end()
        ),
    ))
}
