//! Plots of results, as SVG.

use std::collections::BTreeMap;
use std::path::Path;

use plotters::prelude::*;

use super::ResultRow;
use super::output::is_live;

/// Width and height of a plot, in pixels.
const PLOT_SIZE_PX: (u32, u32) = (1_000, 420);

/// An error of a plotting backend.
type PlotError = Box<dyn std::error::Error + Send + Sync>;

/// Plots the fraction of live requests that were answered in time as bars, by scenario and
/// policy.
pub fn plot_goodput(path: &Path, rows: &[ResultRow]) -> Result<(), PlotError> {
    let mut bars: BTreeMap<(String, &str), (f64, f64)> = BTreeMap::new();
    for row in rows.iter().filter(|r| is_live(r)) {
        let name = format!("{} {} x{}", row.scenario, row.deployment, row.scale);
        let (answered, offered) = bars.entry((name, row.policy)).or_default();
        *answered += row.answered * row.offered as f64;
        *offered += row.offered as f64;
    }
    let root = SVGBackend::new(path, PLOT_SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let count = bars.len();
    let mut chart = ChartBuilder::on(&root)
        .caption("live requests answered by their deadline", ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(10)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..count.max(1) as f64, 0.0..1.05)?;
    chart.configure_mesh().disable_x_mesh().disable_x_axis().y_desc("part").draw()?;
    let text = ("sans-serif", 9).into_font().transform(FontTransform::Rotate270);
    for (index, ((name, policy), (answered, offered))) in bars.iter().enumerate() {
        let from = index as f64;
        let height = answered / offered.max(1.0);
        let colour = if *policy == "ours" { BLUE.mix(0.6) } else { RED.mix(0.4) };
        let bar = Rectangle::new([(from + 0.1, 0.0), (from + 0.9, height)], colour.filled());
        chart.draw_series([bar])?;
        let label = Text::new(format!("{policy} {name}"), (from + 0.3, 0.02), text.clone());
        chart.draw_series([label])?;
    }
    root.present()?;
    Ok(())
}

/// Plots the idle time of trainers against the staleness of their samples, as a line for each
/// deployment.
pub fn plot_frontier(path: &Path, rows: &[ResultRow]) -> Result<(), PlotError> {
    let mut points: BTreeMap<String, Vec<(f64, f64)>> = BTreeMap::new();
    for row in rows.iter().filter(|r| r.policy == "ours") {
        if let (Some(idle), Some(staleness)) = (row.idle, row.staleness) {
            points.entry(row.deployment.clone()).or_default().push((staleness, idle));
        }
    }
    let all = || points.values().flatten();
    let right = all().map(|p| p.0).fold(0.1, f64::max) * 1.1;
    let top = all().map(|p| p.1).fold(0.1, f64::max) * 1.1;
    let root = SVGBackend::new(path, PLOT_SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption("idle time of trainers against staleness", ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart.configure_mesh().x_desc("mean staleness, versions").y_desc("idle part").draw()?;
    for (index, (name, mut series)) in points.into_iter().enumerate() {
        series.sort_by(|a, b| a.0.total_cmp(&b.0));
        let colour = Palette99::pick(index).to_rgba();
        chart.draw_series(LineSeries::new(series.clone(), colour))?;
        chart.draw_series(series.iter().map(|p| Circle::new(*p, 3, colour.filled())))?;
        if let Some(last) = series.last() {
            chart.draw_series([Text::new(name, *last, ("sans-serif", 12))])?;
        }
    }
    root.present()?;
    Ok(())
}
