//! Markdown tables of the matrix of services, faults and policies.

use std::fmt::Write;

use super::{FAULTS, Figures, POLICIES, Policy, SERVICES, Service, run};

/// Runs the matrix with the seeds 1 to `seeds` and returns its Markdown tables.
pub fn table(seeds: u64) -> String {
    let mut out = String::new();
    for service in &SERVICES {
        // Writing to a string cannot fail.
        let _ = writeln!(out, "## {}\n", service.name);
        out.push_str(TABLE_HEADER);
        std::thread::scope(|scope| {
            let rows = FAULTS.iter().map(|fault| {
                let run_policies = move || {
                    let run_seeds = |policy| {
                        (1..=seeds)
                            .map(|seed| run(service, fault, policy, seed))
                            .collect::<Vec<_>>()
                    };
                    POLICIES.map(|policy| (policy, run_seeds(policy)))
                };
                (fault.name, scope.spawn(run_policies))
            });
            // Collecting starts all threads before the first one is joined.
            let rows: Vec<_> = rows.collect();
            for (name, row) in rows {
                let figures = row.join().expect("the model does not panic");
                out.push_str(&row_text(name, service, &figures));
            }
        });
        out.push('\n');
    }
    out
}

/// The header of each table.
const TABLE_HEADER: &str = "\
| fault | detection (ms) | given | false ejections | least capacity | late + failed (%) | hedges (%) | far MB \
| best baseline: detection | given | false ejections | late + failed (%) |
|---|---|---|---|---|---|---|---|---|---|---|---|
";

/// Returns one row: the shipped policy, and the baseline with the fewest late and failed requests.
fn row_text(fault: &str, service: &Service, all: &[(Policy, Vec<Figures>)]) -> String {
    let shipped = &all[0].1;
    let missed = |figures: &[Figures]| mean(figures, Figures::missed_percent);
    let baselines = all[1..].iter();
    let best = baselines.min_by(|a, b| missed(&a.1).total_cmp(&missed(&b.1)));
    let (policy, best) = best.expect("there are baselines");
    let hedges = |run: &Figures| run.hedges as f64 / run.requests.max(1) as f64 * 100.0;
    let hedged = if service.is_repeatable {
        format!("{:.1}", mean(shipped, hedges))
    } else {
        "-".to_owned()
    };
    format!(
        "| {fault} | {} | {:.0} | {:.1} | {:.2} | {:.2} | {hedged} | {:.1} | {}: {} | {:.0} | {:.1} | {:.2} |\n",
        detection(shipped),
        mean(shipped, |run| run.sent_to_sick as f64),
        mean(shipped, |run| run.false_ejections as f64),
        mean(shipped, |run| run.min_capacity),
        missed(shipped),
        mean(shipped, |run| run.far_bytes as f64 / 1e6),
        policy.name(),
        detection(best),
        mean(best, |run| run.sent_to_sick as f64),
        mean(best, |run| run.false_ejections as f64),
        missed(best),
    )
}

/// Returns the median and the 95th percentile of the detection times.
fn detection(figures: &[Figures]) -> String {
    let mut all: Vec<u64> = figures.iter().flat_map(|run| run.detection_ms.clone()).collect();
    all.sort_unstable();
    let at = |quantile: f64| all.get(((all.len() as f64 * quantile) as usize).min(all.len() - 1));
    match all.is_empty() {
        true => "-".to_owned(),
        false => format!("{} / {}", at(0.5).unwrap_or(&0), at(0.95).unwrap_or(&0)),
    }
}

/// Returns the mean of a figure over all runs.
fn mean(figures: &[Figures], of: impl Fn(&Figures) -> f64) -> f64 {
    figures.iter().map(of).sum::<f64>() / figures.len().max(1) as f64
}
