//! Tables for people.

/// Prints rows below a header, each column as wide as its widest cell.
pub(crate) fn print(header: &[&str], rows: &[Vec<String>]) {
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column)).map(|cell| cell.chars().count());
        cells.chain([header[column].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..header.len()).map(width).collect();
    let line = |cells: Vec<String>| {
        let padded = cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        println!("{}", padded.collect::<Vec<_>>().join("  ").trim_end());
    };
    line(header.iter().map(|cell| (*cell).to_owned()).collect());
    rows.iter().for_each(|row| line(row.clone()));
}
