//! A stand-in for a backend server of the users' platform, with the answers that go wrong.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use leverstream_platform::headers;
use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{AbortHandle, JoinSet};

/// The largest head that is read, in bytes.
const HEAD_BYTES: usize = 64 << 10;

/// How long it runs a request that ends it, in milliseconds.
const END_MS: u64 = 20;

/// How a backend server answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Status 200 after so many milliseconds.
    After(u64),
    /// A failure that it ran into.
    Failure,
    /// It is full and did not run the request.
    Rejection,
    /// It runs the request and then says nothing.
    NoAnswer,
    /// It runs the request and resets the connection.
    Reset,
    /// It runs the request and ends the connection in the middle of the answer.
    Truncated,
    /// Bytes that are no answer.
    Malformed,
    /// An answer to another request comes first.
    StaleAnswerFirst,
    /// Another answer follows the right one.
    ExtraAnswer,
    /// An answer without a length, ended by the connection's end.
    WithoutLength,
    /// The same, ended by a reset.
    WithoutLengthReset,
}

/// What a backend server saw of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedRequest {
    /// When it arrived.
    pub at: Instant,
    /// The request line.
    pub line: String,
    /// The header fields, names in lower case.
    pub fields: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// Whether it ran.
    pub ran: bool,
    /// The number of the connection it came on.
    pub connection: u64,
    /// What the backend server says of itself in the answer.
    pub notice_fields: Vec<(&'static str, String)>,
}

impl ReceivedRequest {
    /// The value of a header field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(field, _)| field == name).map(|(_, value)| value.as_str())
    }
}

/// A running stand-in; it ends when it is dropped.
pub struct Origin {
    /// Where it listens.
    pub address: SocketAddr,
    /// What it shares with its connections.
    shared: Arc<Shared>,
    /// Its task.
    task: AbortHandle,
}

/// What the connections share.
struct Shared {
    /// The name of this start.
    instance: Mutex<String>,
    /// How it answers.
    reply: Mutex<Reply>,
    /// What it saw.
    seen: Mutex<Vec<ReceivedRequest>>,
    /// Requests whose callers left before the answer, by path.
    left: Mutex<HashMap<String, u32>>,
    /// The paths that hold this text end the backend server.
    ends_under: Mutex<Option<String>>,
    /// What it says of itself: header fields of all its answers.
    says: Mutex<Vec<(&'static str, String)>>,
    /// When it ended.
    ended_at: Mutex<Option<Instant>>,
    /// Told when it ends.
    ending: Notify,
}

impl Origin {
    /// Listens on a free port of an address.
    pub async fn bind(address: SocketAddr, instance: &str) -> std::io::Result<Origin> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            instance: Mutex::new(instance.to_owned()),
            reply: Mutex::new(Reply::After(0)),
            seen: Mutex::default(),
            left: Mutex::default(),
            ends_under: Mutex::default(),
            says: Mutex::default(),
            ended_at: Mutex::default(),
            ending: Notify::new(),
        });
        let task = tokio::spawn(accept(listener, Arc::clone(&shared))).abort_handle();
        Ok(Origin { address, shared, task })
    }

    /// Sets how it answers.
    pub fn set(&self, reply: Reply) {
        *self.shared.reply.lock() = reply;
    }

    /// Has it say something of itself in all its answers from now on.
    pub fn set_notice_fields(&self, fields: &[(&'static str, &str)]) {
        let fields = fields.iter().map(|(name, value)| (*name, (*value).to_owned()));
        *self.shared.says.lock() = fields.collect();
    }

    /// Turns it into another start, as when its address passes on.
    pub fn set_instance(&self, instance: &str) {
        instance.clone_into(&mut self.shared.instance.lock());
    }

    /// The name of this start.
    pub fn instance(&self) -> String {
        self.shared.instance.lock().clone()
    }

    /// Has it end some milliseconds after it begins to run a request whose path holds a text.
    pub fn end_on_request(&self, marker: &str) {
        *self.shared.ends_under.lock() = Some(marker.to_owned());
    }

    /// Ends it: it listens no more, and all its connections are gone.
    pub fn end(&self) {
        self.shared.end();
    }

    /// When it ended, if it has.
    pub fn ended_at(&self) -> Option<Instant> {
        *self.shared.ended_at.lock()
    }

    /// What it saw.
    pub fn seen(&self) -> Vec<ReceivedRequest> {
        self.shared.seen.lock().clone()
    }

    /// How many requests to a path have run.
    pub fn runs(&self, path: &str) -> usize {
        let seen = self.shared.seen.lock();
        seen.iter().filter(|seen| seen.ran && seen.line.contains(path)).count()
    }

    /// How many requests to a path were left by whoever sent them.
    pub fn abandoned_count(&self, path: &str) -> u32 {
        self.shared.left.lock().get(path).copied().unwrap_or(0)
    }
}

impl Shared {
    /// Ends the backend server.
    fn end(&self) {
        self.ended_at.lock().get_or_insert_with(Instant::now);
        self.ending.notify_one();
    }

    /// Tells whether a request to a path ends the backend server.
    fn ends_under(&self, path: &str) -> bool {
        self.ends_under.lock().as_ref().is_some_and(|marker| path.contains(marker))
    }
}

impl Drop for Origin {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Accepts connections until it ends, and all of them with it.
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
        // A connection's end is no event.
        let shared = Arc::clone(&shared);
        conns.spawn(async move {
            let _ = serve(stream, number, &shared).await;
        });
        while conns.try_join_next().is_some() {}
    }
}

