//! Callers that send a steady flow of requests to all VMs, and what backend servers saw of it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use actix_rt::task::JoinHandle;
use leverstream_platform::headers;
use leverstream_standin::origin::{Origin, Seen};

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
    pub fn arrivals(&self, origin: &Origin, from: Instant) -> Vec<(usize, Seen)> {
        let seen = origin.seen().into_iter().filter(|seen| seen.at >= from);
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
pub fn longest_after_word(arrivals: &[(usize, Seen)]) -> Duration {
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
    arrivals: &[(usize, Seen)],
    is_excused: impl Fn(usize, Instant, Instant) -> bool,
) -> usize {
    let unwanted = |(number, (vm, told)): (usize, &(usize, Seen))| {
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

/// The number that a backend server says of itself in a field of its answer.
fn says(seen: &Seen, field: &str) -> Option<f64> {
    let said = seen.said.iter().find(|(name, _)| *name == field);
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
