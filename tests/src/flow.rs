//! Callers that send a steady flow of requests to all VMs, and what backend servers saw of it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use actix_rt::task::JoinHandle;
use leverstream_platform::headers;
use leverstream_standin::origin::{Origin, ReceivedRequest};

use crate::site::{Call, ONCE, SAFE, Site, send};

/// The time between two requests of the flow.
const GAP: Duration = Duration::from_millis(10);

/// How long after it was turned away a VM may still send what was under way.
const UNDER_WAY: Duration = Duration::from_millis(500);

/// A flow of requests, one VM after the other, every second one of a kind that may run once only.
#[derive(Default)]
pub struct Flow {
    /// The VM that each request went to, by its id.
    vms: HashMap<String, usize>,
    /// The answers.
    answers: Vec<JoinHandle<Answered>>,
}

/// How a request of a flow was answered.
#[derive(Clone, Copy, Debug)]
pub struct Answered {
    /// The status; none if there was no whole answer.
    pub status: Option<u16>,
    /// When the caller may come back, if it was told.
    pub retry_after_s: Option<f64>,
    /// When it was asked.
    pub asked_at: Instant,
    /// How long it took.
    pub took: Duration,
}

impl Flow {
    /// Sends requests for a while.
    pub async fn run(&mut self, site: &Site, length: Duration) {
        let until = Instant::now() + length;
        while Instant::now() < until {
            let number = self.vms.len();
            let vm = number % site.vms.len();
            let path = if (number / site.vms.len()).is_multiple_of(2) { SAFE } else { ONCE };
            let call = Call::new(&format!("{path}flow-{number}"));
            let to = site.vms[vm].callers();
            self.vms.insert(call.id.clone(), vm);
            self.answers.push(actix_rt::spawn(async move { ask(to, &call).await }));
            tokio::time::sleep(GAP).await;
        }
    }

    /// Waits for all answers.
    pub async fn answers(&mut self) -> Vec<Answered> {
        let mut answers = Vec::new();
        for answer in std::mem::take(&mut self.answers) {
            answers.push(answer.await.expect("a request is answered or given up"));
        }
        answers
    }

    /// What a backend server saw of the flow from a moment on, by VM, in order.
    pub fn arrivals(&self, origin: &Origin, from: Instant) -> Vec<(usize, ReceivedRequest)> {
        let seen = origin.requests().into_iter().filter(|seen| seen.at >= from);
        let of_flow = seen.filter_map(|seen| {
            let vm = *self.vms.get(seen.field(headers::REQUEST_ID)?)?;
            Some((vm, seen))
        });
        of_flow.collect()
    }
}

/// The share of requests that were served.
pub fn served(answers: &[Answered]) -> f64 {
    let served = answers.iter().filter(|answer| answer.status == Some(200)).count();
    served as f64 / answers.len() as f64
}

/// How long after the first word to a VM that its backend server leaves the last request from it arrived, over all VMs.
pub fn longest_after_word(arrivals: &[(usize, ReceivedRequest)]) -> Duration {
    let mut words: HashMap<usize, Instant> = HashMap::new();
    let mut longest = Duration::ZERO;
    for (vm, seen) in arrivals {
        if let Some(word) = words.get(vm) {
            longest = longest.max(seen.at - *word);
        } else if says(seen, headers::LEAVING).is_some() {
            words.insert(*vm, seen.at);
        }
    }
    longest
}

/// How many requests a VM sent on, at the most, between half a second after it was told that nothing was wanted and the end
/// of that time; `is_excused` tells whether something befell it between two moments.
pub fn most_unwanted(
    arrivals: &[(usize, ReceivedRequest)],
    is_excused: impl Fn(usize, Instant, Instant) -> bool,
) -> usize {
    let unwanted = |(number, (vm, told)): (usize, &(usize, ReceivedRequest))| {
        let Some(seconds) = says(told, headers::RETRY_AFTER).filter(|_| !told.ran) else {
            return 0;
        };
        let (from, to) = (told.at + UNDER_WAY, told.at + Duration::from_secs_f64(seconds));
        let later = arrivals[number..].iter().filter(|(other, _)| other == vm);
        let inside = later.filter(|(_, seen)| from < seen.at && seen.at < to);
        inside.filter(|(_, seen)| !is_excused(*vm, told.at, seen.at)).count()
    };
    arrivals.iter().enumerate().map(unwanted).max().unwrap_or(0)
}

