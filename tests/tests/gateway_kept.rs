//! Connections that callers keep after large requests. In a file of its own, as the uploads take most of a machine.

use leverstream_tests::site::{Call, REPEATABLE, Site};
use leverstream_wire::{Conn, Progress};

/// The memory limit of the VM, in megabytes.
const LIMIT_MB: f64 = 160.0;

/// The settings of the VM with that limit.
const LIMITED: &str = "[memory]\nlimit_mb = 160\n";

/// How many callers keep a connection after an upload.
const KEEPING_CALLERS: usize = 2_500;

/// The length of such an upload, in bytes.
const KEPT_UPLOAD_BYTES: usize = 360_000;

/// Guards against connections that rest after large uploads and hold memory that nothing counts.
#[actix_rt::test]
async fn connections_that_rest_after_uploads_stay_within_the_limit() {
    let site = Site::start_with_settings(1, 2, LIMITED).await;
    let to = site.vms[0].callers();
    let body = vec![b'u'; KEPT_UPLOAD_BYTES];
    let mut kept = Vec::new();
    let mut closing = 0;
    for number in 0..KEEPING_CALLERS {
        let path = format!("{REPEATABLE}kept-{number}");
        let call = Call { method: "POST", body: body.clone(), ..Call::new(&path) };
        let mut conn = Conn::open(to).await.expect("the VM listens");
        let progress = Progress::default();
        let answer = conn.exchange(&call.bytes(), false, &progress, |_| true).await;
        let answer = answer.expect("an answer arrives");
        assert_eq!(answer.status, 200);
        closing += usize::from(answer.closes_connection());
        kept.push(conn);
    }
    let peak_mb = site.vms[0].process.peak_memory_mb();
    println!("{peak_mb} MB, {closing} connections were not kept");
    assert!(peak_mb < LIMIT_MB, "{peak_mb} MB");
}
