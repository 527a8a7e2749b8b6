//! The two forms of output: tables for people and JSON for scripts.

use std::fmt;

use clap::ArgMatches;

/// The form of what a command prints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Output {
    /// Columns for people.
    Table,
    /// One JSON value.
    Json,
}

impl Output {
    /// Reads the option.
    pub(crate) fn read(matches: &ArgMatches) -> Self {
        match matches.get_one::<String>("output").map(String::as_str) {
            Some("json") => Self::Json,
            _ => Self::Table,
        }
    }
}

/// A table with columns as wide as their longest cell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Makes a table with a head.
    pub(crate) fn new(header: &[&str]) -> Self {
        Self {
            rows: vec![header.iter().map(|cell| (*cell).to_owned()).collect()],
        }
    }

    /// Adds a row.
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
