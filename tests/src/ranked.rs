//! Requests of workspaces in several ranks: their routes, how they are sent, and how large a share of each rank is served.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use leverstream_catalog::{Catalog, Limits, Route, ServiceSpec};
use leverstream_platform::headers;
use leverstream_platform::standin::KeyedWorkspace;
use leverstream_standin::origin::answer_body;
use leverstream_wire::Answer;

use crate::site::{Call, HOST, route, send};

/// The number of ranks, each with routes of its own; 0 is the most urgent.
pub const RANKS: usize = 3;

/// The path prefix of uploads, which may run only once.
pub const UPLOADS: &str = "/upload/";

/// The time limit of an upload, which leaves time for a slow body.
const UPLOAD_TIMEOUT_MS: u64 = 3_000;

/// How long a caller waits for an answer. It is longer than the time limits of the routes, so that callers get refusals.
const CALLER_PATIENCE: Duration = Duration::from_millis(2_500);

/// The result of one request.
#[derive(Clone, Debug)]
pub struct RankedResult {
    /// The request id.
    pub id: String,
    /// The rank of its route.
    pub rank: usize,
    /// Whether it may run more than once.
    pub is_repeatable: bool,
    /// When it was sent.
    pub sent_at: Instant,
    /// The status; `None` without a complete answer.
    pub status: Option<u16>,
    /// What is wrong with the answer, if it is another request's or incomplete.
    pub wrong_answer: Option<String>,
}

/// Returns the path prefix of the route of a rank.
pub fn path(rank: usize, is_repeatable: bool) -> String {
    format!("/rank-{rank}/{}/", if is_repeatable { "safe" } else { "once" })
}

/// Creates a configuration with two routes of each rank, and one for uploads, to the service `shop`.
///
/// The ranks have the same mix of requests that may be repeated and requests that may not, because the former are served
/// more often while backend servers fail.
pub fn catalog(version: u64) -> Catalog {
    let service = ServiceSpec { health_path: "/health".into(), connections: 100 };
    let of_rank = |rank: usize| {
        [true, false].map(|is_repeatable| Route {
            priority: rank as u32,
            ..route(&path(rank, is_repeatable), is_repeatable, "shop")
        })
    };
    let uploads = Route {
        priority: 1,
        timeout_ms: UPLOAD_TIMEOUT_MS,
        objective_ms: 1_200,
        ..route(UPLOADS, false, "shop")
    };
    let routes = (0..RANKS).flat_map(of_rank).chain([uploads]);
    let routes = routes.map(|route| (HOST.to_owned(), route)).collect();
    let limits =
        Limits { head_bytes: 16 << 10, body_bytes: 1 << 20, head_ms: 3_000, idle_ms: 15_000 };
    Catalog::build(version, routes, HashMap::from([("shop".to_owned(), service)]), limits)
        .expect("the catalog is valid")
}

/// Creates a workspace with one key; a rate of 0 means no limit. The burst is what the rate allows in one second.
pub fn workspace(name: &str, rate_per_s: f64) -> KeyedWorkspace {
    let keys = vec![format!("key-{name}")];
    KeyedWorkspace {
        name: name.to_owned(),
        keys,
        rate_per_s,
        burst: rate_per_s,
        ..KeyedWorkspace::default()
    }
}

/// Creates a request of a workspace from [`workspace`].
pub fn call(workspace: &str, path: &str) -> Call {
    Call {
        fields: vec![("authorization", format!("Bearer key-{workspace}"))],
        caller_timeout_ms: CALLER_PATIENCE.as_millis() as u64,
        ..Call::new(path)
    }
}

/// Sends a request of a workspace in a rank and checks the answer.
pub async fn send_ranked(
    to: SocketAddr,
    workspace: &str,
    rank: usize,
    is_repeatable: bool,
) -> RankedResult {
    let call = call(workspace, &path(rank, is_repeatable));
    let sent_at = Instant::now();
    let answer = tokio::time::timeout(CALLER_PATIENCE, send(to, &call.bytes())).await;
    let answer = answer.ok().and_then(Result::ok);
    RankedResult {
        rank,
        is_repeatable,
        sent_at,
        status: answer.as_ref().map(|answer| answer.status),
        wrong_answer: answer.and_then(|answer| wrong_answer(&call.id, 0, &answer)),
        id: call.id,
    }
}

/// Returns what is wrong with an answer: it belongs to another request, or its body isn't the backend server's. A backend
/// server fills the body with dots up to a size that the caller may ask for.
pub fn wrong_answer(id: &str, asked_bytes: usize, answer: &Answer) -> Option<String> {
    let stamp = answer.text(headers::INSTANCE_STAMP);
    let answered = answer.text(headers::REQUEST_ID);
    let is_own = answered.is_none_or(|answered| answered == id);
    let is_whole = stamp.is_some_and(|stamp| answer.body == answer_body(stamp, id, asked_bytes));
    let is_right = is_own && (answer.status != 200 || is_whole);
    (!is_right).then(|| {
        let (status, length) = (answer.status, answer.body.len());
        format!("{id} got status {status} and {length} bytes for {answered:?} from {stamp:?}")
    })
}

/// Returns the share of requests of each rank that were answered with status 200, 0 without requests.
pub fn served_shares(results: &[RankedResult]) -> [f64; RANKS] {
    std::array::from_fn(|rank| {
        let of_rank = results.iter().filter(|result| result.rank == rank);
        let served = of_rank.clone().filter(|result| result.status == Some(200)).count();
        served as f64 / of_rank.count().max(1) as f64
    })
}
