//! Checks of an overload scenario, from what callers and backend servers saw.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use leverstream_platform::headers;
use leverstream_platform::standin::KeyedWorkspace;
use leverstream_standin::origin::ReceivedRequest;

use super::Sent;
use crate::ranked::{RANKS, RankedResult, served_shares};

/// The window in which the requests of a workspace are bounded.
const ALLOTMENT_WINDOW: Duration = Duration::from_secs(5);

/// Returns the violated guarantees to callers, each with its evidence.
pub(super) fn find_violations(
    sent: &[Sent],
    arrivals: &[ReceivedRequest],
    workspaces: &[KeyedWorkspace],
) -> Vec<String> {
    let mut runs: HashMap<&str, usize> = HashMap::new();
    let mut arrival_counts: HashMap<&str, usize> = HashMap::new();
    for seen in arrivals {
        let id = seen.field(headers::REQUEST_ID).unwrap_or_default();
        *runs.entry(id).or_default() += usize::from(seen.ran);
        *arrival_counts.entry(id).or_default() += 1;
    }
    let mut violations = Vec::new();
    for Sent { result, breaks_off, .. } in sent {
        let ran = runs.get(result.id.as_str()).copied().unwrap_or(0);
        if ran > 1 && !result.is_repeatable {
            violations.push(format!("{result:?} ran {ran} times"));
        }
        if matches!(result.status, Some(408 | 421 | 429 | 503)) && ran > 0 {
            violations.push(format!("{result:?} was answered as not run, but ran"));
        }
        let arrived = arrival_counts.get(result.id.as_str()).copied().unwrap_or(0);
        if *breaks_off && arrived > 0 {
            violations.push(format!("{result:?} reached a backend server without its whole body"));
        }
        violations.extend(result.wrong_answer.clone());
    }
    violations
        .extend(workspaces.iter().filter_map(|workspace| over_allotment(workspace, arrivals)));
    violations
}

/// Returns a description of the window with the most requests of a workspace if they are more than its allotment. A request
/// counts when it reaches a backend server first.
fn over_allotment(workspace: &KeyedWorkspace, arrivals: &[ReceivedRequest]) -> Option<String> {
    if workspace.rate_per_s == 0.0 {
        return None;
    }
    let mut first_at: HashMap<&str, Instant> = HashMap::new();
    for seen in arrivals {
        if seen.field(headers::WORKSPACE) == Some(workspace.name.as_str()) {
            let at = first_at.entry(seen.field(headers::REQUEST_ID)?).or_insert(seen.at);
            *at = seen.at.min(*at);
        }
    }
    let mut times: Vec<Instant> = first_at.into_values().collect();
    times.sort_unstable();
    let count_from = |(index, from): (usize, &Instant)| {
        let within = times[index..].iter().take_while(|at| **at < *from + ALLOTMENT_WINDOW);
        (within.count(), *from)
    };
    let (most, from) = times.iter().enumerate().map(count_from).max()?;
    let nominal = workspace.rate_per_s * ALLOTMENT_WINDOW.as_secs_f64() + workspace.burst;
    let allowed = nominal * 1.1 + 20.0;
    let from_ms = (from - times[0]).as_millis();
    let what = format!("{most} requests of {} in 5 s, {allowed:.0} allowed", workspace.name);
    let by_step = counts_by_step(&times, from);
    (most as f64 > allowed).then(|| {
        format!("{what}, from {from_ms} ms after its first one, by half second {by_step:?}")
    })
}

/// Counts times in the window from a time on, in steps of half a second.
fn counts_by_step(times: &[Instant], from: Instant) -> Vec<usize> {
    const STEP: Duration = Duration::from_millis(500);
    let steps = ALLOTMENT_WINDOW.as_millis() / STEP.as_millis();
    let starts = (0..steps as u32).map(|step| from + STEP * step);
    starts
        .map(|start| times.iter().filter(|at| **at >= start && **at < start + STEP).count())
        .collect()
}

/// How much less often the most urgent rank was served than the last one while its workspace flooded, as a share of requests;
/// negative if it was served more often.
///
/// The ranks are compared within each flood, since most requests of a rank come in the floods of that rank, and a fault
/// during one of these would otherwise count against that rank alone. A flood counts by the requests that it lets compare:
/// the product of both ranks' requests, divided by their sum.
pub(super) fn urgent_lag(sent: &[Sent]) -> f64 {
    let mut floods: HashMap<usize, Vec<RankedResult>> = HashMap::new();
    for sent in sent {
        if let Some(flood) = sent.flood {
            floods.entry(flood).or_default().push(sent.result.clone());
        }
    }
    let (mut weighted_lag, mut total_weight) = (0.0, 0.0);
    for results in floods.values() {
        let count =
            |rank: usize| results.iter().filter(|result| result.rank == rank).count() as f64;
        let (urgent, last) = (count(0), count(RANKS - 1));
        if urgent > 0.0 && last > 0.0 {
            let weight = urgent * last / (urgent + last);
            let shares = served_shares(results);
            weighted_lag += weight * (shares[RANKS - 1] - shares[0]);
            total_weight += weight;
        }
    }
    weighted_lag / f64::max(total_weight, 1.0)
}
