//! What is known of requests under which backend servers end: digests, state, messages.

use leverstream_peer::packet::Body;
use leverstream_peer::{FleetKey, Packet, SuspectRequest, Suspects as Message};
use leverstream_suspect::{
    ENDS_TO_REFUSE, IncarnationDigest, MAX_SUSPECTS, RequestDigest, RequestHasher, RequestIdentity,
    Suspects,
};

use super::{Allocated, growth, line, time_us};

/// Measures them.
pub(super) fn suspects(allocated: Allocated) {
    let hasher = RequestHasher::derive("a fleet's secret");
    let digest = |body: &[u8]| {
        let (host, target) = ("shop.example", "/stock/4711?size=17&page=3");
        hasher.request_digest(&RequestIdentity {
            method: "POST",
            host,
            target,
            workspace: "",
            body,
        })
    };
    let (small, large) = (vec![7; 1 << 10], vec![7; 64 << 10]);
    let small_us = time_us(20_000, || {
        std::hint::black_box(digest(&small));
    });
    let large_us = time_us(2_000, || {
        std::hint::black_box(digest(&large));
    });
    line(
        "the digest of a request of 1 kB; of 64 kB",
        &format!("{small_us:.1} us; {large_us:.0} us"),
        "only while something is held against a request",
    );
    let (known, bytes) = growth(allocated, || {
        let mut known = Suspects::open(ENDS_TO_REFUSE);
        for number in 0..MAX_SUSPECTS as u128 {
            (0..3).for_each(|end| {
                known.record_end(RequestDigest(number), IncarnationDigest(end), 0);
            });
        }
        known
    });
    let each = bytes / MAX_SUSPECTS as f64;
    line(
        "state a request",
        &format!("{each:.0} B"),
        &format!("{MAX_SUSPECTS} at the most: {:.1} MB", bytes / 1e6),
    );
    let look_us = time_us(200_000, || {
        std::hint::black_box(known.verdict(RequestDigest(77)));
    });
    line("a look at one", &format!("{look_us:.2} us"), "four a request");
    let told = SuspectRequest { high: 1, low: 2, cleared: 0, ends: vec![1, 2, 3], age_s: 5 };
    let message = Message { requests: vec![told; 1], asks: false };
    let packet = Packet { body: Some(Body::Suspects(message)), ..Packet::default() };
    let size = FleetKey::derive("a fleet's secret").seal(&packet).len();
    line(
        "a datagram of one request",
        &format!("{size} B"),
        &format!("160 VMs, three times: {:.0} kB an end", 480.0 * size as f64 / 1e3),
    );
}
