//! Output as tables, coloured text and JSON.

use std::io::IsTerminal;

use comfy_table::{ColumnConstraint, ContentArrangement, Table, presets};
use serde::Serialize;

/// The width of tables if neither a terminal nor `COLUMNS` gives one, in columns.
pub const DEFAULT_WIDTH: u16 = 100;
/// The narrowest table, in columns.
const MIN_WIDTH: u16 = 40;

/// The meaning of a coloured text on a terminal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tone {
    /// No problem was found.
    Good,
    /// A problem that an operator should look at.
    Bad,
    /// A command to run next.
    Next,
}

impl Tone {
    /// Returns the ANSI code of the colour.
    const fn code(self) -> u8 {
        match self {
            Self::Good => 32,
            Self::Bad => 31,
            Self::Next => 36,
        }
    }
}

/// Colours `text` if `colours` is true.
pub fn paint(text: &str, tone: Tone, colours: bool) -> String {
    if colours { format!("\u{1b}[{}m{text}\u{1b}[0m", tone.code()) } else { text.to_owned() }
}

/// Returns whether standard output is a terminal and `NO_COLOR` is not set.
pub fn wants_colours() -> bool {
    std::io::stdout().is_terminal() && std::env::var_os("NO_COLOR").is_none()
}

/// Returns the width of the terminal, else `COLUMNS`, else [`DEFAULT_WIDTH`]; at least
/// `MIN_WIDTH` columns.
pub fn table_width() -> u16 {
    let terminal = std::io::stdout().is_terminal().then(|| Table::new().width()).flatten();
    let columns = || std::env::var("COLUMNS").ok()?.parse().ok();
    terminal.or_else(columns).unwrap_or(DEFAULT_WIDTH).max(MIN_WIDTH)
}

/// Renders a table of at most `width` columns.
pub fn render_table(headers: &[&str], rows: Vec<Vec<String>>, width: u16) -> String {
    let mut table = Table::new();
    table
        .load_style(presets::NOTHING)
        .set_content_arrangement(ContentArrangement::Dynamic)
        .set_width(width)
        .set_header(headers.to_vec());
    for row in rows {
        table.add_row(row.iter().map(|cell| clean_text(cell)).collect::<Vec<_>>());
    }
    // The first column names the row; it is not wrapped if it takes at most a third of the width.
    let names_fit =
        table.column_max_content_widths().first().is_some_and(|most| *most <= width / 3);
    if names_fit && let Some(column) = table.column_mut(0) {
        column.set_constraint(ColumnConstraint::ContentWidth);
    }
    table.trim_fmt()
}

/// Replaces control characters, so that text from other sources cannot send terminal escape
/// sequences.
pub fn clean_text(text: &str) -> String {
    text.chars().map(|c| if c.is_control() { '\u{fffd}' } else { c }).collect()
}

/// Prints a table that fits the terminal.
pub fn print_table(headers: &[&str], rows: Vec<Vec<String>>) {
    println!("{}", render_table(headers, rows, table_width()));
}

/// Prints a value as JSON.
pub fn print_json<T: Serialize>(value: &T) {
    // Encoding cannot fail: maps of this crate have only string keys.
    println!("{}", serde_json::to_string_pretty(value).unwrap_or_default());
}

/// Returns the value as text, or `?` if there is none.
pub fn or_unknown<T: ToString>(value: Option<T>) -> String {
    value.map_or_else(|| "?".to_owned(), |value| value.to_string())
}
