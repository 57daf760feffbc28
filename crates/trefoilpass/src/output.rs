//! Listings, as aligned columns or as JSON.

use serde::Serialize;

/// Prints rows: as JSON, or with a heading and aligned columns.
pub(crate) fn print_rows<T: Serialize, const N: usize>(
    is_json: bool,
    rows: &[T],
    heading: [&str; N],
    columns: impl Fn(&T) -> [String; N],
) {
    if is_json {
        print_json(&rows);
        return;
    }
    let mut lines = vec![heading.map(str::to_owned)];
    lines.extend(rows.iter().map(columns));
    let width = |i: usize| lines.iter().map(|line| line[i].len()).max().unwrap_or(0);
    let widths: Vec<_> = (0..N).map(width).collect();
    for line in &lines {
        let cells = line
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:width$}"));
        let cells: Vec<_> = cells.collect();
        println!("{}", cells.join("  ").trim_end());
    }
}

/// Prints a value as JSON.
pub(crate) fn print_json(value: &impl Serialize) {
    let text = serde_json::to_string_pretty(value).expect("reports are plain data");
    println!("{text}");
}