/// Over how long requests to a backend server that names a limit are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// How many times its limit a backend server may get in such a time, and how many requests besides.
const LIMIT_ALLOWANCE: (f64, f64) = (1.5, 5.0);

/// How long after a backend server has first named a limit that is held against the VMs.
const LIMIT_KNOWN_AFTER: Duration = Duration::from_secs(3);

/// What a backend server that names a limit got.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limited {
    /// The most that it got in a window, as a part of what is allowed for the limits that it named meanwhile.
    pub worst: f64,
    /// How much of its limits it got, from when they count.
    pub spent: f64,
}

/// What a backend server got while its answers named a limit, over all VMs, told or not; `is_excused` tells whether something
/// befell a VM around a moment.
///
/// The limit of each moment is the one of the last arrival before it; where it changed within a window the largest counts.
pub fn limited(
    arrivals: &[(usize, ReceivedRequest)],
    is_excused: impl Fn(usize, Instant) -> bool,
) -> Limited {
    let limit = |seen: &ReceivedRequest| says(seen, headers::RATE_LIMIT);
    let Some(first) = arrivals.iter().position(|(_, seen)| limit(seen).is_some()) else {
        return Limited::default();
    };
    let counts_from = arrivals[first].1.at + LIMIT_KNOWN_AFTER;
    let mut worst: f64 = 0.0;
    let mut allowed_in_all = 0.0;
    for (number, (_, seen)) in arrivals.iter().enumerate() {
        let Some(per_s) = limit(seen).filter(|_| seen.at >= counts_from) else { continue };
        let until = arrivals.get(number + 1).map_or(seen.at, |(_, next)| next.at);
        allowed_in_all += per_s * (until - seen.at).as_secs_f64();
        let from = counts_from.max(seen.at.checked_sub(LIMIT_WINDOW).unwrap_or(counts_from));
        let within = arrivals[..=number].iter().filter(|(_, other)| other.at > from);
        let within: Vec<&(usize, ReceivedRequest)> = within.collect();
        // Without a limit for a part of the window there is nothing to hold it against.
        let limits: Option<Vec<f64>> = within.iter().map(|(_, other)| limit(other)).collect();
        let Some(limits) = limits else { continue };
        let most_per_s = limits.into_iter().fold(per_s, f64::max);
        let counted = within.iter().filter(|(vm, other)| !is_excused(*vm, other.at)).count();
        let (times, besides) = LIMIT_ALLOWANCE;
        let allowed = times * most_per_s * LIMIT_WINDOW.as_secs_f64() + besides;
        worst = worst.max(counted as f64 / allowed);
    }
    let counted = arrivals.iter().filter(|(_, seen)| seen.at >= counts_from);
    let named = counted.filter(|(_, seen)| limit(seen).is_some()).count();
    Limited { worst, spent: named as f64 / f64::max(allowed_in_all, 1.0) }
}

/// The number that a backend server says of itself in a field of its answer.
fn says(seen: &ReceivedRequest, field: &str) -> Option<f64> {
    let said = seen.notice_fields.iter().find(|(name, _)| *name == field);
    said.and_then(|(_, value)| value.parse().ok())
}

/// Asks once.
async fn ask(to: std::net::SocketAddr, call: &Call) -> Answered {
    let asked_at = Instant::now();
    let answer = send(to, &call.bytes()).await.ok();
    let retry_after_s = answer
        .as_ref()
        .and_then(|answer| answer.text(headers::RETRY_AFTER))
        .and_then(|text| text.parse().ok());
    let status = answer.map(|answer| answer.status);
    Answered { status, retry_after_s, asked_at, took: asked_at.elapsed() }
}