/// Serves requests on a connection until one ends it.
async fn serve(mut stream: TcpStream, connection: u64, shared: &Shared) -> std::io::Result<()> {
    let mut buffer = Vec::new();
    while let Some(mut seen) = read_request(&mut stream, &mut buffer, connection).await? {
        let instance = shared.instance.lock().clone();
        let reply = *shared.reply.lock();
        let is_expected =
            seen.field(headers::EXPECTED_INSTANCE).is_none_or(|expected| expected == instance);
        seen.ran = is_expected && reply != Reply::Rejection;
        if is_expected {
            seen.notice_fields.clone_from(&shared.says.lock());
        }
        let id = seen.field(headers::REQUEST_ID).unwrap_or_default().to_owned();
        let path = seen.line.split(' ').nth(1).unwrap_or_default().to_owned();
        shared.seen.lock().push(seen);
        if !is_expected {
            let other = [("x-instance-id", instance.clone())];
            stream.write_all(&answer(421, &id, &instance, &other)).await?;
            continue;
        }
        if shared.ends_under(&path) {
            tokio::time::sleep(Duration::from_millis(END_MS)).await;
            shared.end();
            return Ok(());
        }
        if !send(&mut stream, reply, &id, &path, &instance, shared).await? {
            return Ok(());
        }
    }
    Ok(())
}

/// Sends what the reply says; false when the connection ends with it.
async fn send(
    stream: &mut TcpStream,
    reply: Reply,
    id: &str,
    path: &str,
    instance: &str,
    shared: &Shared,
) -> std::io::Result<bool> {
    let says = shared.says.lock().clone();
    let with_says = |more: &[(&'static str, &str)]| -> Vec<(&'static str, String)> {
        let more = more.iter().map(|(name, value)| (*name, (*value).to_owned()));
        says.iter().cloned().chain(more).collect()
    };
    let good = answer(200, id, instance, &with_says(&[]));
    let unframed = format!(
        "HTTP/1.1 200 OK\r\n{}: {id}\r\n{}: {instance}\r\n\r\nunframed",
        headers::REQUEST_ID,
        headers::INSTANCE_STAMP
    );
    match reply {
        Reply::After(ms) => {
            if !work(stream, ms).await {
                *shared.left.lock().entry(path.to_owned()).or_default() += 1;
                return Ok(false);
            }
            stream.write_all(&good).await?;
        }
        Reply::Failure => stream.write_all(&answer(500, id, instance, &with_says(&[]))).await?,
        Reply::Rejection => {
            stream
                .write_all(&answer(503, id, instance, &with_says(&[(headers::NOT_RUN, "1")])))
                .await?;
        }
        Reply::NoAnswer => {
            if !work(stream, 60_000).await {
                *shared.left.lock().entry(path.to_owned()).or_default() += 1;
            }
            return Ok(false);
        }
        Reply::Reset => return reset(stream),
        Reply::Truncated => {
            stream.write_all(&good[..good.len() - 3]).await?;
            return Ok(false);
        }
        Reply::Malformed => {
            stream.write_all(b"\x01\x02\x03 no answer at all\r\n\r\n").await?;
            return Ok(false);
        }
        Reply::StaleAnswerFirst => {
            stream.write_all(&answer(200, "another", instance, &[])).await?;
            stream.write_all(&good).await?;
        }
        Reply::ExtraAnswer => {
            stream.write_all(&good).await?;
            stream.write_all(&answer(200, "another", instance, &[])).await?;
        }
        Reply::WithoutLength => {
            stream.write_all(unframed.as_bytes()).await?;
            return Ok(false);
        }
        Reply::WithoutLengthReset => {
            stream.write_all(unframed.as_bytes()).await?;
            tokio::time::sleep(Duration::from_millis(30)).await;
            return reset(stream);
        }
    }
    Ok(true)
}

/// Works for a while; false when whoever sent the request has left meanwhile.
async fn work(stream: &TcpStream, ms: u64) -> bool {
    let left = async {
        let mut byte = [0];
        // Nothing is due but the end of the connection.
        matches!(stream.peek(&mut byte).await, Ok(0) | Err(_))
    };
    tokio::select! {
        () = tokio::time::sleep(Duration::from_millis(ms)) => true,
        has_left = left => !has_left,
    }
}

/// Resets a connection.
fn reset(stream: &TcpStream) -> std::io::Result<bool> {
    socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO))?;
    Ok(false)
}

/// Writes an answer of which the body tells the instance and the id.
fn answer(status: u16, id: &str, instance: &str, more: &[(&str, String)]) -> Vec<u8> {
    let body = format!("{instance} {id}");
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

/// Reads one request; none at the connection's end.
async fn read_request(
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
            let mut seen = ReceivedRequest {
                at: Instant::now(),
                line,
                fields,
                body: Vec::new(),
                ran: false,
                connection,
                notice_fields: Vec::new(),
            };
            let length = seen.field("content-length").and_then(|text| text.parse().ok());
            while buffer.len() < length.unwrap_or(0) {
                if stream.read_buf(buffer).await? == 0 {
                    return Ok(None);
                }
            }
            seen.body = buffer.drain(..length.unwrap_or(0)).collect();
            return Ok(Some(seen));
        }
        if buffer.len() > HEAD_BYTES || stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
}
