//! A stand-in for a backend server of the users' platform, which can also fail, answer wrongly or shut down.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use leverstream_platform::headers;
use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{AbortHandle, JoinSet};

use crate::replies::COPIED_REPLY_MS;
pub use crate::replies::{Reply, ScriptedReply, StatusReply};

/// The number of bytes that an endless answer sends at a time.
const ENDLESS_BLOCK_BYTES: usize = 128 << 10;

/// The number of such blocks after which an endless answer ends all the same.
const ENDLESS_BLOCKS: usize = 16_000;

/// The maximum size of a request head.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// The delay between the arrival of a request that shuts the server down and the shutdown.
const END_DELAY_MS: u64 = 20;

/// The size of the pieces in which a body is read slowly, and of the receive buffer meanwhile. A larger buffer would take
/// in the whole body, so that the sender would never wait.
const SLOW_READ_BYTES: usize = 4 << 10;

/// The query parameter that sets the size of the body of a successful answer, in bytes.
const ANSWER_BYTES: &str = "answer_bytes=";

/// A request as the backend server received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedRequest {
    /// The arrival time.
    pub at: Instant,
    /// The request line.
    pub line: String,
    /// The header fields, names in lower case.
    pub fields: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the request ran.
    pub ran: bool,
    /// The number of the connection that it arrived on.
    pub connection: u64,
    /// The notice fields that the answer carries.
    pub notice_fields: Vec<(&'static str, String)>,
}

impl ReceivedRequest {
    /// Returns the length of the body according to its field, 0 without one.
    fn body_length(&self) -> usize {
        self.field("content-length").and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Returns the value of a header field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(field, _)| field == name).map(|(_, value)| value.as_str())
    }
}

/// A running stand-in; it stops when it is dropped.
pub struct Origin {
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The state shared with its connections.
    shared: Arc<Shared>,
    /// Stops the task that accepts connections.
    task: AbortHandle,
}

/// The state shared by all connections.
struct Shared {
    /// The instance id.
    instance: Mutex<String>,
    /// The reply to each request.
    reply: Mutex<Reply>,
    /// The replies to the next requests, which go before `reply`.
    script: Mutex<VecDeque<ScriptedReply>>,
    /// The received requests.
    requests: Mutex<Vec<ReceivedRequest>>,
    /// The number of requests whose sender disconnected before the answer, by path.
    abandoned: Mutex<HashMap<String, u32>>,
    /// A request whose path contains this text shuts the server down.
    end_marker: Mutex<Option<String>>,
    /// The notice fields that are set in all answers.
    notice_fields: Mutex<Vec<(&'static str, String)>>,
    /// When it shut down.
    ended_at: Mutex<Option<Instant>>,
    /// Notified when it shuts down.
    ending: Notify,
}

impl Origin {
    /// Starts a stand-in that listens on the address; port 0 selects a free port.
    pub async fn bind(address: SocketAddr, instance: &str) -> std::io::Result<Origin> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            instance: Mutex::new(instance.to_owned()),
            reply: Mutex::new(Reply::After(0)),
            script: Mutex::default(),
            requests: Mutex::default(),
            abandoned: Mutex::default(),
            end_marker: Mutex::default(),
            notice_fields: Mutex::default(),
            ended_at: Mutex::default(),
            ending: Notify::new(),
        });
        let task = tokio::spawn(accept(listener, Arc::clone(&shared))).abort_handle();
        Ok(Origin { address, shared, task })
    }

    /// Sets the reply to all further requests.
    pub fn set(&self, reply: Reply) {
        *self.shared.reply.lock() = reply;
    }

    /// Sets the replies to the next requests; those after them are answered as [`Origin::set`] says.
    pub fn set_script(&self, script: &[ScriptedReply]) {
        *self.shared.script.lock() = script.iter().copied().collect();
    }

    /// Sets the header fields that all further answers carry, such as notices of a shutdown or a rate limit.
    pub fn set_notice_fields(&self, fields: &[(&'static str, &str)]) {
        let fields = fields.iter().map(|(name, value)| (*name, (*value).to_owned()));
        *self.shared.notice_fields.lock() = fields.collect();
    }

    /// Changes the instance id, as if another instance had taken over the address.
    pub fn set_instance(&self, instance: &str) {
        instance.clone_into(&mut self.shared.instance.lock());
    }

    /// Returns the instance id.
    pub fn instance(&self) -> String {
        self.shared.instance.lock().clone()
    }

    /// Makes the server shut down a few milliseconds after a request arrives whose path contains the marker.
    pub fn end_on_request(&self, marker: &str) {
        *self.shared.end_marker.lock() = Some(marker.to_owned());
    }

    /// Shuts the server down: it stops listening and drops all connections.
    pub fn end(&self) {
        self.shared.end();
    }

    /// Returns when the server shut down, if it has.
    pub fn ended_at(&self) -> Option<Instant> {
        *self.shared.ended_at.lock()
    }

    /// Returns all received requests.
    pub fn requests(&self) -> Vec<ReceivedRequest> {
        self.shared.requests.lock().clone()
    }

    /// Returns how many requests have run whose request line contains the path.
    pub fn runs(&self, path: &str) -> usize {
        let requests = self.shared.requests.lock();
        requests.iter().filter(|request| request.ran && request.line.contains(path)).count()
    }

    /// Returns how many requests to a path were abandoned: their sender disconnected before the answer.
    pub fn abandoned_count(&self, path: &str) -> u32 {
        self.shared.abandoned.lock().get(path).copied().unwrap_or(0)
    }
}

impl Shared {
    /// Records the time of the shutdown and stops accepting connections.
    fn end(&self) {
        self.ended_at.lock().get_or_insert_with(Instant::now);
        self.ending.notify_one();
    }

    /// Returns whether a request to the path shuts the server down.
    fn ends_on_request(&self, path: &str) -> bool {
        self.end_marker.lock().as_ref().is_some_and(|marker| path.contains(marker))
    }
}

impl Drop for Origin {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Accepts connections until the shutdown, which also drops the open ones.
async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    let mut conns = JoinSet::new();
    let mut number = 0;
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(_) => return,
            },
            () = shared.ending.notified() => return,
        };
        number += 1;
        // Errors of a connection are expected; they only close it.
        let shared = Arc::clone(&shared);
        conns.spawn(async move {
            let _ = serve(stream, number, &shared).await;
        });
        while conns.try_join_next().is_some() {}
    }
}

