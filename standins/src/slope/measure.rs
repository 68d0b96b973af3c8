//! Measured values, as CSV.

use std::collections::BTreeMap;
use std::io::Write;
use std::path::Path;

/// One value.
#[derive(Debug, Clone, PartialEq)]
pub struct Measure {
    /// What went on.
    pub phase: String,
    /// The size that it was measured at.
    pub size: u32,
    /// What was measured, with its unit.
    pub name: String,
    /// The value.
    pub value: f64,
}

/// The values of one mechanism.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Table {
    /// The commit that was measured.
    pub commit: String,
    /// The values, in order.
    pub rows: Vec<Measure>,
}

/// The points of one measure, by phase and name.
pub(super) type Series = BTreeMap<(String, String), Vec<(f64, f64)>>;

impl Table {
    /// Adds a value.
    pub fn add(&mut self, phase: &str, size: u32, name: impl Into<String>, value: f64) {
        let row = Measure { phase: phase.to_owned(), size, name: name.into(), value };
        self.rows.push(row);
    }

    /// The points of each measure.
    pub(super) fn series(&self) -> Series {
        let mut series = Series::new();
        for row in &self.rows {
            let key = (row.phase.clone(), row.name.clone());
            series.entry(key).or_default().push((f64::from(row.size), row.value));
        }
        series
    }

    /// Writes the table.
    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        let mut out = std::fs::File::create(path)?;
        writeln!(out, "commit,phase,size,measure,value")?;
        for Measure { phase, size, name, value } in &self.rows {
            writeln!(out, "{},{phase},{size},{name},{value:.6}", self.commit)?;
        }
        Ok(())
    }

    /// Reads a table; lines that are none are left out.
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
