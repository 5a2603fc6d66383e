//! Answers that break the grammar of HTTP are errors, and unusual ones that keep it are answers.

use std::time::Duration;

use leverstream_standin::broken::{self, AnswerTemplate};
use leverstream_wire::{Answer, Conn, Progress, RequestHead, WireError};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use yare::parameterized;

/// The sizes of the pieces in which an answer is sent, in bytes.
const PIECE_BYTES: [usize; 3] = [usize::MAX, 7, 1];

/// The size of a request body that does not fit into the buffers of a connection, in bytes.
const LONG_BODY_BYTES: usize = 16 << 20;

/// The time in which an answer is judged. The connections stay open, so only the bytes can tell that it is broken.
const JUDGED_WITHIN: Duration = Duration::from_secs(5);

/// The fields of an answer to the test's request.
const OWN: &str = "x-id: mine\r\n";

/// The fields of an answer to an earlier request.
const OTHER: &str = "x-id: other\r\n";

/// A request of the tests.
#[derive(Clone, Copy, Debug)]
struct Request {
    /// The method.
    method: &'static str,
    /// The size of its body in bytes; the server reads no more than its start.
    body_bytes: usize,
}

/// A request without a body.
const GET: Request = Request { method: "GET", body_bytes: 0 };

/// A request whose answers have no body.
const HEAD: Request = Request { method: "HEAD", body_bytes: 0 };

/// A request that is still being written when its answer arrives.
const UPLOAD: Request = Request { method: "POST", body_bytes: LONG_BODY_BYTES };

/// Runs a future on a new single-threaded runtime.
fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime starts").block_on(future)
}

/// Makes one exchange with a server that sends an answer in pieces and keeps the connection open.
///
/// Returns the answer, and whether the connection is reusable.
async fn exchange(
    request: Request,
    answer: &[u8],
    piece_bytes: usize,
) -> (Result<Answer, WireError>, bool) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port is available");
    let address = listener.local_addr().expect("the listener is bound");
    let mut conn = Conn::open(address).await.expect("the server listens");
    let (stream, _) = listener.accept().await.expect("the client connects");
    let serving = tokio::spawn(serve(stream, answer.to_vec(), piece_bytes));
    let bytes = RequestHead::new(request.method, "/x").finish(&vec![b'x'; request.body_bytes]);
    let is_own = |answer: &Answer| answer.text("x-id").is_none_or(|id| id == "mine");
    let progress = Progress::default();
    let exchange = conn.exchange(&bytes, request.method == "HEAD", &progress, is_own);
    let judged = tokio::time::timeout(JUDGED_WITHIN, exchange).await;
    serving.abort();
    (judged.unwrap_or(Err(WireError::TimedOut)), conn.is_reusable())
}

/// Reads the start of a request and sends an answer in pieces.
async fn serve(mut stream: TcpStream, answer: Vec<u8>, piece_bytes: usize) {
    stream.set_nodelay(true).expect("the option can be set");
    let _ = stream.read(&mut [0; 1024]).await;
    for piece in answer.chunks(piece_bytes) {
        // The client closes once it has seen that the answer is broken.
        if stream.write_all(piece).await.is_err() {
            return;
        }
        tokio::task::yield_now().await;
    }
    std::future::pending::<()>().await;
}

/// Returns a description of each way to send a template whose outcome is not the expected one.
fn unexpected(
    templates: impl Iterator<Item = AnswerTemplate>,
    request: Request,
    bytes: impl Fn(AnswerTemplate) -> Vec<u8>,
    is_expected: impl Fn(&Result<Answer, WireError>, bool) -> bool,
) -> Vec<String> {
    let ways = templates.flat_map(|template| PIECE_BYTES.map(|piece| (template, piece)));
    let outcomes = ways.filter_map(|(template, piece_bytes)| {
        let (answer, is_reusable) = block_on(exchange(request, &bytes(template), piece_bytes));
        let shown = answer.as_ref().map(|answer| (answer.status, answer.body.clone()));
        let is_expected = is_expected(&answer, is_reusable);
        (!is_expected).then(|| format!("{} by {piece_bytes}: {shown:?}", template.name))
    });
    outcomes.collect()
}

/// Returns whether an exchange has failed because its answer is broken, and its connection is not used again.
fn is_refused(answer: &Result<Answer, WireError>, is_reusable: bool) -> bool {
    matches!(answer, Err(WireError::Malformed | WireError::Send)) && !is_reusable
}

/// Guards against a spoilt answer that passes for an answer, with a body that is not the backend server's.
#[parameterized(
    read = { GET },
    half_written = { UPLOAD },
)]
fn a_broken_answer_is_an_error(request: Request) {
    let bytes = |template: AnswerTemplate| template.bytes(OWN);
    let passed = unexpected(broken::broken_answers(), request, bytes, is_refused);
    assert!(passed.is_empty(), "{} pass:\n{}", passed.len(), passed.join("\n"));
}

/// Guards against a spoilt head that passes because the answer has no body anyway.
#[test]
fn a_broken_head_is_an_error_if_the_request_is_a_head_request() {
    let bytes = |template: AnswerTemplate| template.bytes(OWN);
    let passed = unexpected(broken::broken_heads(), HEAD, bytes, is_refused);
    assert!(passed.is_empty(), "{} pass:\n{}", passed.len(), passed.join("\n"));
}

/// Guards against an answer that is found behind a spoilt one to an earlier request: where that ends is not known.
#[parameterized(
    read = { GET },
    half_written = { UPLOAD },
)]
fn no_answer_is_read_after_a_broken_one_to_an_earlier_request(request: Request) {
    let sound = broken::sound_answers().next().expect("there are sound answers").bytes(OWN);
    let bytes = |template: AnswerTemplate| [template.bytes(OTHER), sound.clone()].concat();
    let passed = unexpected(broken::broken_answers(), request, bytes, is_refused);
    assert!(passed.is_empty(), "{} pass:\n{}", passed.len(), passed.join("\n"));
}

/// Guards against strictness that refuses what servers may send.
#[test]
fn a_sound_answer_is_returned() {
    let is_whole = |answer: &Result<Answer, WireError>, is_reusable: bool| {
        let is_own = |answer: &Answer| answer.status == 200 && *answer.body == *broken::BODY;
        answer.as_ref().is_ok_and(is_own) && is_reusable
    };
    let bytes = |template: AnswerTemplate| template.bytes(OWN);
    let failed = unexpected(broken::sound_answers(), GET, bytes, is_whole);
    assert!(failed.is_empty(), "{} fail:\n{}", failed.len(), failed.join("\n"));
    let after_103 = |template: AnswerTemplate| {
        [b"HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n".to_vec(), template.bytes(OWN)].concat()
    };
    let failed = unexpected(broken::sound_answers(), GET, after_103, is_whole);
    assert!(failed.is_empty(), "{} fail after 103:\n{}", failed.len(), failed.join("\n"));
    let after_other =
        |template: AnswerTemplate| [template.bytes(OTHER), template.bytes(OWN)].concat();
    let failed = unexpected(broken::sound_answers(), GET, after_other, is_whole);
    assert!(failed.is_empty(), "{} fail after another:\n{}", failed.len(), failed.join("\n"));
}
