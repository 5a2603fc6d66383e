//! Where requests end on a connection, in whatever parts they arrive.

use leverstream_wire::{RequestBody, RequestGate};
use proptest::prelude::*;

/// A request as it is sent.
#[derive(Clone, Debug)]
struct Sent {
    /// The head, after line breaks that may precede it.
    head: Vec<u8>,
    /// What it announces.
    body: RequestBody,
    /// The body as it is sent.
    body_bytes: Vec<u8>,
}

/// Returns any request with any framing.
fn any_request() -> impl Strategy<Value = Sent> {
    let head = prop_oneof![
        Just("GET / HTTP/1.1\r\nhost: a\r\n\r\n"),
        Just("\r\nGET / HTTP/1.1\r\nhost: a\r\n\r\n"),
        Just("\n\r\nPOST /a HTTP/1.1\nhost: b\n\n"),
        Just("PUT /a HTTP/1.1\r\nhost: b\r\nx: a\rb\r\n\n"),
        Just("GET / HTTP/1.0\n\r\n"),
    ];
    let sized = proptest::collection::vec(any::<u8>(), 0..9_000)
        .prop_map(|bytes| (RequestBody::Sized(bytes.len()), bytes));
    let chunked = proptest::collection::vec(1_usize..2_000, 0..9).prop_map(|chunks| {
        let chunk = |length: usize| format!("{length:x};a=b\r\n{}\r\n", "\n".repeat(length));
        let mut bytes: String = chunks.into_iter().map(chunk).collect();
        bytes.push_str("0\r\nx: y\r\n\r\n");
        (RequestBody::Chunked, bytes.into_bytes())
    });
    let body = prop_oneof![Just((RequestBody::None, Vec::new())), sized, chunked];
    (head, body).prop_map(|(head, (body, body_bytes))| Sent {
        head: head.as_bytes().to_vec(),
        body,
        body_bytes,
    })
}

/// Passes bytes that arrive in parts until the gate closes; returns how many were passed.
fn pass_until_closed(
    gate: &mut RequestGate,
    bytes: &[u8],
    parts: &mut dyn Iterator<Item = usize>,
) -> usize {
    let mut passed = 0;
    while !gate.is_closed() && passed < bytes.len() {
        let part = parts.next().expect("parts never end").min(bytes.len() - passed);
        passed += gate.pass(&bytes[passed..passed + part]);
    }
    passed
}

proptest! {
    /// Guards against bytes of a later request that are passed with an earlier one, and against a request that is cut.
    #[test]
    fn the_gate_closes_at_the_end_of_each_head_and_body(
        requests in proptest::collection::vec(any_request(), 1..8),
        parts in proptest::collection::vec(1_usize..3_000, 1..40),
    ) {
        let bytes: Vec<u8> =
            requests.iter().flat_map(|sent| [&sent.head[..], &sent.body_bytes].concat()).collect();
        let mut parts = parts.into_iter().cycle();
        let mut gate = RequestGate::default();
        let mut rest = &bytes[..];
        for sent in &requests {
            let passed = pass_until_closed(&mut gate, rest, &mut parts);
            prop_assert_eq!(passed, sent.head.len());
            prop_assert_eq!(gate.head_bytes(), sent.head.len());
            rest = &rest[passed..];
            prop_assert_eq!(gate.pass(rest), 0);
            gate.expect_body(sent.body);
            let passed = pass_until_closed(&mut gate, rest, &mut parts);
            prop_assert_eq!(passed, sent.body_bytes.len());
            rest = &rest[passed..];
            prop_assert!(gate.is_closed());
            gate.expect_head();
        }
        prop_assert!(rest.is_empty());
    }
}

/// Guards against a malformed chunked body that closes the gate, after which its request would wait for ever.
#[test]
fn a_malformed_chunked_body_is_passed_on_until_its_request_ends() {
    let mut gate = RequestGate::default();
    gate.close();
    gate.expect_body(RequestBody::Chunked);
    assert_eq!(gate.pass(b"zz\r\n"), 4);
    assert_eq!(gate.pass(b"0\r\n\r\nGET / HTTP/1.1\r\n\r\n"), 23);
    assert!(!gate.is_closed());
    gate.close();
    assert_eq!(gate.pass(b"GET"), 0);
}

/// Guards against a request for another protocol whose bytes are taken for requests.
#[test]
fn nothing_is_passed_after_a_request_for_another_protocol() {
    let mut gate = RequestGate::default();
    assert_eq!(gate.pass(b"CONNECT a HTTP/1.1\r\n\r\nbytes"), 22);
    gate.expect_body(RequestBody::Endless);
    assert_eq!(gate.pass(b"bytes"), 0);
    gate.pass_everything();
    assert_eq!(gate.pass(b"bytes"), 5);
}
