//! Malformed answers are errors, and unusual but valid ones are returned.

use std::time::Duration;

use leverstream_standin::malformed::{self, AnswerTemplate};
use leverstream_wire::{Answer, Conn, Progress, RequestHead, WireError};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use yare::parameterized;

/// The sizes of the writes in which an answer is sent, in bytes.
const WRITE_BYTES: [usize; 3] = [usize::MAX, 7, 1];

/// The size of a request body that does not fit into the buffers of a connection, in bytes.
const LONG_BODY_BYTES: usize = 16 << 20;

/// The time limit of an exchange. Servers keep connections open, so a malformed answer is detected by its bytes alone.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(5);

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

/// Makes one exchange with a server that sends an answer in several writes and keeps the connection open.
///
/// Returns the answer, and whether the connection is reusable.
async fn exchange(
    request: Request,
    answer: &[u8],
    write_bytes: usize,
) -> (Result<Answer, WireError>, bool) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port is available");
    let address = listener.local_addr().expect("the listener is bound");
    let mut conn = Conn::open(address).await.expect("the server listens");
    let (stream, _) = listener.accept().await.expect("the client connects");
    let serving = tokio::spawn(serve(stream, answer.to_vec(), write_bytes));
    let bytes = RequestHead::new(request.method, "/x").finish(&vec![b'x'; request.body_bytes]);
    let is_own = |answer: &Answer| answer.text("x-id").is_none_or(|id| id == "mine");
    let progress = Progress::default();
    let exchange = conn.exchange(&bytes, request.method == "HEAD", &progress, is_own);
    let answer = tokio::time::timeout(EXCHANGE_TIMEOUT, exchange).await;
    serving.abort();
    (answer.unwrap_or(Err(WireError::TimedOut)), conn.is_reusable())
}

/// Reads the start of a request and sends an answer in several writes.
async fn serve(mut stream: TcpStream, answer: Vec<u8>, write_bytes: usize) {
    stream.set_nodelay(true).expect("the option can be set");
    let _ = stream.read(&mut [0; 1024]).await;
    for part in answer.chunks(write_bytes) {
        // The client closes the connection when it detects that the answer is malformed.
        if stream.write_all(part).await.is_err() {
            return;
        }
        tokio::task::yield_now().await;
    }
    std::future::pending::<()>().await;
}

/// Sends each template with each write size and describes the unexpected outcomes.
fn unexpected(
    templates: impl Iterator<Item = AnswerTemplate>,
    request: Request,
    bytes: impl Fn(AnswerTemplate) -> Vec<u8>,
    is_expected: impl Fn(&Result<Answer, WireError>, bool) -> bool,
) -> Vec<String> {
    let cases =
        templates.flat_map(|template| WRITE_BYTES.map(|write_bytes| (template, write_bytes)));
    let outcomes = cases.filter_map(|(template, write_bytes)| {
        let (answer, is_reusable) = block_on(exchange(request, &bytes(template), write_bytes));
        let shown = answer.as_ref().map(|answer| (answer.status, answer.body.clone()));
        let is_expected = is_expected(&answer, is_reusable);
        (!is_expected).then(|| format!("{} by {write_bytes}: {shown:?}", template.name))
    });
    outcomes.collect()
}

/// Returns whether an exchange failed because of a malformed answer and its connection is not reusable.
fn is_rejected(answer: &Result<Answer, WireError>, is_reusable: bool) -> bool {
    matches!(answer, Err(WireError::Malformed | WireError::Send)) && !is_reusable
}

/// Guards against a malformed answer that is returned, possibly with another body than the backend server's.
#[parameterized(
    sent = { GET },
    partly_sent = { UPLOAD },
)]
fn a_malformed_answer_is_an_error(request: Request) {
    let bytes = |template: AnswerTemplate| template.bytes(OWN);
    let accepted = unexpected(malformed::malformed_answers(), request, bytes, is_rejected);
    assert!(accepted.is_empty(), "{} accepted:\n{}", accepted.len(), accepted.join("\n"));
}

/// Guards against a malformed head that is accepted because answers to HEAD requests have no body.
#[test]
fn a_malformed_head_is_an_error_in_the_answer_to_a_head_request() {
    let bytes = |template: AnswerTemplate| template.bytes(OWN);
    let accepted = unexpected(malformed::malformed_heads(), HEAD, bytes, is_rejected);
    assert!(accepted.is_empty(), "{} accepted:\n{}", accepted.len(), accepted.join("\n"));
}

/// Guards against an answer that is read after a malformed one to an earlier request, whose end is unknown.
#[parameterized(
    sent = { GET },
    partly_sent = { UPLOAD },
)]
fn no_answer_is_read_after_a_malformed_one_to_an_earlier_request(request: Request) {
    let valid = malformed::valid_answers().next().expect("there are valid answers").bytes(OWN);
    let bytes = |template: AnswerTemplate| [template.bytes(OTHER), valid.clone()].concat();
    let accepted = unexpected(malformed::malformed_answers(), request, bytes, is_rejected);
    assert!(accepted.is_empty(), "{} accepted:\n{}", accepted.len(), accepted.join("\n"));
}

/// Guards against a parser that rejects valid answers.
#[test]
fn a_valid_answer_is_returned() {
    let is_whole = |answer: &Result<Answer, WireError>, is_reusable: bool| {
        let is_own = |answer: &Answer| answer.status == 200 && *answer.body == *malformed::BODY;
        answer.as_ref().is_ok_and(is_own) && is_reusable
    };
    let bytes = |template: AnswerTemplate| template.bytes(OWN);
    let rejected = unexpected(malformed::valid_answers(), GET, bytes, is_whole);
    assert!(rejected.is_empty(), "{} rejected:\n{}", rejected.len(), rejected.join("\n"));
    let after_103 = |template: AnswerTemplate| {
        [b"HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n".to_vec(), template.bytes(OWN)].concat()
    };
    let rejected = unexpected(malformed::valid_answers(), GET, after_103, is_whole);
    assert!(rejected.is_empty(), "{} rejected after 103:\n{}", rejected.len(), rejected.join("\n"));
    let after_other =
        |template: AnswerTemplate| [template.bytes(OTHER), template.bytes(OWN)].concat();
    let rejected = unexpected(malformed::valid_answers(), GET, after_other, is_whole);
    assert!(
        rejected.is_empty(),
        "{} rejected after another:\n{}",
        rejected.len(),
        rejected.join("\n")
    );
}
