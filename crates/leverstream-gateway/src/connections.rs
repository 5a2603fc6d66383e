//! Accepted connections, and whether the answers to their requests are written whole.
//!
//! A request is open from the first byte that is read of it until the last byte of its answer is with the operating system
//! and, if the connection closes after it, the caller has closed it, too; or until its caller is gone. That is longer than its handler runs, which ends when the answer is ready.

mod answers;
mod held;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::task::Waker;

use futures_util::FutureExt;
use leverstream_admission::connections::{ConnectionKey, Phase};
use leverstream_wire::{RequestBody, RequestGate};
use tokio::sync::Notify;

use self::answers::UnwrittenAnswer;
pub(crate) use self::answers::{CutCause, OnWriteEnd, OpenRequest, Reply, WriteEnd};
use self::held::{Held, WIDE_BYTES};
use crate::connection_pool::{ConnectionPool, Listener, RECEIVE_BUFFER_BYTES};

/// The accepted connections of all listeners.
#[derive(Default)]
pub(crate) struct Connections {
    /// The number of connections with an open request or with an end that is under way.
    busy: Cell<usize>,
    /// Whether the process leaves now, so that whatever is open is cut.
    is_leaving: Cell<bool>,
}

/// An accepted connection.
pub(crate) struct Connection {
    /// All connections.
    all: Rc<Connections>,
    /// The connections of its listener.
    pool: Rc<ConnectionPool>,
    /// Its key in that.
    key: ConnectionKey,
    /// What it holds beyond what each connection does.
    held: Cell<Held>,
    /// Whether it must close, to make room for others.
    is_evicted: Cell<bool>,
    /// Whether its receive buffer should be wide.
    is_wide: Cell<bool>,
    /// Notified when its body must end, to make room for others.
    body_refused: Notify,
    /// Whether bytes were read that no handler works on yet.
    has_unhandled: Cell<bool>,
    /// The number of handlers that run.
    handlers: Cell<usize>,
    /// The number of answers that are ready and not written.
    unwritten: Cell<usize>,
    /// The answers that are encoded but not written.
    encoded: RefCell<Vec<UnwrittenAnswer>>,
    /// Whether this side has closed the connection and waits for its caller to do so.
    is_closing: Cell<bool>,
    /// Whether its caller was disconnected for leaving an answer unread.
    is_cut_off: Cell<bool>,
    /// The bytes that were written.
    written_bytes: Cell<u64>,
    /// The bytes that were read since the last answer.
    request_bytes: Cell<usize>,
    /// The bytes that had been written when the last request began.
    answer_started_bytes: Cell<u64>,
    /// Whether it counts as busy.
    is_busy: Cell<bool>,
    /// Decides which bytes are read of it: those of one request at a time.
    gate: RefCell<RequestGate>,
    /// The body that its current request announces, until it is read.
    unread_body: Cell<RequestBody>,
    /// Whether whatever comes is discarded, as the body of its last request was not read.
    is_discarding: Cell<bool>,
    /// Whether a request was read of it.
    has_served: Cell<bool>,
    /// Whether bytes wait for the gate.
    is_gate_awaited: Cell<bool>,
    /// Wakes the task that serves it.
    task: RefCell<Option<Waker>>,
}

impl Connections {
    /// Returns the number of connections that a planned stop waits for.
    pub fn busy(&self) -> usize {
        self.busy.get()
    }

    /// Notes that the process leaves now: what is still open is cut for that reason.
    pub fn leave(&self) {
        self.is_leaving.set(true);
    }

    /// Returns why a request ends without a whole answer whose caller is not known to be at fault.
    pub fn cut_cause(&self) -> CutCause {
        if self.is_leaving.get() { CutCause::Stop } else { CutCause::CallerLeft }
    }

    /// Adds an accepted connection of a listener.
    pub fn open(self: &Rc<Connections>, pool: &Rc<ConnectionPool>) -> Rc<Connection> {
        let key = pool.add();
        let connection = Rc::new(Connection {
            all: Rc::clone(self),
            pool: Rc::clone(pool),
            key,
            held: Cell::default(),
            is_evicted: Cell::new(false),
            is_wide: Cell::new(false),
            body_refused: Notify::new(),
            has_unhandled: Cell::new(false),
            handlers: Cell::new(0),
            unwritten: Cell::new(0),
            encoded: RefCell::default(),
            is_closing: Cell::new(false),
            is_cut_off: Cell::new(false),
            written_bytes: Cell::new(0),
            request_bytes: Cell::new(0),
            answer_started_bytes: Cell::new(0),
            is_busy: Cell::new(false),
            gate: RefCell::default(),
            unread_body: Cell::new(RequestBody::None),
            is_discarding: Cell::new(false),
            has_served: Cell::new(false),
            is_gate_awaited: Cell::new(false),
            task: RefCell::default(),
        });
        pool.register(key, &connection);
        connection
    }
}

