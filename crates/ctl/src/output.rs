//! The output formats: tables for people and JSON for scripts.

use std::fmt;

use clap::ArgMatches;

/// The format of a command's output.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Output {
    /// Text and tables for people.
    Table,
    /// One JSON value for scripts.
    Json,
}

impl Output {
    /// Returns the format that the `--output` option selects.
    pub(crate) fn read(matches: &ArgMatches) -> Self {
        match matches.get_one::<String>("output").map(String::as_str) {
            Some("json") => Self::Json,
            _ => Self::Table,
        }
    }
}

/// A text table whose columns are as wide as their longest cell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Creates a table with a header row.
    pub(crate) fn new(header: &[&str]) -> Self {
        Self {
            rows: vec![header.iter().map(|cell| (*cell).to_owned()).collect()],
        }
    }

    /// Appends a row.
    pub(crate) fn add_row(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().collect());
    }
}

impl fmt::Display for TextTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut widths = vec![0; self.rows[0].len()];
        for row in &self.rows {
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = (*width).max(cell.chars().count());
            }
        }
        for row in &self.rows {
            let cells: Vec<String> = row
                .iter()
                .zip(&widths)
                .map(|(cell, width)| format!("{cell:width$}"))
                .collect();
            writeln!(f, "{}", cells.join("  ").trim_end())?;
        }
        Ok(())
    }
}
