//! What a check finds.

use std::fmt;

/// How severe a finding is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// The configuration does not do what its entries say.
    Error,
    /// The configuration may not do what was meant.
    Warning,
}

/// A finding about an entry of a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// How severe the finding is.
    pub severity: Severity,
    /// The entry: its kind, its name and, where one is meant, its field.
    pub subject: String,
    /// What is wrong with the entry, and what follows from it.
    pub message: String,
}

impl Finding {
    pub(crate) fn error(subject: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            severity: Severity::Error,
            subject: subject.into(),
            message: message.into(),
        }
    }

    pub(crate) fn warning(subject: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            severity: Severity::Warning,
            ..Self::error(subject, message)
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let severity = match self.severity {
            Severity::Error => "error",
            Severity::Warning => "warning",
        };
        write!(f, "{severity}: {} {}", self.subject, self.message)
    }
}
