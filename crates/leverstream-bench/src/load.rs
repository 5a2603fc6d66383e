//! Load tests of running processes: the latency that leverstream adds, and the memory of idle connections.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Longest time that a histogram records, in microseconds.
const MAX_TIME_US: u64 = 60_000_000;

/// Time after which a request fails, in milliseconds.
const TIMEOUT_MS: u64 = 10_000;

/// Start of a run that isn't counted, while connections open.
const WARM_UP: Duration = Duration::from_millis(500);

/// The destination of requests.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The name in reports.
    pub name: &'static str,
    /// The address.
    pub address: SocketAddr,
    /// The service name, sent in a header.
    pub service: String,
    /// The path.
    pub path: String,
}

/// The results of one run at one rate.
#[derive(Clone, Debug)]
pub struct LoadResult {
    /// Times from sending a request to its answer, in microseconds.
    pub times_us: Histogram<u64>,
    /// Requests that failed.
    pub failed: u64,
    /// Answered requests per second.
    pub answered_per_s: f64,
}

/// Sends requests at a fixed rate, independent of the answers, and measures the time of each.
///
/// No request waits for the answer to another, so slow answers neither reduce the load nor hide delays.
pub async fn run(endpoint: &Endpoint, rate_per_s: f64, seconds: u64) -> LoadResult {
    let client = Rc::new(
        awc::Client::builder()
            .connector(awc::Connector::new().limit(512))
            .timeout(Duration::from_millis(TIMEOUT_MS))
            .disable_redirects()
            .finish(),
    );
    let started = Instant::now();
    let end = WARM_UP + Duration::from_secs(seconds);
    let mut tasks = Vec::new();
    let mut due = Duration::ZERO;
    while due < end {
        let now = started.elapsed();
        if now < due {
            tokio::time::sleep(due - now).await;
        }
        let (client, endpoint) = (Rc::clone(&client), endpoint.clone());
        let is_counted = due >= WARM_UP;
        tasks.push(actix_rt::spawn(async move {
            let sent = Instant::now();
            let is_good = send(&client, &endpoint).await;
            is_counted.then(|| (is_good, sent.elapsed()))
        }));
        due += Duration::from_secs_f64(1.0 / rate_per_s);
    }
    let mut times_us = Histogram::new_with_max(MAX_TIME_US, 3)
        .unwrap_or_else(|error| panic!("the histogram bounds are valid: {error}"));
    let mut failed = 0;
    for task in tasks {
        match task.await {
            Ok(Some((true, time))) => {
                let time_us = u64::try_from(time.as_micros()).unwrap_or(MAX_TIME_US);
                times_us.saturating_record(time_us);
            }
            Ok(Some((false, _))) | Err(_) => failed += 1,
            Ok(None) => {}
        }
    }
    let answered_per_s = times_us.len() as f64 / seconds as f64;
    LoadResult { times_us, failed, answered_per_s }
}

/// Sends one request and reads its whole answer; returns whether it succeeded.
async fn send(client: &awc::Client, endpoint: &Endpoint) -> bool {
    let request = client
        .get(format!("http://{}{}", endpoint.address, endpoint.path))
        .insert_header(("leverstream-service", endpoint.service.as_str()));
    match request.send().await {
        Ok(mut response) => response.status().is_success() && response.body().await.is_ok(),
        Err(_) => false,
    }
}

/// Returns the CPU time that a process has used, in milliseconds, from `/proc`.
pub fn cpu_ms(pid: u32) -> Option<u64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks: u64 = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
    // Linux counts 100 ticks per second on all supported machines.
    Some(ticks * 10)
}

/// Returns the resident memory of a process, in kilobytes.
pub fn resident_kb(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Compares direct requests with requests via leverstream at several rates and prints a Markdown table.
pub async fn compare(
    direct: &Endpoint,
    via: &Endpoint,
    rates: &[f64],
    seconds: u64,
    pid: Option<u32>,
) {
    println!(
        "| requests/s | way | p50 (us) | p99 (us) | p99.9 (us) | failed | answered/s | core |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for rate_per_s in rates {
        let mut quantiles = Vec::new();
        for endpoint in [direct, via] {
            let before_ms = pid.and_then(cpu_ms);
            let run = run(endpoint, *rate_per_s, seconds).await;
            let used_ms = pid.and_then(cpu_ms).zip(before_ms).map(|(after, before)| after - before);
            let window_ms = (WARM_UP + Duration::from_secs(seconds)).as_millis() as f64;
            let core = used_ms.map_or(0.0, |used_ms| used_ms as f64 / window_ms);
            let at = |quantile: f64| run.times_us.value_at_quantile(quantile);
            println!(
                "| {rate_per_s} | {} | {} | {} | {} | {} | {:.0} | {core:.3} |",
                endpoint.name,
                at(0.5),
                at(0.99),
                at(0.999),
                run.failed,
                run.answered_per_s,
            );
            quantiles.push((at(0.5) as f64, at(0.99) as f64));
        }
        let (direct, via) = (quantiles[0], quantiles[1]);
        println!(
            "| {rate_per_s} | added | {:.0} ({:.2}x) | {:.0} ({:.2}x) | | | | |",
            via.0 - direct.0,
            via.0 / direct.0,
            via.1 - direct.1,
            via.1 / direct.1,
        );
    }
}

/// Opens idle connections and prints the resident memory of the process before and after.
pub async fn measure_idle(address: SocketAddr, count: usize, pid: u32) {
    let before_kb = resident_kb(pid);
    let mut connections = Vec::with_capacity(count);
    for _ in 0..count {
        match TcpStream::connect(address).await {
            Ok(mut stream) => {
                // Idle keep-alive connections have served a request before.
                let _ = stream.write_all(b"GET / HTTP/1.1\r\nhost: none\r\n\r\n").await;
                connections.push(stream);
            }
            Err(error) => {
                eprintln!(
                    "leverbench: connection failed after {} connections: {error}",
                    connections.len()
                );
                break;
            }
        }
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let after_kb = resident_kb(pid);
    println!(
        "{} idle connections: resident {} kB before, {} kB after",
        connections.len(),
        before_kb.unwrap_or(0),
        after_kb.unwrap_or(0)
    );
}
