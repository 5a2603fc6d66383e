//! Sends requests to all VMs at a steady rate and evaluates which of them reached the backend servers.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use actix_rt::task::JoinHandle;
use leverstream_platform::headers;
use leverstream_standin::origin::{Origin, ReceivedRequest};

use crate::site::{Call, NON_REPEATABLE, REPEATABLE, Site, send};

/// The interval between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);

/// How long after a rejection a VM may still send requests that were in flight.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);

/// A steady flow of requests to all VMs in turn; repeatable and non-repeatable requests alternate by round.
#[derive(Default)]
pub struct Flow {
    /// The index of the VM that each request was sent to, by request id.
    vms: HashMap<String, usize>,
    /// The results of the requests.
    answers: Vec<JoinHandle<CallResult>>,
}

/// The result of a request of a flow.
#[derive(Clone, Copy, Debug)]
pub struct CallResult {
    /// The HTTP status; `None` without a complete answer.
    pub status: Option<u16>,
    /// The value of the retry-after field, in seconds.
    pub retry_after_s: Option<f64>,
    /// When the request was sent.
    pub sent_at: Instant,
    /// The time until the answer or the failure.
    pub took: Duration,
}

impl Flow {
    /// Sends requests for a duration, without waiting for their answers.
    pub async fn run(&mut self, site: &Site, duration: Duration) {
        let until = Instant::now() + duration;
        while Instant::now() < until {
            let number = self.vms.len();
            let vm = number % site.vms.len();
            let path = if (number / site.vms.len()).is_multiple_of(2) {
                REPEATABLE
            } else {
                NON_REPEATABLE
            };
            let call = Call::new(&format!("{path}flow-{number}"));
            let to = site.vms[vm].callers();
            self.vms.insert(call.id.clone(), vm);
            self.answers.push(actix_rt::spawn(async move { send_call(to, &call).await }));
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
    }

    /// Waits for the results of all requests sent since the last call.
    pub async fn answers(&mut self) -> Vec<CallResult> {
        let mut answers = Vec::new();
        for answer in std::mem::take(&mut self.answers) {
            answers.push(answer.await.expect("the task of a request doesn't panic"));
        }
        answers
    }

    /// Returns the requests of the flow that a backend server received from a moment on, in order, each with its VM.
    pub fn arrivals(&self, origin: &Origin, from: Instant) -> Vec<(usize, ReceivedRequest)> {
        let seen = origin.requests().into_iter().filter(|seen| seen.at >= from);
        let of_flow = seen.filter_map(|seen| {
            let vm = *self.vms.get(seen.field(headers::REQUEST_ID)?)?;
            Some((vm, seen))
        });
        of_flow.collect()
    }
}

/// Returns the share of requests answered with status 200.
pub fn served_share(answers: &[CallResult]) -> f64 {
    let served = answers.iter().filter(|answer| answer.status == Some(200)).count();
    served as f64 / answers.len() as f64
}

/// Returns the longest time, over all VMs, from a backend server's first leaving notice to a VM until the VM's last request to it.
pub fn longest_after_leaving_notice(arrivals: &[(usize, ReceivedRequest)]) -> Duration {
    let mut first_notices: HashMap<usize, Instant> = HashMap::new();
    let mut longest = Duration::ZERO;
    for (vm, seen) in arrivals {
        if let Some(first_notice) = first_notices.get(vm) {
            longest = longest.max(seen.at - *first_notice);
        } else if notice_value(seen, headers::LEAVING).is_some() {
            first_notices.insert(*vm, seen.at);
        }
    }
    longest
}

/// Returns the most requests that one VM sent during a hold-off time named in a rejection, from `IN_FLIGHT_TIME` after the
/// rejection on. `is_excused` returns whether a fault affected a VM between two moments.
pub fn max_during_hold_off(
    arrivals: &[(usize, ReceivedRequest)],
    is_excused: impl Fn(usize, Instant, Instant) -> bool,
) -> usize {
    let sent_during_hold_off = |(number, (vm, rejection)): (usize, &(usize, ReceivedRequest))| {
        let Some(seconds) =
            notice_value(rejection, headers::RETRY_AFTER).filter(|_| !rejection.ran)
        else {
            return 0;
        };
        let (from, to) =
            (rejection.at + IN_FLIGHT_TIME, rejection.at + Duration::from_secs_f64(seconds));
        let later = arrivals[number..].iter().filter(|(other, _)| other == vm);
        let inside = later.filter(|(_, seen)| from < seen.at && seen.at < to);
        inside.filter(|(_, seen)| !is_excused(*vm, rejection.at, seen.at)).count()
    };
    arrivals.iter().enumerate().map(sent_during_hold_off).max().unwrap_or(0)
}

/// The window over which requests to a backend server with a limit are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// The tolerated multiple of the limit in a window, and the number of requests tolerated in addition.
const LIMIT_ALLOWANCE: (f64, f64) = (1.5, 5.0);

/// How long after a backend server's first limit notice the limit is enforced by the check.
const LIMIT_LEARN_TIME: Duration = Duration::from_secs(3);

/// How much of its limit a backend server received.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitUsage {
    /// The most requests in a window, as a share of those allowed by the limits named in the window.
    pub max_window_share: f64,
    /// Requests received as a share of those that its limits allow, from `LIMIT_LEARN_TIME` on.
    pub total_share: f64,
}

