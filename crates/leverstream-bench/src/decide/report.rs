use std::fmt::Write;

use super::{FAULTS, Figures, POLICIES, Policy, SHAPES, Shape, run};

/// Runs the matrix with some seeds and writes its tables as Markdown.
pub fn table(seeds: u64) -> String {
    let mut out = String::new();
    for shape in &SHAPES {
        // Writing to a string cannot fail.
        let _ = writeln!(out, "## {}\n", shape.name);
        out.push_str(HEAD);
        std::thread::scope(|scope| {
            let rows = FAULTS.iter().map(|fault| {
                let all = move || {
                    let of = |policy| {
                        (1..=seeds).map(|seed| run(shape, fault, policy, seed)).collect::<Vec<_>>()
                    };
                    POLICIES.map(|policy| (policy, of(policy)))
                };
                (fault.name, scope.spawn(all))
            });
            // All are begun before the first is waited for.
            let rows: Vec<_> = rows.collect();
            for (name, row) in rows {
                let figures = row.join().expect("the model does not panic");
                out.push_str(&line(name, shape, &figures));
            }
        });
        out.push('\n');
    }
    out
}

/// The head of each table.
const HEAD: &str = "\
| fault | detection (ms) | given | false ejections | least capacity | late + failed (%) | hedges (%) | far MB \
| best baseline: detection | given | false ejections | late + failed (%) |
|---|---|---|---|---|---|---|---|---|---|---|---|
";

/// One row: the shipped policy, and the baseline with the fewest late and failed requests.
fn line(fault: &str, shape: &Shape, all: &[(Policy, Vec<Figures>)]) -> String {
    let shipped = &all[0].1;
    let missed = |figures: &[Figures]| mean(figures, Figures::missed_percent);
    let baselines = all[1..].iter();
    let best = baselines.min_by(|a, b| missed(&a.1).total_cmp(&missed(&b.1)));
    let (policy, best) = best.expect("there are baselines");
    let hedges = |run: &Figures| run.hedges as f64 / run.requests.max(1) as f64 * 100.0;
    let hedged =
        if shape.is_repeatable { format!("{:.1}", mean(shipped, hedges)) } else { "-".to_owned() };
    format!(
        "| {fault} | {} | {:.0} | {:.1} | {:.2} | {:.2} | {hedged} | {:.1} | {}: {} | {:.0} | {:.1} | {:.2} |\n",
        detection(shipped),
        mean(shipped, |run| run.given as f64),
        mean(shipped, |run| run.false_ejections as f64),
        mean(shipped, |run| run.least_capacity),
        missed(shipped),
        mean(shipped, |run| run.far_bytes as f64 / 1e6),
        policy.name(),
        detection(best),
        mean(best, |run| run.given as f64),
        mean(best, |run| run.false_ejections as f64),
        missed(best),
    )
}

/// The median and the 95th percentile of the times of detection.
fn detection(figures: &[Figures]) -> String {
    let mut all: Vec<u64> = figures.iter().flat_map(|run| run.detection_ms.clone()).collect();
    all.sort_unstable();
    let at = |part: f64| all.get(((all.len() as f64 * part) as usize).min(all.len() - 1));
    match all.is_empty() {
        true => "-".to_owned(),
        false => format!("{} / {}", at(0.5).unwrap_or(&0), at(0.95).unwrap_or(&0)),
    }
}

/// The mean of a figure.
fn mean(figures: &[Figures], of: impl Fn(&Figures) -> f64) -> f64 {
    figures.iter().map(of).sum::<f64>() / figures.len().max(1) as f64
}
