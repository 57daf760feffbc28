//! The difference of two documents, line by line.

/// The lines of `old` that are gone and those of `new` that have come, in the order of the documents.
///
/// Lines that stand in both are left out, wherever they stand.
pub(crate) fn lines(old: &str, new: &str) -> Vec<String> {
    let gone = old
        .lines()
        .filter(|line| !new.lines().any(|other| other == *line));
    let come = new
        .lines()
        .filter(|line| !old.lines().any(|other| other == *line));
    let gone = gone.map(|line| format!("- {line}"));
    gone.chain(come.map(|line| format!("+ {line}"))).collect()
}