/// Serves the requests of one connection until it closes.
async fn serve(mut stream: TcpStream, connection: u64, shared: &Shared) -> std::io::Result<()> {
    let mut buffer = Vec::new();
    let mut rejection: Option<Vec<u8>> = None;
    let mut late_copy = Vec::new();
    while let Some(mut request) = read_head(&mut stream, &mut buffer, connection).await? {
        let instance = shared.instance.lock().clone();
        let reply = shared.reply.lock().for_request(shared.requests.lock().len());
        let reply = match (reply, &rejection) {
            (Reply::RejectionCopied, None) => Reply::Rejection,
            (Reply::RejectionCopied, Some(copy)) => {
                stream.write_all(copy).await?;
                Reply::After(COPIED_REPLY_MS)
            }
            (reply, _) => reply,
        };
        let copies = *shared.reply.lock() == Reply::RejectionCopied;
        let scripted = shared.script.lock().pop_front();
        let reply = scripted.map_or(reply, ScriptedReply::reply);
        stream.write_all(&std::mem::take(&mut late_copy)).await?;
        let is_expected =
            request.field(headers::EXPECTED_INSTANCE).is_none_or(|expected| expected == instance);
        let mut unread_bytes = request.body_length();
        let reads_body = !matches!(reply, Reply::BeforeBody | Reply::Endless(_));
        if reads_body || !is_expected {
            let Some(body) = read_body(&mut stream, &mut buffer, unread_bytes, reply).await? else {
                return Ok(());
            };
            request.body = body;
            unread_bytes = 0;
        }
        request.ran = is_expected && reply.runs();
        if is_expected {
            request.notice_fields.clone_from(&shared.notice_fields.lock());
        }
        let id = request.field(headers::REQUEST_ID).unwrap_or_default().to_owned();
        let path = request.line.split(' ').nth(1).unwrap_or_default().to_owned();
        shared.requests.lock().push(request);
        if copies && rejection.is_none() {
            rejection = Some(rejection_of(&id, &instance));
        }
        if !is_expected {
            let other = [("x-instance-id", instance.clone())];
            stream.write_all(&answer(421, &id, &instance, &other)).await?;
            continue;
        }
        if shared.ends_on_request(&path) {
            tokio::time::sleep(Duration::from_millis(END_DELAY_MS)).await;
            shared.end();
            return Ok(());
        }
        if !send(&mut stream, reply, &id, &path, &instance, shared).await?
            || read_body(&mut stream, &mut buffer, unread_bytes, reply).await?.is_none()
        {
            return Ok(());
        }
        match scripted {
            Some(ScriptedReply::RejectTwice) => {
                stream.write_all(&rejection_of(&id, &instance)).await?;
            }
            Some(ScriptedReply::RejectWithLateCopy) => late_copy = rejection_of(&id, &instance),
            Some(ScriptedReply::RejectAndClose) => return Ok(()),
            _ => {}
        }
    }
    Ok(())
}