/// Measures the requests that a backend server received from all VMs, informed of the limit or not, while its answers named a
/// limit. `is_excused` returns whether a fault affected a VM around a moment.
///
/// The limit at a moment is that of the last arrival before it; if it changed within a window, the largest applies.
pub fn limit_usage(
    arrivals: &[(usize, ReceivedRequest)],
    is_excused: impl Fn(usize, Instant) -> bool,
) -> LimitUsage {
    let limit = |seen: &ReceivedRequest| notice_value(seen, headers::RATE_LIMIT);
    let Some(first) = arrivals.iter().position(|(_, seen)| limit(seen).is_some()) else {
        return LimitUsage::default();
    };
    let counts_from = arrivals[first].1.at + LIMIT_LEARN_TIME;
    let mut max_window_share: f64 = 0.0;
    let mut total_allowed = 0.0;
    for (number, (_, seen)) in arrivals.iter().enumerate() {
        let Some(per_s) = limit(seen).filter(|_| seen.at >= counts_from) else { continue };
        let until = arrivals.get(number + 1).map_or(seen.at, |(_, next)| next.at);
        total_allowed += per_s * (until - seen.at).as_secs_f64();
        let from = counts_from.max(seen.at.checked_sub(LIMIT_WINDOW).unwrap_or(counts_from));
        let in_window = arrivals[..=number].iter().filter(|(_, other)| other.at > from);
        let in_window: Vec<&(usize, ReceivedRequest)> = in_window.collect();
        // The bound is undefined if the server named no limit for a part of the window.
        let limits: Option<Vec<f64>> = in_window.iter().map(|(_, other)| limit(other)).collect();
        let Some(limits) = limits else { continue };
        let max_per_s = limits.into_iter().fold(per_s, f64::max);
        let counted = in_window.iter().filter(|(vm, other)| !is_excused(*vm, other.at)).count();
        let (factor, slack) = LIMIT_ALLOWANCE;
        let allowed = factor * max_per_s * LIMIT_WINDOW.as_secs_f64() + slack;
        max_window_share = max_window_share.max(counted as f64 / allowed);
    }
    let counted = arrivals.iter().filter(|(_, seen)| seen.at >= counts_from);
    let with_limit = counted.filter(|(_, seen)| limit(seen).is_some()).count();
    LimitUsage { max_window_share, total_share: with_limit as f64 / f64::max(total_allowed, 1.0) }
}

/// Returns the number that a backend server's answer had in a notice field.
fn notice_value(seen: &ReceivedRequest, field: &str) -> Option<f64> {
    let said = seen.notice_fields.iter().find(|(name, _)| *name == field);
    said.and_then(|(_, value)| value.parse().ok())
}

/// Sends a request once.
async fn send_call(to: std::net::SocketAddr, call: &Call) -> CallResult {
    let sent_at = Instant::now();
    let answer = send(to, &call.bytes()).await.ok();
    let retry_after_s = answer
        .as_ref()
        .and_then(|answer| answer.text(headers::RETRY_AFTER))
        .and_then(|text| text.parse().ok());
    let status = answer.map(|answer| answer.status);
    CallResult { status, retry_after_s, sent_at, took: sent_at.elapsed() }
}
