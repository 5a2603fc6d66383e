//! What arrivals at backend servers say of the bound on repeats.

use std::collections::HashMap;
use std::time::Instant;

use leverstream_platform::headers;
use leverstream_standin::origin::ReceivedRequest;

use super::Got;

/// What all VMs together may repeat, as the site's settings have it: for each request, and besides.
const REPEATS_A_REQUEST: f64 = 0.2;
const REPEATS_BESIDES: f64 = 62.0;

/// In which window, in milliseconds.
const WINDOW_MS: u64 = 10_000;

/// A window with more arrivals beyond the first of their request than all VMs together may make, if there is one.
///
/// Requests count from the window, from the one before it or from the one half a window earlier.
pub(super) fn excess(got: &[Got], arrivals: &[ReceivedRequest]) -> Option<String> {
    let began = got.iter().map(|got| got.sent).min()?;
    let at_ms = |at: Instant| at.saturating_duration_since(began).as_millis() as u64;
    let sent_ms: Vec<u64> = got.iter().map(|got| at_ms(got.sent)).collect();
    let mut by_id: HashMap<&str, Vec<u64>> = HashMap::new();
    for seen in arrivals {
        by_id.entry(seen.field(headers::REQUEST_ID)?).or_default().push(at_ms(seen.at));
    }
    let mut repeats_ms = Vec::new();
    for times in by_id.values_mut() {
        times.sort_unstable();
        repeats_ms.extend_from_slice(&times[1..]);
    }
    let within = |times: &[u64], from_ms: u64| {
        times.iter().filter(|at_ms| (from_ms..from_ms + WINDOW_MS).contains(at_ms)).count()
    };
    let over = |from_ms: &u64| {
        let earlier = [0, WINDOW_MS / 2, WINDOW_MS].map(|ago_ms| from_ms.saturating_sub(ago_ms));
        let requests = earlier.map(|from_ms| within(&sent_ms, from_ms)).into_iter().max()?;
        let allowed = REPEATS_A_REQUEST * requests as f64 + REPEATS_BESIDES;
        let repeats = within(&repeats_ms, *from_ms);
        (repeats as f64 > allowed)
            .then(|| format!("{repeats} repeats from {from_ms} ms, {allowed:.1} allowed"))
    };
    repeats_ms.iter().find_map(over)
}