/// Sends the reply; returns `false` if the connection closes after it.
async fn send(
    stream: &mut TcpStream,
    reply: Reply,
    id: &str,
    path: &str,
    instance: &str,
    shared: &Shared,
) -> std::io::Result<bool> {
    let notice_fields = shared.notice_fields.lock().clone();
    let with_notice = |more: &[(&'static str, &str)]| -> Vec<(&'static str, String)> {
        let more = more.iter().map(|(name, value)| (*name, (*value).to_owned()));
        notice_fields.iter().cloned().chain(more).collect()
    };
    let success = padded_answer(path, id, instance, &with_notice(&[]));
    let without_length = format!(
        "HTTP/1.1 200 OK\r\n{}: {id}\r\n{}: {instance}\r\n\r\nunframed",
        headers::REQUEST_ID,
        headers::INSTANCE_STAMP
    );
    match reply {
        Reply::After(ms) => {
            if !process(stream, ms).await {
                *shared.abandoned.lock().entry(path.to_owned()).or_default() += 1;
                return Ok(false);
            }
            stream.write_all(&success).await?;
        }
        Reply::BeforeBody | Reply::ReadsSlowly(_) => stream.write_all(&success).await?,
        Reply::Endless(bytes) => {
            send_again_and_again(stream, bytes).await?;
            return Ok(false);
        }
        Reply::Status(reply) => {
            stream.write_all(&reply.bytes(id, instance, &notice_fields)).await?;
        }
        Reply::Failure => stream.write_all(&answer(500, id, instance, &with_notice(&[]))).await?,
        Reply::Rejection | Reply::RejectionCopied | Reply::ServesOneIn { .. } => {
            stream
                .write_all(&answer(503, id, instance, &with_notice(&[(headers::NOT_RUN, "1")])))
                .await?;
        }
        Reply::NoAnswer => {
            if !process(stream, 60_000).await {
                *shared.abandoned.lock().entry(path.to_owned()).or_default() += 1;
            }
            return Ok(false);
        }
        Reply::Reset => return reset(stream),
        Reply::Truncated => {
            stream.write_all(&success[..success.len() - 3]).await?;
            return Ok(false);
        }
        Reply::Malformed => {
            stream.write_all(b"\x01\x02\x03 no answer at all\r\n\r\n").await?;
            return Ok(false);
        }
        Reply::Template(template) => {
            let fields = [(headers::REQUEST_ID, id), (headers::INSTANCE_STAMP, instance)]
                .map(|(name, value)| format!("{name}: {value}\r\n"));
            stream.write_all(&template.bytes(&fields.concat())).await?;
        }
        Reply::OtherId(other) => {
            let head = format!("HTTP/1.1 200 OK\r\n{}: {instance}\r\n", headers::INSTANCE_STAMP);
            let id = [headers::REQUEST_ID.as_bytes(), b": ", other, b"\r\n"].concat();
            let body = b"content-length: 5\r\n\r\nother";
            stream.write_all(&[head.as_bytes(), &id, body].concat()).await?;
        }
        Reply::StaleAnswerFirst => {
            stream.write_all(&answer(200, "another", instance, &[])).await?;
            stream.write_all(&success).await?;
        }
        Reply::ExtraAnswer => {
            stream.write_all(&success).await?;
            stream.write_all(&answer(200, "another", instance, &[])).await?;
        }
        Reply::WithoutLength => {
            stream.write_all(without_length.as_bytes()).await?;
            return Ok(false);
        }
        Reply::WithoutLengthReset => {
            stream.write_all(without_length.as_bytes()).await?;
            tokio::time::sleep(Duration::from_millis(30)).await;
            return reset(stream);
        }
    }
    Ok(true)
}

/// Sends the same bytes until the sender of the request closes the connection or a limit is reached.
async fn send_again_and_again(stream: &mut TcpStream, bytes: &[u8]) -> std::io::Result<()> {
    let block = bytes.repeat(ENDLESS_BLOCK_BYTES / bytes.len().max(1) + 1);
    for _ in 0..ENDLESS_BLOCKS {
        stream.write_all(&block).await?;
        tokio::task::yield_now().await;
    }
    Ok(())
}

/// Simulates processing for some time; returns `false` if the sender disconnects in the meantime.
async fn process(stream: &TcpStream, ms: u64) -> bool {
    let disconnected = async {
        let mut byte = [0];
        // The sender transmits nothing more before the answer, so readability means that it disconnected.
        matches!(stream.peek(&mut byte).await, Ok(0) | Err(_))
    };
    tokio::select! {
        () = tokio::time::sleep(Duration::from_millis(ms)) => true,
        is_disconnected = disconnected => !is_disconnected,
    }
}

/// Builds the answer that a request has not run, without notices.
fn rejection_of(id: &str, instance: &str) -> Vec<u8> {
    answer(503, id, instance, &[(headers::NOT_RUN, "1".to_owned())])
}

/// Makes the connection end with a reset when it is dropped.
fn reset(stream: &TcpStream) -> std::io::Result<bool> {
    socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO))?;
    Ok(false)
}

