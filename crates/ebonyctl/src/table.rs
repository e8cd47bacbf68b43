//! Plain-text tables.

/// Prints a header and rows to standard output, each column as wide as its widest cell.
pub(crate) fn print(header: &[&str], rows: &[Vec<String>]) {
    let column_width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column)).map(|cell| cell.chars().count());
        cells.chain([header[column].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..header.len()).map(column_width).collect();
    let print_line = |cells: Vec<String>| {
        let padded = cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        println!("{}", padded.collect::<Vec<_>>().join("  ").trim_end());
    };
    print_line(header.iter().map(|cell| (*cell).to_owned()).collect());
    rows.iter().for_each(|row| print_line(row.clone()));
}
