//! Writes measured tables into a Markdown page, between markers.

use std::path::Path;

use super::{Fit, Table};

/// Start of the marker before a table; the mechanism, the phase and the target size follow.
const TABLE_START: &str = "<!-- slope ";
/// The marker after a table.
const TABLE_END: &str = "<!-- end -->";

/// Why a page could not be written.
#[derive(Debug, thiserror::Error)]
pub enum PageError {
    /// A file cannot be read or written.
    #[error("{0}: {1}")]
    File(String, std::io::Error),
    /// A marker is malformed, or the marker after its table is missing.
    #[error(
        "marker {0:?}: expected {TABLE_START}MECHANISM PHASE TARGET -->, and {TABLE_END} after it"
    )]
    Marker(String),
}

/// Replaces each table of a page by one made from the CSV files in `folder`.
pub fn refresh_page(page: &Path, folder: &Path) -> Result<(), PageError> {
    let fail = |path: &Path| {
        let path = path.display().to_string();
        move |e| PageError::File(path, e)
    };
    let text = std::fs::read_to_string(page).map_err(fail(page))?;
    let mut out = String::new();
    let mut rest = text.as_str();
    while let Some((before, after)) = rest.split_once(TABLE_START) {
        let malformed = || PageError::Marker(after.lines().next().unwrap_or_default().to_owned());
        let (marker, body) = after.split_once(" -->").ok_or_else(malformed)?;
        let (_, tail) = body.split_once(TABLE_END).ok_or_else(malformed)?;
        let words: Vec<&str> = marker.split(' ').collect();
        let [mechanism, phase, target] = words[..] else { return Err(malformed()) };
        let target: f64 = target.parse().map_err(|_| malformed())?;
        let path = folder.join(format!("{mechanism}.csv"));
        let table = Table::read(&path).map_err(fail(&path))?;
        let table = render_table(&table, mechanism, phase, target);
        out.push_str(&format!("{before}{TABLE_START}{marker} -->\n{table}{TABLE_END}"));
        rest = tail;
    }
    out.push_str(rest);
    std::fs::write(page, out).map_err(fail(page))
}

/// Renders the measures of a phase as a Markdown table, with the extrapolation to `target`.
fn render_table(table: &Table, mechanism: &str, phase: &str, target: f64) -> String {
    let series = table.series();
    let of_phase = series.iter().filter(|((p, _), _)| p == phase);
    let mut sizes: Vec<u32> =
        table.rows.iter().filter(|r| r.phase == phase).map(|r| r.size).collect();
    sizes.sort_unstable();
    sizes.dedup();
    let heads: Vec<String> = sizes.iter().map(|s| format!("at {s}")).collect();
    let mut out = format!(
        "`slope {mechanism}` at commit {}\n\n| measure | {} | law | slope | error | at {target}, \
         extrapolated |\n|{}\n",
        table.commit,
        heads.join(" | "),
        " --- |".repeat(sizes.len() + 5),
    );
    let mut zero = Vec::new();
    for ((_, name), points) in of_phase {
        if points.iter().all(|p| p.1 == 0.0) {
            zero.push(name.as_str());
            continue;
        }
        let cell = |size: &u32| {
            let found = points.iter().find(|p| p.0 == f64::from(*size));
            found.map_or("-".to_owned(), |p| three_digits(p.1))
        };
        let cells: Vec<String> = sizes.iter().map(cell).collect();
        let (law, slope, error, at) = match Fit::from_points(points) {
            None => ("-", "-".to_owned(), "-".to_owned(), "-".to_owned()),
            Some(fit) => (
                fit.law.as_str(),
                three_digits(fit.slope),
                format!("{:.0}%", fit.relative_error * 100.0),
                three_digits(fit.cost_at(target)),
            ),
        };
        let cells = cells.join(" | ");
        out.push_str(&format!("| {name} | {cells} | {law} | {slope} | {error} | {at} |\n"));
    }
    if !zero.is_empty() {
        out.push_str(&format!("\n0 at every size: {}.\n", zero.join("; ")));
    }
    out
}

/// Formats a number with three significant digits.
fn three_digits(value: f64) -> String {
    if value == 0.0 {
        return "0".to_owned();
    }
    let digits = 2 - value.abs().log10().floor() as i32;
    if digits <= 0 { format!("{value:.0}") } else { format!("{value:.*}", digits.min(6) as usize) }
}