/// Builds an answer whose body consists of the instance id and the request id.
fn answer(status: u16, id: &str, instance: &str, more: &[(&str, String)]) -> Vec<u8> {
    answer_with_body(status, id, instance, more, &format!("{instance} {id}"))
}

/// Returns the body of a successful answer, filled with dots up to a size.
pub fn answer_body(instance: &str, id: &str, min_bytes: usize) -> String {
    let text = format!("{instance} {id}");
    let missing_bytes = min_bytes.saturating_sub(text.len());
    text + &".".repeat(missing_bytes)
}

/// Builds a successful answer; if the path asks for a size, dots fill its body up to that.
fn padded_answer(path: &str, id: &str, instance: &str, more: &[(&str, String)]) -> Vec<u8> {
    let asked_bytes = path.split_once(ANSWER_BYTES).and_then(|(_, text)| text.parse().ok());
    answer_with_body(200, id, instance, more, &answer_body(instance, id, asked_bytes.unwrap_or(0)))
}

/// Builds an answer with a body.
fn answer_with_body(
    status: u16,
    id: &str,
    instance: &str,
    more: &[(&str, String)],
    body: &str,
) -> Vec<u8> {
    let mut head = format!(
        "HTTP/1.1 {status} Status\r\n{}: {id}\r\n{}: {instance}\r\ncontent-length: {}\r\n",
        headers::REQUEST_ID,
        headers::INSTANCE_STAMP,
        body.len()
    );
    for (name, value) in more {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    format!("{head}\r\n{body}").into_bytes()
}

/// Reads the head of a request; returns `None` if the connection closes or the head is too large.
async fn read_head(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    connection: u64,
) -> std::io::Result<Option<ReceivedRequest>> {
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end + 4);
            let mut lines = head.split("\r\n");
            let line = lines.next().unwrap_or_default().to_owned();
            let fields: Vec<(String, String)> = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
                .collect();
            return Ok(Some(ReceivedRequest {
                at: Instant::now(),
                line,
                fields,
                body: Vec::new(),
                ran: false,
                connection,
                notice_fields: Vec::new(),
            }));
        }
        if buffer.len() > MAX_HEAD_BYTES || stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
}

/// Reads a body of a length, slowly if the reply says so; returns `None` if the connection closes before its end.
async fn read_body(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    length: usize,
    reply: Reply,
) -> std::io::Result<Option<Vec<u8>>> {
    if matches!(reply, Reply::ReadsSlowly(_)) {
        socket2::SockRef::from(&*stream).set_recv_buffer_size(SLOW_READ_BYTES)?;
    }
    while buffer.len() < length {
        let count = if let Reply::ReadsSlowly(pause_ms) = reply {
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            let mut piece = [0; SLOW_READ_BYTES];
            let count = stream.read(&mut piece).await?;
            buffer.extend_from_slice(&piece[..count]);
            count
        } else {
            stream.read_buf(buffer).await?
        };
        if count == 0 {
            return Ok(None);
        }
    }
    Ok(Some(buffer.drain(..length).collect()))
}
