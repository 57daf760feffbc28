//! The check of a configuration of the users' platform, from files, without a daemon.

use std::path::Path;

use config_check::{Severity, changes, check};
use snafu::{ResultExt, ensure};
use users_platform::{ConfigDocument, decode_config};

use crate::error::{ConfigurationErrorsSnafu, ConfigurationSnafu, ReadFileSnafu, Result};

/// Prints what is wrong with a configuration, and how it differs from the one in force.
pub(crate) fn run(file: &Path, in_force: Option<&Path>) -> Result<()> {
    let config = read(file)?;
    let in_force = in_force.map(read).transpose()?;
    let findings = check(&config, in_force.as_ref());
    for finding in &findings {
        println!("{finding}");
    }
    let changed = in_force.map_or_else(Vec::new, |in_force| changes(&in_force, &config));
    for change in &changed {
        println!("change: {change}");
    }
    let errors = findings
        .iter()
        .filter(|finding| finding.severity == Severity::Error);
    let errors = errors.count();
    ensure!(errors == 0, ConfigurationErrorsSnafu { path: file, errors });
    println!(
        "{}: ok, {} warnings, {} changes",
        file.display(),
        findings.len(),
        changed.len()
    );
    Ok(())
}

fn read(file: &Path) -> Result<ConfigDocument> {
    let text = std::fs::read(file).context(ReadFileSnafu { path: file })?;
    decode_config(&text).context(ConfigurationSnafu { path: file })
}
