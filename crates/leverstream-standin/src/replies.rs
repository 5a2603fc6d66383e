//! How a backend server of [`origin`](crate::origin) answers requests.

use leverstream_platform::headers;

use crate::malformed::AnswerTemplate;

/// How long a request works whose answer follows a copy of an earlier rejection.
pub(crate) const COPIED_REPLY_MS: u64 = 5;

/// How a backend server answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Status 200 after so many milliseconds.
    After(u64),
    /// Status 500: the request ran and failed.
    Failure,
    /// A status with the header fields that tell whether the request ran.
    Status(StatusReply),
    /// Status 503: the server is at capacity and did not run the request.
    Rejection,
    /// The first request of each connection is answered as by [`Reply::Rejection`]; each later one is served, after a copy of
    /// that answer.
    RejectionCopied,
    /// One request in `count` is answered as by [`Reply::After`], the others as by [`Reply::Rejection`].
    ServesOneIn {
        /// The number of requests of which one runs.
        count: usize,
        /// How long that one takes, in milliseconds.
        work_ms: u64,
    },
    /// Status 200 as soon as the head has arrived; the body is read afterwards.
    BeforeBody,
    /// Reads the body in small pieces, with a pause of so many milliseconds before each, then answers with status 200.
    ReadsSlowly(u64),
    /// The request runs; bytes that form no answer to it are sent again and again, and its body is not read.
    Endless(&'static [u8]),
    /// The request runs but is never answered.
    NoAnswer,
    /// The request runs, then the connection is reset.
    Reset,
    /// The request runs, then the connection closes in the middle of the answer.
    Truncated,
    /// Bytes that are not HTTP.
    Malformed,
    /// The bytes of a template, with the header fields of a successful answer; the connection stays open.
    Template(AnswerTemplate),
    /// An answer whose request id consists of these bytes.
    OtherId(&'static [u8]),
    /// An answer with the id of another request precedes the right one.
    StaleAnswerFirst,
    /// An answer with the id of another request follows the right one.
    ExtraAnswer,
    /// An answer without a length, terminated by closing the connection.
    WithoutLength,
    /// An answer without a length, terminated by resetting the connection.
    WithoutLengthReset,
}

impl Reply {
    /// Tells whether a request that gets this reply has run.
    pub(crate) fn runs(self) -> bool {
        match self {
            Reply::Rejection => false,
            Reply::Status(reply) => !reply.is_marked,
            _ => true,
        }
    }

    /// Returns the reply to the request that follows `earlier` ones.
    pub(crate) fn for_request(self, earlier: usize) -> Reply {
        match self {
            Reply::ServesOneIn { count, work_ms } if earlier.is_multiple_of(count) => {
                Reply::After(work_ms)
            }
            Reply::ServesOneIn { .. } => Reply::Rejection,
            other => other,
        }
    }
}

/// An answer that consists of a status and of the header fields that tell whether the request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatusReply {
    /// The status.
    pub status: u16,
    /// Whether the answer says that the request did not run. Without that it ran.
    pub is_marked: bool,
    /// Whether the answer repeats the request id.
    pub has_id: bool,
    /// Whether the answer names the instance.
    pub has_stamp: bool,
}

impl StatusReply {
    /// Creates the answer to a request that ran, with its id and the instance.
    pub fn ran(status: u16) -> StatusReply {
        StatusReply { status, is_marked: false, has_id: true, has_stamp: true }
    }

    /// Creates the answer to a request that did not run, with its id and the instance.
    pub fn not_run(status: u16) -> StatusReply {
        StatusReply { is_marked: true, ..StatusReply::ran(status) }
    }

    /// Returns the bytes of the answer.
    pub(crate) fn bytes(
        self,
        id: &str,
        instance: &str,
        notice_fields: &[(&'static str, String)],
    ) -> Vec<u8> {
        let fields = [
            (self.has_id, headers::REQUEST_ID, id),
            (self.has_stamp, headers::INSTANCE_STAMP, instance),
            (self.is_marked, headers::NOT_RUN, "1"),
        ];
        let own =
            fields.iter().filter(|(is_set, ..)| *is_set).map(|(_, name, value)| (*name, *value));
        let notices = notice_fields.iter().map(|(name, value)| (*name, value.as_str()));
        let lines: String =
            own.chain(notices).map(|(name, value)| format!("{name}: {value}\r\n")).collect();
        let status = self.status;
        format!("HTTP/1.1 {status} Status\r\ncontent-length: 0\r\n{lines}\r\n").into_bytes()
    }
}

/// How the next request is answered, on whichever connection it arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScriptedReply {
    /// It runs.
    Serve,
    /// It is rejected without having run.
    Reject,
    /// It is rejected, and a copy of that answer follows at once.
    RejectTwice,
    /// It is rejected, and a copy of that answer precedes the next answer on the connection.
    RejectWithLateCopy,
    /// It is rejected, and the connection is closed.
    RejectAndClose,
    /// It is answered with a status.
    Status(StatusReply),
}

impl ScriptedReply {
    /// Returns the reply without the copies.
    pub(crate) fn reply(self) -> Reply {
        match self {
            ScriptedReply::Serve => Reply::After(COPIED_REPLY_MS),
            ScriptedReply::Status(reply) => Reply::Status(reply),
            _ => Reply::Rejection,
        }
    }
}
