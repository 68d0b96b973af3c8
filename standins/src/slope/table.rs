//! Tables of measured values, stored as CSV.

use std::collections::BTreeMap;
use std::io::Write;
use std::path::Path;

/// One measured value.
#[derive(Debug, Clone, PartialEq)]
pub struct Measurement {
    /// What the system did during the measurement.
    pub phase: String,
    /// The size at which it was measured.
    pub size: u32,
    /// What was measured, with the unit.
    pub name: String,
    /// The value.
    pub value: f64,
}

/// The measured values of one mechanism.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Table {
    /// The commit that was measured.
    pub commit: String,
    /// The values, in order.
    pub rows: Vec<Measurement>,
}

/// The points (size, value) of each measure, by phase and name.
pub(super) type Series = BTreeMap<(String, String), Vec<(f64, f64)>>;

impl Table {
    /// Adds a value.
    pub fn add(&mut self, phase: &str, size: u32, name: impl Into<String>, value: f64) {
        let row = Measurement { phase: phase.to_owned(), size, name: name.into(), value };
        self.rows.push(row);
    }

    /// Groups the values by measure.
    pub(super) fn series(&self) -> Series {
        let mut series = Series::new();
        for row in &self.rows {
            let key = (row.phase.clone(), row.name.clone());
            series.entry(key).or_default().push((f64::from(row.size), row.value));
        }
        series
    }

    /// Writes the table to a CSV file.
    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        let mut out = std::fs::File::create(path)?;
        writeln!(out, "commit,phase,size,measure,value")?;
        for Measurement { phase, size, name, value } in &self.rows {
            writeln!(out, "{},{phase},{size},{name},{value:.6}", self.commit)?;
        }
        Ok(())
    }

    /// Reads a table from a CSV file. Malformed lines are skipped.
    pub fn read(path: &Path) -> std::io::Result<Self> {
        let text = std::fs::read_to_string(path)?;
        let mut table = Self::default();
        for line in text.lines().skip(1) {
            let fields: Vec<&str> = line.split(',').collect();
            let [commit, phase, size, name, value] = fields[..] else { continue };
            let (Ok(size), Ok(value)) = (size.parse(), value.parse()) else { continue };
            table.commit = commit.to_owned();
            table.add(phase, size, name, value);
        }
        Ok(table)
    }
}
