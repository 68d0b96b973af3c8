//! Results as rows of a CSV file or of a Markdown table.

use std::io::{self, Write};
use std::path::Path;

use mulberrycourse::decide::Class;
use serde::Serialize;

use super::{FlowResult, PolicyKind, RunResult};

/// The result of one flow or trainer in one run. The field names are the columns of the CSV
/// file.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ResultRow {
    /// The scenario.
    pub scenario: String,
    /// The deployment.
    pub deployment: String,
    /// The factor of the scaled loads.
    pub scale: f64,
    /// The policy.
    pub policy: &'static str,
    /// The seed.
    pub seed: u64,
    /// The flow or trainer.
    pub flow: String,
    /// The class of its requests.
    pub class: &'static str,
    /// Requests sent, including retries after a refusal.
    pub offered: u64,
    /// Requests answered by their deadline, per second.
    pub goodput: f64,
    /// Fraction of the requests that were answered by their deadline.
    pub answered: f64,
    /// Fraction of the capacity of the service that its answered requests used.
    pub share: f64,
    /// Median latency of the answered requests, in milliseconds.
    pub p50_ms: f64,
    /// 99% quantile of the latency, in milliseconds.
    pub p99_ms: f64,
    /// 99.9% quantile of the latency, in milliseconds.
    pub p999_ms: f64,
    /// Fraction of the requests that were refused.
    pub refused: f64,
    /// Refusals by kind, as `kind:count` separated by spaces.
    pub reasons: String,
    /// Fraction of the requests that were neither answered nor refused by their deadline.
    pub late: f64,
    /// Fraction of the capacity spent on work that did not contribute to an answer in time.
    pub wasted: f64,
    /// Attempts beyond the first, per request with at least one attempt.
    pub extra: f64,
    /// Requests sent again after the time that a refusal named.
    pub returned: u64,
    /// Fraction of the retries that were answered.
    pub kept: f64,
    /// Requests that may not be repeated but ran more than once.
    pub doubled: u64,
    /// For trainers: fraction of the measured time in which it did not train.
    pub idle: Option<f64>,
    /// For trainers: mean staleness of the samples at the start of their step, in versions.
    pub staleness: Option<f64>,
    /// For trainers: samples delivered more than once.
    pub samples_doubled: Option<u64>,
}

/// Returns the rows of a run.
pub fn result_rows(
    result: &RunResult,
    scenario: &str,
    deployment: &str,
    scale: f64,
    policy: PolicyKind,
    seed: u64,
) -> Vec<ResultRow> {
    let seconds = result.measured_time.as_secs_f64();
    let fraction = |count: u64, of: u64| count as f64 / of.max(1) as f64;
    let row = |f: &FlowResult| {
        let trainer = result.trainers.iter().find(|t| t.name == f.name);
        let refused: u64 = f.refused.values().sum();
        let reasons: Vec<String> = f.refused.iter().map(|(k, n)| format!("{k}:{n}")).collect();
        ResultRow {
            scenario: scenario.to_owned(),
            deployment: deployment.to_owned(),
            scale,
            policy: policy.as_str(),
            seed,
            flow: f.name.to_string(),
            class: f.class.as_str(),
            offered: f.offered,
            goodput: f.answered as f64 / seconds,
            answered: fraction(f.answered, f.offered),
            share: f.work / seconds / result.capacity,
            p50_ms: f.quantile_ms(0.5),
            p99_ms: f.quantile_ms(0.99),
            p999_ms: f.quantile_ms(0.999),
            refused: fraction(refused, f.offered),
            reasons: reasons.join(" "),
            late: fraction(f.timed_out, f.offered),
            wasted: f.wasted / seconds / result.capacity,
            extra: fraction(f.attempts - f.attempted, f.attempted),
            returned: f.retries,
            kept: fraction(f.retries_answered, f.retries),
            doubled: f.duplicate_runs,
            idle: trainer.map(|t| t.idle_fraction),
            staleness: trainer.map(|t| t.mean_staleness),
            samples_doubled: trainer.map(|t| t.duplicate_samples),
        }
    };
    result.flows.iter().map(row).collect()
}

/// Writes all rows as CSV.
pub fn write_csv(path: &Path, rows: &[ResultRow]) -> Result<(), csv::Error> {
    let mut writer = csv::Writer::from_path(path)?;
    for row in rows {
        writer.serialize(row)?;
    }
    writer.flush()?;
    Ok(())
}

/// Writes a Markdown table with the means over all seeds.
pub fn write_table(out: &mut dyn Write, rows: &[ResultRow]) -> io::Result<()> {
    writeln!(
        out,
        "| scenario | deployment | scale | policy | flow | goodput/s | answered | share | \
         p50 ms | p99 ms | p99.9 ms | refused | late | wasted | extra | kept | idle | stale |"
    )?;
    writeln!(out, "|{}", " --- |".repeat(18))?;
    let mut seen: Vec<&ResultRow> = Vec::new();
    for row in rows {
        if seen.iter().any(|r| same_series(r, row)) {
            continue;
        }
        seen.push(row);
        let all: Vec<&ResultRow> = rows.iter().filter(|r| same_series(r, row)).collect();
        let mean = |of: &dyn Fn(&ResultRow) -> f64| {
            all.iter().map(|r| of(r)).sum::<f64>() / all.len() as f64
        };
        let optional = |of: &dyn Fn(&ResultRow) -> Option<f64>| match of(row) {
            None => "".to_owned(),
            Some(_) => format!("{:.3}", mean(&|r| of(r).unwrap_or_default())),
        };
        let kept =
            if row.returned == 0 { String::new() } else { format!("{:.2}", mean(&|r| r.kept)) };
        writeln!(
            out,
            "| {} | {} | {} | {} | {} | {:.1} | {:.3} | {:.3} | {:.0} | {:.0} | {:.0} | {:.3} | {:.3} | \
             {:.3} | {:.3} | {kept} | {} | {} |",
            row.scenario,
            row.deployment,
            row.scale,
            row.policy,
            row.flow,
            mean(&|r| r.goodput),
            mean(&|r| r.answered),
            mean(&|r| r.share),
            mean(&|r| r.p50_ms),
            mean(&|r| r.p99_ms),
            mean(&|r| r.p999_ms),
            mean(&|r| r.refused),
            mean(&|r| r.late),
            mean(&|r| r.wasted),
            mean(&|r| r.extra),
            optional(&|r| r.idle),
            optional(&|r| r.staleness),
        )?;
    }
    Ok(())
}

/// Whether a row is that of a live flow.
pub(super) fn is_live(row: &ResultRow) -> bool {
    row.class == Class::Live.as_str()
}

/// Whether two rows differ only in their seed and their results.
fn same_series(a: &ResultRow, b: &ResultRow) -> bool {
    a.scenario == b.scenario
        && a.deployment == b.deployment
        && a.scale == b.scale
        && a.policy == b.policy
        && a.flow == b.flow
}
