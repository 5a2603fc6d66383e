//! Checks the bound on repeats against the requests that backend servers received.

use std::collections::HashMap;
use std::time::Instant;

use leverstream_platform::headers;
use leverstream_standin::origin::ReceivedRequest;

use super::CallerResult;

/// Repeats allowed to all VMs together per request, as in the site's settings.
const REPEATS_PER_REQUEST: f64 = 0.2;

/// Repeats allowed to all VMs together in addition, as in the site's settings.
const REPEATS_SLACK: f64 = 62.0;

/// The window in which repeats are bounded.
const WINDOW_MS: u64 = 10_000;

/// Returns a description of a window with more repeats than all VMs together may send, if there is one. Every arrival of a
/// request after its first is a repeat.
///
/// The bound uses the requests of the window, of the preceding one, or of that half a window earlier, whichever are most.
pub(super) fn find_excess_repeats(
    results: &[CallerResult],
    arrivals: &[ReceivedRequest],
) -> Option<String> {
    let started = results.iter().map(|result| result.sent_at).min()?;
    let at_ms = |at: Instant| at.saturating_duration_since(started).as_millis() as u64;
    let sent_ms: Vec<u64> = results.iter().map(|result| at_ms(result.sent_at)).collect();
    let mut by_id: HashMap<&str, Vec<u64>> = HashMap::new();
    for seen in arrivals {
        by_id.entry(seen.field(headers::REQUEST_ID)?).or_default().push(at_ms(seen.at));
    }
    let mut repeats_ms = Vec::new();
    for times in by_id.values_mut() {
        times.sort_unstable();
        repeats_ms.extend_from_slice(&times[1..]);
    }
    let count_in_window = |times: &[u64], from_ms: u64| {
        times.iter().filter(|at_ms| (from_ms..from_ms + WINDOW_MS).contains(at_ms)).count()
    };
    let violation = |from_ms: &u64| {
        let earlier = [0, WINDOW_MS / 2, WINDOW_MS].map(|ago_ms| from_ms.saturating_sub(ago_ms));
        let requests =
            earlier.map(|from_ms| count_in_window(&sent_ms, from_ms)).into_iter().max()?;
        let allowed = REPEATS_PER_REQUEST * requests as f64 + REPEATS_SLACK;
        let repeats = count_in_window(&repeats_ms, *from_ms);
        (repeats as f64 > allowed)
            .then(|| format!("{repeats} repeats from {from_ms} ms, {allowed:.1} allowed"))
    };
    repeats_ms.iter().find_map(violation)
}
