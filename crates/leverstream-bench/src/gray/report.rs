//! Runs the matrix and reports it as tables and plots.

use std::fmt::Write;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};

use plotters::prelude::{
    BLUE, ChartBuilder, Circle, IntoDrawingArea, IntoLogRange, RED, SVGBackend, WHITE,
};
use plotters::style::Color;

use super::POLICIES;
use super::cell::FAULTS;
use super::deployment::DEPLOYMENTS;
use super::driver::{Policy, run};
use super::figures::Figures;

/// The figures of one cell of the matrix over all seeds.
#[derive(Clone, Debug)]
pub struct Summary {
    /// Index in [`DEPLOYMENTS`].
    pub deployment: usize,
    /// Index in [`FAULTS`].
    pub fault: usize,
    /// Index in the list of policies.
    pub policy: usize,
    /// The figures for each seed.
    pub figures: Vec<Figures>,
}

impl Summary {
    /// Returns the median and the maximum of a figure, for figures where higher is worse.
    fn median_and_worst(&self, figure: impl Fn(&Figures) -> Option<f64>) -> Option<(f64, f64)> {
        let mut values: Vec<f64> = self.figures.iter().filter_map(figure).collect();
        values.sort_unstable_by(f64::total_cmp);
        Some((*values.get(values.len() / 2)?, *values.last()?))
    }
}

/// Runs the whole matrix on `threads` threads.
pub fn matrix(seeds: u64, threads: usize, policies: &[Policy]) -> Vec<Summary> {
    let mut cells: Vec<(usize, usize, usize)> = Vec::new();
    for deployment in 0..DEPLOYMENTS.len() {
        for fault in 0..FAULTS.len() {
            cells.extend((0..policies.len()).map(|policy| (deployment, fault, policy)));
        }
    }
    let next = AtomicUsize::new(0);
    let run_cells = || {
        let mut done = Vec::new();
        while let Some((deployment, fault, policy)) =
            cells.get(next.fetch_add(1, Ordering::Relaxed)).copied()
        {
            let figures = (1..=seeds)
                .map(|seed| run(&DEPLOYMENTS[deployment], &FAULTS[fault], policies[policy], seed))
                .collect();
            done.push(Summary { deployment, fault, policy, figures });
        }
        done
    };
    let mut summaries: Vec<Summary> = std::thread::scope(|scope| {
        let workers: Vec<_> = (0..threads).map(|_| scope.spawn(run_cells)).collect();
        workers.into_iter().flat_map(|worker| worker.join().unwrap_or_default()).collect()
    });
    summaries.sort_by_key(|cell| (cell.deployment, cell.fault, cell.policy));
    summaries
}

/// Returns Markdown tables with the median and the worst value of each figure.
pub fn tables(summaries: &[Summary], policies: &[Policy]) -> String {
    let mut text = String::new();
    for (index, deployment) in DEPLOYMENTS.iter().enumerate() {
        let _ = writeln!(text, "\n### {}\n", deployment.name);
        text.push_str("| fault | policy | detection (ms) | given | false ejections | ");
        text.push_str("least capacity | late (%) | failed (%) | probes (%) |\n");
        text.push_str("|---|---|---|---|---|---|---|---|---|\n");
        for cell in summaries.iter().filter(|cell| cell.deployment == index) {
            write_row(&mut text, cell, policies);
        }
    }
    text
}

/// Writes one row of a table.
fn write_row(text: &mut String, cell: &Summary, policies: &[Policy]) {
    let pair = |spread: Option<(f64, f64)>, digits: usize| match spread {
        Some((median, worst)) => format!("{median:.digits$} / {worst:.digits$}"),
        None => "-".to_owned(),
    };
    let breaks = cell.figures.iter().any(|figures| figures.is_floor_broken);
    let capacity =
        cell.median_and_worst(|f| Some(-f.min_capacity)).map(|(median, worst)| (-median, -worst));
    let _ = writeln!(
        text,
        "| {} | {} | {} | {} | {} | {}{} | {} | {} | {} |",
        FAULTS[cell.fault].name,
        policies[cell.policy].name,
        pair(cell.median_and_worst(|f| f.detection_ms), 0),
        pair(cell.median_and_worst(|f| Some(f.sent_to_sick)), 0),
        pair(cell.median_and_worst(|f| Some(f.false_ejections)), 0),
        pair(capacity, 2),
        if breaks { " BROKEN" } else { "" },
        pair(cell.median_and_worst(|f| Some(f.late_percent)), 2),
        pair(cell.median_and_worst(|f| Some(f.failed_percent)), 2),
        pair(cell.median_and_worst(|f| Some(f.probe_percent)), 2),
    );
}

/// Plots the late and failed requests of leverstream and of the best baseline for each fault.
pub fn plot(summaries: &[Summary], deployment: usize, file: &Path) -> Result<(), String> {
    let missed_percent = |fault: usize, policy: usize| {
        let cell = summaries
            .iter()
            .find(|cell| (cell.deployment, cell.fault, cell.policy) == (deployment, fault, policy));
        let spread =
            cell.and_then(|c| c.median_and_worst(|f| Some(f.late_percent + f.failed_percent)));
        spread.map_or(0.0, |(median, _)| median) + 0.01
    };
    let to_text = |error: &dyn std::fmt::Display| error.to_string();
    let root = SVGBackend::new(file, (960, 480)).into_drawing_area();
    root.fill(&WHITE).map_err(|error| to_text(&error))?;
    let count = FAULTS.len() as f64;
    let mut chart = ChartBuilder::on(&root)
        .caption(
            format!("{}: late or failed requests, % (+0.01)", DEPLOYMENTS[deployment].name),
            ("sans-serif", 18),
        )
        .margin(12)
        .x_label_area_size(28)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..count, (0.01..120.0).log_scale())
        .map_err(|error| to_text(&error))?;
    chart
        .configure_mesh()
        .x_desc("fault, in the order of the tables (blue: leverstream, red: best baseline)")
        .draw()
        .map_err(|error| to_text(&error))?;
    for fault in 0..FAULTS.len() {
        let best = (2..POLICIES.len())
            .map(|policy| missed_percent(fault, policy))
            .fold(f64::MAX, f64::min);
        let x = fault as f64 + 0.5;
        let points = [(best, RED.filled()), (missed_percent(fault, 0), BLUE.filled())];
        chart
            .draw_series(points.into_iter().map(|(y, style)| Circle::new((x, y), 5, style)))
            .map_err(|error| to_text(&error))?;
    }
    root.present().map_err(|error| to_text(&error))
}
