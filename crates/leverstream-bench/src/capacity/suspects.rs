//! Measures suspects, which are requests during which backend servers crashed: digests, state and messages.

use leverstream_peer::packet::Body;
use leverstream_peer::{FleetKey, Packet, SuspectRequest, Suspects as Message};
use leverstream_suspect::{
    ENDS_TO_REFUSE, IncarnationDigest, MAX_SUSPECTS, RequestDigest, RequestHasher, RequestIdentity,
    Suspects,
};

use super::{AllocatedBytes, measure_allocation, print_row, time_us};

/// Measures the CPU time of digests and lookups, the memory per suspect and the size of a message.
pub(super) fn measure_suspects(allocated: AllocatedBytes) {
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
    print_row(
        "digest of a request of 1 kB; of 64 kB",
        &format!("{small_us:.1} us; {large_us:.0} us"),
        "only while any request is suspected",
    );
    let (suspects, bytes) = measure_allocation(allocated, || {
        let mut suspects = Suspects::open(ENDS_TO_REFUSE);
        for number in 0..MAX_SUSPECTS as u128 {
            (0..3).for_each(|end| {
                suspects.record_end(RequestDigest(number), IncarnationDigest(end), 0);
            });
        }
        suspects
    });
    let bytes_each = bytes / MAX_SUSPECTS as f64;
    print_row(
        "state per suspected request",
        &format!("{bytes_each:.0} B"),
        &format!("at most {MAX_SUSPECTS}: {:.1} MB", bytes / 1e6),
    );
    let lookup_us = time_us(200_000, || {
        std::hint::black_box(suspects.verdict(RequestDigest(77)));
    });
    print_row("one lookup of a verdict", &format!("{lookup_us:.2} us"), "four per request");
    let request = SuspectRequest { high: 1, low: 2, cleared: 0, ends: vec![1, 2, 3], age_s: 5 };
    let message = Message { requests: vec![request; 1], asks: false };
    let packet = Packet { body: Some(Body::Suspects(message)), ..Packet::default() };
    let size = FleetKey::derive("a fleet's secret").seal(&packet).len();
    print_row(
        "a datagram of one suspected request",
        &format!("{size} B"),
        &format!("160 VMs, three times: {:.0} kB per crash", 480.0 * size as f64 / 1e3),
    );
}
