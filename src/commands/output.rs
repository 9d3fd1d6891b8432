//! Tables and JSON on standard output.

use serde::Serialize;

/// Prints a value as indented JSON.
pub(super) fn print_json<T: Serialize>(value: &T) -> anyhow::Result<()> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}

/// Prints rows under a header, with columns as wide as their widest cell.
pub(super) fn print_table<const N: usize>(header: [&str; N], rows: &[[String; N]]) {
    let mut widths = header.map(str::len);
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    print_row(&header.map(str::to_owned), &widths);
    for row in rows {
        print_row(row, &widths);
    }
}

fn print_row<const N: usize>(cells: &[String; N], widths: &[usize; N]) {
    let cells: Vec<String> =
        cells.iter().zip(widths).map(|(cell, width)| format!("{cell:width$}")).collect();
    println!("{}", cells.join("  ").trim_end());
}