impl Connection {
    /// Returns the connections of its listener.
    pub fn pool(&self) -> &Rc<ConnectionPool> {
        &self.pool
    }

    /// Returns whether it must close, to make room for others.
    pub fn is_evicted(&self) -> bool {
        self.is_evicted.get()
    }

    /// Tells it to close, to make room for others.
    pub fn evict(&self) {
        self.is_evicted.set(true);
        self.wake();
    }

    /// Tells the body that arrives on it to end, or its answer to be cut, to make room for others.
    pub fn give_way(&self) {
        if self.pool.phase(self.key) == Phase::Body {
            self.body_refused.notify_one();
        } else {
            self.note_cut_off();
            self.evict();
        }
    }

    /// Waits until the body that arrives on it must end, to make room for others.
    pub async fn until_body_refused(&self) {
        self.body_refused.notified().await;
    }

    /// Records the task that serves it.
    pub fn set_task(&self, waker: &Waker) {
        let mut task = self.task.borrow_mut();
        if task.as_ref().is_none_or(|known| !known.will_wake(waker)) {
            *task = Some(waker.clone());
        }
    }

    /// Wakes the task that serves it.
    fn wake(&self) {
        if let Some(task) = &*self.task.borrow() {
            task.wake_by_ref();
        }
    }

    /// Records what it holds of the memory for bodies and answers.
    pub fn set_leased(&self, bytes: usize) {
        self.pool.set_leased(self.key, bytes);
    }

    /// Changes what it holds beyond what each connection does.
    fn change_held(&self, change: impl FnOnce(&mut Held)) {
        let mut held = self.held.get();
        change(&mut held);
        if held != self.held.replace(held) {
            self.pool.hold(self.key, held.total());
        }
    }

    /// Notes that bytes were read. While a request is open, they count as its own.
    pub fn note_read(&self, bytes: usize) {
        let is_unhandled = self.handlers.get() == 0 && self.unwritten.get() == 0;
        if is_unhandled {
            self.has_unhandled.set(true);
            self.update();
        }
        if self.is_discarding.get() {
            return;
        }
        let request_bytes = self.request_bytes.get() + bytes;
        self.request_bytes.set(request_bytes);
        if is_unhandled {
            self.pool.enter(self.key, Phase::Head);
            self.change_held(|held| held.note_head(request_bytes));
        }
        self.pool.note_moved(self.key, bytes);
        self.change_held(|held| held.note_request(request_bytes));
    }

    /// Notes whether what has arrived on it is not read for now, so that it waits in the operating system.
    pub fn set_unread(&self, is_unread: bool) {
        self.change_held(|held| held.set_unread(is_unread));
    }

    /// Lets the operating system hold more of a long body, if there is room for that. With a small receive buffer, each part
    /// waits for a delayed acknowledgement.
    fn widen(&self, body: RequestBody) {
        let is_long = match body {
            RequestBody::Sized(bytes) => bytes > RECEIVE_BUFFER_BYTES as usize,
            RequestBody::Chunked => true,
            RequestBody::None | RequestBody::Endless => false,
        };
        if is_long && self.pool.has_room_for(WIDE_BYTES) {
            self.change_held(Held::widen);
            self.is_wide.set(true);
            self.wake();
        }
    }

    /// Returns whether its receive buffer should be wide.
    pub fn is_wide(&self) -> bool {
        self.is_wide.get()
    }

    /// Notes that a request was sent ahead of the answer to the one that is served.
    pub fn note_sent_ahead(&self) {
        if self.handlers.get() + self.unwritten.get() > 0
            && self.unread_body.get() == RequestBody::None
        {
            self.set_unread(true);
        }
    }

    /// Notes that the operating system has taken bytes.
    pub fn note_written(&self, bytes: usize) {
        self.written_bytes.set(self.written_bytes.get() + bytes as u64);
        self.pool.note_moved(self.key, bytes);
    }

    /// Notes that the operating system takes no more bytes for now.
    pub fn note_blocked(&self) {
        self.pool.enter(self.key, Phase::Writing);
        self.change_held(Held::note_blocked);
    }

    /// Returns whether its caller must read its answers at some rate. Other VMs and operators that read slowly only give way if
    /// there are too many connections.
    pub fn has_reading_limit(&self) -> bool {
        self.pool.listener() == Listener::Callers
    }

    /// Returns how far its caller is behind one that reads a number of bytes each millisecond, in milliseconds.
    pub fn reading_lag_ms(&self, bytes_per_ms: u64) -> u64 {
        self.pool.lag_at_rate_ms(self.key, bytes_per_ms)
    }

    /// Notes that no request is open on it any more.
    fn note_resting(&self) {
        let answer_bytes = self.written_bytes.get() - self.answer_started_bytes.get();
        self.pool.enter(self.key, Phase::Resting);
        self.pool.set_leased(self.key, 0);
        self.change_held(|held| held.rest(answer_bytes));
    }

