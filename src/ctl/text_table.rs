//! Tables for people.

/// Two blanks between columns read well without lines.
const GAP: &str = "  ";

/// Aligns the cells of rows in columns; the first row is the head. Rows may be shorter.
pub fn text_table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let line = |row: &Vec<String>| {
        let padded: Vec<String> = row
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        padded.join(GAP).trim_end().to_owned()
    };
    let lines: Vec<String> = rows.iter().map(line).collect();
    lines.join("\n")
}
