//! Malformed requests and foreign datagrams crash no VM; a caller who retries them would crash one VM after the other.

use std::net::SocketAddr;
use std::time::Duration;

use leverstream_tests::site::{Call, NON_REPEATABLE, REPEATABLE, Site};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};

/// How many mutated requests are sent, and how many random datagrams.
const COUNT: u64 = 1_500;

/// How many requests are in flight at once.
const IN_FLIGHT: usize = 30;

/// How long to wait for the answer to one request.
const WAIT: Duration = Duration::from_millis(40);

/// Byte sequences that are hard on a parser, inserted at random places.
const FRAGMENTS: [&[u8]; 12] = [
    b"\r\n\r\n",
    b"\0",
    b"\xff\xfe",
    b"Transfer-Encoding: chunked\r\n",
    b"Content-Length: 18446744073709551616\r\n",
    b"Content-Length: -1\r\n",
    b"X-Deadline-Ms: 99999999999999999999\r\n",
    b"Connection: close, x-request-id, host\r\n",
    b"Expect: 100-continue\r\n",
    b"ffffffffffffffff\r\n",
    b"Host: \r\n",
    b"%00%ff/../..//?&=;",
];

/// A valid request with one to five random mutations.
fn mutated_request(rng: &mut StdRng) -> Vec<u8> {
    let path = if rng.random() { REPEATABLE } else { NON_REPEATABLE };
    let body = vec![b'b'; rng.random_range(0..300)];
    let method =
        ["GET", "POST", "HEAD", "OPTIONS"].choose(rng).expect("the list of methods is not empty");
    let mut bytes = Call { method, body, ..Call::new(path) }.bytes();
    for _ in 0..rng.random_range(1..6) {
        let at = rng.random_range(0..bytes.len());
        match rng.random_range(0..5) {
            0 => bytes[at] = rng.random(),
            1 => bytes.truncate(at.max(1)),
            2 => {
                let fragment = FRAGMENTS.choose(rng).expect("the list of fragments is not empty");
                bytes.splice(at..at, fragment.iter().copied());
            }
            3 => {
                let end = rng.random_range(at..bytes.len());
                let again = bytes[at..end].to_vec();
                bytes.splice(at..at, again);
            }
            _ => {
                bytes.splice(at..at, vec![b'a'; rng.random_range(0..70_000)]);
            }
        }
    }
    bytes
}

/// Sends bytes and reads the answer for at most [`WAIT`].
async fn send(to: SocketAddr, bytes: Vec<u8>) {
    let exchange = async {
        let mut stream = TcpStream::connect(to).await?;
        stream.write_all(&bytes).await?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await
    };
    // Any answer will do, as will none.
    let _ = tokio::time::timeout(WAIT, exchange).await;
}

#[actix_rt::test]
async fn a_vm_survives_malformed_requests_and_random_datagrams() {
    let site = Site::start(1, 2).await;
    let vm = &site.vms[0];
    let (callers, directory) = (vm.callers(), vm.directory());
    let mut rng = StdRng::seed_from_u64(20_261_203);
    for _ in 0..COUNT / IN_FLIGHT as u64 {
        let sends = (0..IN_FLIGHT).map(|number| {
            let to = if number % 10 == 0 { directory } else { callers };
            send(to, mutated_request(&mut rng))
        });
        futures_util::future::join_all(sends.collect::<Vec<_>>()).await;
    }
    let peers: SocketAddr = format!("{}:8004", vm.ip()).parse().expect("an address");
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port is free");
    for _ in 0..COUNT {
        let datagram: Vec<u8> = (0..rng.random_range(0..1_500)).map(|_| rng.random()).collect();
        socket.send_to(&datagram, peers).await.expect("the datagram is sent");
    }
    for number in 0..20 {
        let call = Call::new(&format!("{NON_REPEATABLE}after-{number}"));
        let answer = call.send(vm).await.expect("the VM answers");
        assert_eq!(answer.status, 200, "{number}");
    }
    assert_eq!(vm.process.log().iter().filter(|line| line.contains("\"start\"")).count(), 1);
}
