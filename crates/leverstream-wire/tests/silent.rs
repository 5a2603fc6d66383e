//! Connections that go silent for good while an answer is awaited.

use std::time::{Duration, Instant};

use leverstream_wire::{Conn, Progress, WireError};
use socket2::{SockFilter, SockRef};
use tokio::net::TcpListener;

/// How long a silent connection may stay undetected. A VM is bound by changes again three seconds after its connections
/// went silent, and needs 0.2 of them to read the store again and 0.6 to pass a change on to another data hall.
const SILENCE_BUDGET: Duration = Duration::from_millis(2_200);

/// A packet filter of one instruction: keep no byte. A socket with it acknowledges nothing.
const DROP_ALL_PACKETS: SockFilter = SockFilter::new(0x06, 0, 0, 0);

/// Guards against time limits of the keep-alive probes that add up to more than the promise that hangs on them: watches of
/// the store were given up after three to four seconds, and a change has two.
#[tokio::test]
async fn a_silent_connection_is_given_up_within_its_budget() {
    // The silence meets the connection in each phase of its probes.
    for idle_ms in [0, 300, 600, 900, 1_200] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        let mut conn = Conn::open_with_keepalive(address).await.expect("it accepts connections");
        let (server, _) = listener.accept().await.expect("it is connected");
        let silence = async {
            tokio::time::sleep(Duration::from_millis(idle_ms)).await;
            SockRef::from(&server).attach_filter(&[DROP_ALL_PACKETS]).expect("it is a socket");
            Instant::now()
        };
        let progress = Progress::default();
        let request = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n";
        let exchange = conn.exchange(request, false, &progress, |_| true);
        let (silent_at, answer) = tokio::join!(silence, exchange);
        let took = silent_at.elapsed();
        assert_eq!(answer.err(), Some(WireError::TimedOut));
        assert!(took < SILENCE_BUDGET, "silent after {idle_ms} ms: given up after {took:?}");
    }
}
