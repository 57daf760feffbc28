//! The check of a fleet's configuration before it is sent: errors, entries that can never match, limits that contradict
//! each other, and what differs from the version in force.
//!
//! This crate does no I/O and reads no clock. It never shows a key.

mod changes;
mod finding;
mod limits;
mod names;
mod routing;

use users_platform::ConfigDocument;

pub use changes::{Change, changes};
pub use finding::{Finding, Severity};

/// Checks a configuration, and against the one in force if there is one. Errors come first; otherwise the findings are in
/// the order of the configuration's entries.
///
/// ```
/// use users_platform::decode_config;
/// let text = br#"{"version":4,"limits":{"maxHeaderBytes":1,"maxBodyBytes":1,"headerTimeoutMs":1,"idleTimeoutMs":1}}"#;
/// let config = decode_config(text).unwrap();
/// let findings = config_check::check(&config, Some(&config));
/// assert_eq!(findings[0].message, "is not higher than that in force, 4: the configuration would be ignored");
/// ```
#[must_use]
pub fn check(config: &ConfigDocument, in_force: Option<&ConfigDocument>) -> Vec<Finding> {
    let mut findings = Vec::new();
    if let Some(in_force) = in_force.filter(|in_force| in_force.epoch >= config.epoch) {
        let message = format!(
            "is not higher than that in force, {}: the configuration would be ignored",
            in_force.epoch
        );
        findings.push(Finding::error(format!("epoch {}", config.epoch), message));
    }
    findings.extend(names::check(config));
    findings.extend(routing::check(config));
    findings.extend(limits::check(config));
    findings.sort_by_key(|finding| finding.severity);
    findings
}
