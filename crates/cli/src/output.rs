//! Prints tables and JSON to standard output.

/// Prints rows under a heading. Each column is as wide as its widest cell.
pub(crate) fn table(heading: &[&str], rows: &[Vec<String>]) {
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column)).map(String::len);
        cells.chain([heading[column].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..heading.len()).map(width).collect();
    let heading: Vec<String> = heading.iter().map(|&cell| cell.to_owned()).collect();
    for row in std::iter::once(&heading).chain(rows) {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        println!("{}", cells.collect::<Vec<_>>().join("  ").trim_end());
    }
}

/// Prints a value as JSON.
pub(crate) fn json<T: serde::Serialize>(value: &T) {
    println!(
        "{}",
        serde_json::to_string_pretty(value).expect("serialising an output value cannot fail")
    );
}