    /// Notes that the operating system has taken all bytes that were encoded so far.
    pub fn note_flushed(&self) {
        if self.encoded.borrow().is_empty() {
            return;
        }
        for answer in self.encoded.take() {
            answer.end(None);
        }
        if !self.has_request() {
            self.note_resting();
            if !self.is_discarding.get() {
                self.open_gate(RequestGate::expect_head);
            }
        }
        self.update();
    }

    /// Notes that the caller is disconnected, as it left an answer unread.
    pub fn note_cut_off(&self) {
        self.is_cut_off.set(true);
    }

    /// Notes that this side has closed the connection and waits for its caller to do so.
    pub fn note_closing(&self) {
        self.is_closing.set(true);
        self.pool.enter(self.key, Phase::Resting);
        self.update();
    }

    /// Ends the connection: answers that are encoded but not written are cut.
    pub fn close(&self) {
        drop(self.encoded.take());
        self.has_unhandled.set(false);
        self.is_closing.set(false);
        self.update();
    }

    /// Returns how many bytes from the start of what has arrived may be parsed now.
    pub fn pass(&self, bytes: &[u8]) -> usize {
        self.gate.borrow_mut().pass(bytes)
    }

    /// Returns whether nothing that arrives may be parsed now.
    pub fn is_gate_closed(&self) -> bool {
        self.gate.borrow().is_closed()
    }

    /// Returns how many bytes of a head were read, if one is expected or has just arrived.
    pub fn head_progress(&self) -> Option<usize> {
        let is_handled = self.handlers.get() + self.unwritten.get() > 0;
        (!is_handled).then(|| self.head_bytes())
    }

    /// Returns whether a request was read of it.
    pub fn has_served(&self) -> bool {
        self.has_served.get()
    }

    /// Returns the bytes of the last head so far.
    pub fn head_bytes(&self) -> usize {
        self.gate.borrow().head_bytes()
    }

    /// Has the task woken once more bytes may be parsed.
    pub fn await_gate(&self) {
        self.is_gate_awaited.set(true);
    }

    /// Lets the body of the current request be read, until the result is dropped.
    pub fn read_body(&self) -> BodyRead<'_> {
        // An earlier body may have ended before it learnt that it must.
        let _ = self.body_refused.notified().now_or_never();
        self.open_gate(|gate| gate.expect_body(self.unread_body.get()));
        self.pool.enter(self.key, Phase::Body);
        self.widen(self.unread_body.get());
        BodyRead(self)
    }

    /// Opens the gate, and wakes the reader if bytes wait for that.
    fn open_gate(&self, open: impl FnOnce(&mut RequestGate)) {
        open(&mut self.gate.borrow_mut());
        if self.is_gate_awaited.replace(false) {
            self.wake();
        }
    }

    /// Starts the handling of a request that announces a body.
    pub fn begin(self: Rc<Connection>, body: RequestBody) -> OpenRequest {
        self.has_served.set(true);
        self.unread_body.set(body);
        self.answer_started_bytes.set(self.written_bytes.get());
        self.pool.enter(self.key, Phase::Serving);
        self.has_unhandled.set(false);
        self.handlers.set(self.handlers.get() + 1);
        self.update();
        OpenRequest::new(self)
    }

    /// Counts the connection as busy, or no longer: whether a request is open on it, or its end is under way.
    fn update(&self) {
        let is_busy = self.has_request() || self.is_closing.get();
        if self.is_busy.replace(is_busy) != is_busy {
            let busy = self.all.busy.get();
            self.all.busy.set(if is_busy { busy + 1 } else { busy - 1 });
        }
    }

    /// Returns whether a request is open on it.
    fn has_request(&self) -> bool {
        self.has_unhandled.get() || self.handlers.get() > 0 || self.unwritten.get() > 0
    }

    /// Returns why an answer on this connection is cut.
    fn cut_cause(&self) -> CutCause {
        match (self.is_cut_off.get(), self.is_evicted.get()) {
            (true, _) => CutCause::Unread,
            (false, true) => CutCause::Evicted,
            (false, false) => self.all.cut_cause(),
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.is_busy.get() {
            self.all.busy.set(self.all.busy.get() - 1);
        }
        self.pool.remove(self.key);
    }
}

/// Lets the body of a request be read, until it is dropped.
pub(crate) struct BodyRead<'a>(&'a Connection);

impl BodyRead<'_> {
    /// Notes that the body was read to its end.
    pub fn finish(self) {
        self.0.unread_body.set(RequestBody::None);
    }
}

impl Drop for BodyRead<'_> {
    fn drop(&mut self) {
        self.0.gate.borrow_mut().close();
        self.0.pool.enter(self.0.key, Phase::Serving);
        self.0.is_wide.set(false);
    }
}
