//! Results as rows: CSV for programs, a table for people.

use std::io::{self, Write};
use std::path::Path;

use mulberrycourse::decide::Class;
use serde::Serialize;

use super::{FlowResult, PolicyKind, RunResult};

/// What one caller or trainer received in one run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Row {
    /// The scenario.
    pub scenario: String,
    /// The deployment.
    pub deployment: String,
    /// The multiple of the loads.
    pub scale: f64,
    /// The policy.
    pub policy: &'static str,
    /// The seed.
    pub seed: u64,
    /// The caller or trainer.
    pub flow: String,
    /// Its class.
    pub class: &'static str,
    /// Requests sent.
    pub offered: u64,
    /// Answers a second, by the deadline.
    pub goodput: f64,
    /// Part of the requests that were answered by the deadline.
    pub answered: f64,
    /// Part of the service's capacity that its answers are worth.
    pub share: f64,
    /// Latency quantiles of the answers, in milliseconds.
    pub p50_ms: f64,
    /// 99%.
    pub p99_ms: f64,
    /// 99.9%.
    pub p999_ms: f64,
    /// Part of the requests that were refused.
    pub refused: f64,
    /// Refusals by kind.
    pub reasons: String,
    /// Part of the requests with neither answer nor refusal at the deadline.
    pub late: f64,
    /// Part of the capacity spent on what was not answered in time.
    pub wasted: f64,
    /// Attempts beyond the first, for each request that was tried.
    pub extra: f64,
    /// Requests that came back when told to.
    pub returned: u64,
    /// Part of those that were answered.
    pub kept: f64,
    /// Requests that may not be repeated, and ran more than once.
    pub doubled: u64,
    /// For trainers: part of the time that it did not train.
    pub idle: Option<f64>,
    /// For trainers: mean staleness of its samples, in versions.
    pub staleness: Option<f64>,
    /// For trainers: samples handed over twice.
    pub samples_doubled: Option<u64>,
}

/// The rows of a run.
pub fn rows(
    result: &RunResult,
    scenario: &str,
    deployment: &str,
    scale: f64,
    policy: PolicyKind,
    seed: u64,
) -> Vec<Row> {
    let seconds = result.counted.as_secs_f64();
    let part = |count: u64, of: u64| count as f64 / of.max(1) as f64;
    let row = |f: &FlowResult| {
        let trainer = result.trainers.iter().find(|t| t.name == f.name);
        let refused: u64 = f.refused.values().sum();
        let reasons: Vec<String> = f.refused.iter().map(|(k, n)| format!("{k}:{n}")).collect();
        Row {
            scenario: scenario.to_owned(),
            deployment: deployment.to_owned(),
            scale,
            policy: policy.as_str(),
            seed,
            flow: f.name.to_string(),
            class: f.class.as_str(),
            offered: f.offered,
            goodput: f.answered as f64 / seconds,
            answered: part(f.answered, f.offered),
            share: f.work / seconds / result.capacity,
            p50_ms: f.quantile(0.5),
            p99_ms: f.quantile(0.99),
            p999_ms: f.quantile(0.999),
            refused: part(refused, f.offered),
            reasons: reasons.join(" "),
            late: part(f.late, f.offered),
            wasted: f.wasted / seconds / result.capacity,
            extra: part(f.attempts - f.tried, f.tried),
            returned: f.returned,
            kept: part(f.kept, f.returned),
            doubled: f.doubled,
            idle: trainer.map(|t| t.idle),
            staleness: trainer.map(|t| t.staleness),
            samples_doubled: trainer.map(|t| t.doubled),
        }
    };
    result.flows.iter().map(row).collect()
}

/// Writes all rows.
pub fn write_csv(path: &Path, rows: &[Row]) -> Result<(), csv::Error> {
    let mut writer = csv::Writer::from_path(path)?;
    for row in rows {
        writer.serialize(row)?;
    }
    writer.flush()?;
    Ok(())
}

/// Writes a Markdown table with the means over seeds.
pub fn write_table(out: &mut dyn Write, rows: &[Row]) -> io::Result<()> {
    writeln!(
        out,
        "| scenario | deployment | scale | policy | flow | goodput/s | answered | share | \
         p50 ms | p99 ms | p99.9 ms | refused | late | wasted | extra | kept | idle | stale |"
    )?;
    writeln!(out, "|{}", " --- |".repeat(18))?;
    let mut seen: Vec<&Row> = Vec::new();
    for row in rows {
        if seen.iter().any(|r| same(r, row)) {
            continue;
        }
        seen.push(row);
        let all: Vec<&Row> = rows.iter().filter(|r| same(r, row)).collect();
        let mean =
            |of: &dyn Fn(&Row) -> f64| all.iter().map(|r| of(r)).sum::<f64>() / all.len() as f64;
        let optional = |of: &dyn Fn(&Row) -> Option<f64>| match of(row) {
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

/// The class whose answers a plot shows first.
pub(super) fn live(row: &Row) -> bool {
    row.class == Class::Live.as_str()
}

fn same(a: &Row, b: &Row) -> bool {
    a.scenario == b.scenario
        && a.deployment == b.deployment
        && a.scale == b.scale
        && a.policy == b.policy
        && a.flow == b.flow
}
