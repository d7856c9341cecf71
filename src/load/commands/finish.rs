//! What every subcommand with a report does at its end.

use std::fs;
use std::path::Path;

use crate::errors::LoadError;
use crate::load::Outcomes;
use crate::load::Report;
use crate::load::cli::EXIT_OK;
use crate::load::cli::EXIT_UNMET;
use crate::load::draw_plot;
use crate::load::render_table;

/// Prints the table, writes the files that were asked for, and checks the stated outcomes.
///
/// # Errors
/// When a file cannot be read or written.
pub fn finish(
    report: &Report,
    json: Option<&Path>,
    plot: Option<&Path>,
    outcomes: Option<&Outcomes>,
) -> Result<u8, LoadError> {
    print!("{}", render_table(report));
    if let Some(path) = json {
        write_json(report, path)?;
    }
    if let Some(path) = plot {
        draw_plot(report, path)?;
    }
    let Some(outcomes) = outcomes else {
        return Ok(EXIT_OK);
    };
    let unmet = outcomes.unmet(report);
    for unmet in &unmet {
        println!("unmet: {unmet}");
    }
    if unmet.is_empty() {
        println!("outcomes: all met");
        return Ok(EXIT_OK);
    }
    Ok(EXIT_UNMET)
}

fn write_json(report: &Report, path: &Path) -> Result<(), LoadError> {
    let text = serde_json::to_string_pretty(report).expect("plain structs always encode");
    fs::write(path, text).map_err(|source| LoadError::write(path, source))
}
