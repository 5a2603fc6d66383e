//! Load on real processes: what leverstream adds to a request, and what idle callers cost.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// The longest time that a histogram holds, in microseconds.
const LONGEST_US: u64 = 60_000_000;

/// A request that takes longer has failed.
const TIMEOUT_MS: u64 = 10_000;

/// The part of a run that is not counted, for connections to open.
const WARM: Duration = Duration::from_millis(500);

/// Where requests go.
#[derive(Clone, Debug)]
pub struct Way {
    /// The name in reports.
    pub name: &'static str,
    /// The address.
    pub address: SocketAddr,
    /// The service, named in a header.
    pub service: String,
    /// The path.
    pub path: String,
}

/// What one run at one rate showed.
#[derive(Clone, Debug)]
pub struct Run {
    /// The times in microseconds, from when each request was sent.
    pub times_us: Histogram<u64>,
    /// Requests that failed.
    pub failed: u64,
    /// Requests answered a second.
    pub answered_per_s: f64,
}

/// Sends requests at a fixed rate, whatever the answers do, and times each from when it is sent.
///
/// No request waits for another's answer, so slow answers hide nothing.
pub async fn run(way: &Way, rate_per_s: f64, seconds: u64) -> Run {
    let client = Rc::new(
        awc::Client::builder()
            .connector(awc::Connector::new().limit(512))
            .timeout(Duration::from_millis(TIMEOUT_MS))
            .disable_redirects()
            .finish(),
    );
    let started = Instant::now();
    let end = WARM + Duration::from_secs(seconds);
    let mut tasks = Vec::new();
    let mut due = Duration::ZERO;
    while due < end {
        let now = started.elapsed();
        if now < due {
            tokio::time::sleep(due - now).await;
        }
        let (client, way) = (Rc::clone(&client), way.clone());
        let is_counted = due >= WARM;
        tasks.push(actix_rt::spawn(async move {
            let sent = Instant::now();
            let is_good = send(&client, &way).await;
            is_counted.then(|| (is_good, sent.elapsed()))
        }));
        due += Duration::from_secs_f64(1.0 / rate_per_s);
    }
    let mut times_us = Histogram::new_with_max(LONGEST_US, 3)
        .unwrap_or_else(|error| panic!("the bounds are fixed: {error}"));
    let mut failed = 0;
    for task in tasks {
        match task.await {
            Ok(Some((true, time))) => {
                let time_us = u64::try_from(time.as_micros()).unwrap_or(LONGEST_US);
                times_us.saturating_record(time_us);
            }
            Ok(Some((false, _))) | Err(_) => failed += 1,
            Ok(None) => {}
        }
    }
    let answered_per_s = times_us.len() as f64 / seconds as f64;
    Run { times_us, failed, answered_per_s }
}

/// Sends one request and reads its whole answer.
async fn send(client: &awc::Client, way: &Way) -> bool {
    let request = client
        .get(format!("http://{}{}", way.address, way.path))
        .insert_header(("leverstream-service", way.service.as_str()));
    match request.send().await {
        Ok(mut response) => response.status().is_success() && response.body().await.is_ok(),
        Err(_) => false,
    }
}

/// The processor time that a process has used, in milliseconds, as the system tells it.
pub fn cpu_ms(pid: u32) -> Option<u64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks: u64 = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
    // Linux counts a hundred ticks a second on all machines that matter here.
    Some(ticks * 10)
}

/// The memory that a process holds resident, in kilobytes.
pub fn resident_kb(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Compares two ways at several rates in turn and writes a Markdown table.
pub async fn compare(direct: &Way, via: &Way, rates: &[f64], seconds: u64, pid: Option<u32>) {
    println!(
        "| requests/s | way | p50 (us) | p99 (us) | p99.9 (us) | failed | answered/s | core |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for rate_per_s in rates {
        let mut quantiles = Vec::new();
        for way in [direct, via] {
            let before_ms = pid.and_then(cpu_ms);
            let run = run(way, *rate_per_s, seconds).await;
            let used_ms = pid.and_then(cpu_ms).zip(before_ms).map(|(after, before)| after - before);
            let window_ms = (WARM + Duration::from_secs(seconds)).as_millis() as f64;
            let core = used_ms.map_or(0.0, |used_ms| used_ms as f64 / window_ms);
            let at = |quantile: f64| run.times_us.value_at_quantile(quantile);
            println!(
                "| {rate_per_s} | {} | {} | {} | {} | {} | {:.0} | {core:.3} |",
                way.name,
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

/// Opens connections that stay idle and tells what they cost the process in memory.
pub async fn idle(address: SocketAddr, count: usize, pid: u32) {
    let before_kb = resident_kb(pid);
    let mut connections = Vec::with_capacity(count);
    for _ in 0..count {
        match TcpStream::connect(address).await {
            Ok(mut stream) => {
                // A request has been made, as on any kept connection.
                let _ = stream.write_all(b"GET / HTTP/1.1\r\nhost: none\r\n\r\n").await;
                connections.push(stream);
            }
            Err(error) => {
                eprintln!("leverbench: after {} connections: {error}", connections.len());
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
