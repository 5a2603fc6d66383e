//! The listeners, each with the service behind it.

use std::cell::RefCell;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{ConnectionType, HttpService, KeepAlive, Request, Response, StatusCode};
use actix_service::{Service, ServiceFactory, fn_service};
use leverstream_admission::memory;
use leverstream_catalog::Limits;
use leverstream_platform::{READY_PATH, RESOLVE_PATH, ResolveQuery, resolve_answer};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tracing::{info, warn};

use crate::caller_stream::CallerStream;
use crate::connection_pool::{ConnectionPool, Listener, RECEIVE_BUFFER_BYTES};
use crate::connections::{Connection, OpenRequest, Reply};
use crate::gateway::Inner;
use crate::{inbound, reply, serve, state_sync};

/// How much longer than the limit for callers an idle connection is kept, so that closing it
/// doesn't cross a request of a caller that keeps to the limit.
const IDLE_MARGIN_MS: u64 = 2_000;

/// The pause after a failed accept, whose cause is a lack of file descriptors.
const ACCEPT_PAUSE_MS: u64 = 20;

/// The size of the send buffer of a connection in the operating system, which doubles it, if the memory is limited. It holds what
/// is on its way to a caller that reads.
const SEND_BUFFER_BYTES: u32 = 128 << 10;

/// The bytes that the operating system takes ahead of those it can send, if the memory is limited.
const UNSENT_BYTES: u32 = 4 << 10;

/// The bytes of an answer that are encoded ahead of those written, if the memory is limited.
const WRITE_AHEAD_BYTES: usize = 16 << 10;

/// The timeout for the other side to disconnect.
const CLOSE_TIMEOUT_MS: u64 = 1_000;

/// Listens for callers' requests, whose bodies and answers are part of the limited memory.
pub(crate) async fn callers(address: SocketAddr, inner: &Rc<Inner>) -> std::io::Result<()> {
    listen(address, Rc::clone(&inner.callers), inner, serve::serve).await
}

/// Listens for readiness checks.
pub(crate) async fn readiness(address: SocketAddr, inner: &Rc<Inner>) -> std::io::Result<()> {
    listen(address, open_pool(Listener::Readiness, inner), inner, |inner, request| async move {
        match (request.path(), inner.is_ready()) {
            (READY_PATH, true) => reply::empty(StatusCode::OK),
            (READY_PATH, false) => reply::empty(StatusCode::SERVICE_UNAVAILABLE),
            _ => reply::empty(StatusCode::NOT_FOUND),
        }
    })
    .await
}

/// Listens for queries of the addresses to connect to.
pub(crate) async fn directory(address: SocketAddr, inner: &Rc<Inner>) -> std::io::Result<()> {
    listen(address, open_pool(Listener::Directory, inner), inner, |inner, request| async move {
        if request.path() != RESOLVE_PATH {
            return reply::empty(StatusCode::NOT_FOUND);
        }
        inner.meters.questions.inc();
        let query =
            ResolveQuery::parse(request.uri().query().unwrap_or_default()).unwrap_or_default();
        let addresses = crate::directory::addresses(&inner, &query.hall);
        if addresses.is_empty() {
            inner.has_caller.set(true);
            return reply::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        reply::json(resolve_answer(&addresses, inner.settings.entry.answer_holds_ms))
    })
    .await
}

/// Listens for other VMs that fetch what this one knows.
pub(crate) async fn peers(address: SocketAddr, inner: &Rc<Inner>) -> std::io::Result<()> {
    listen(address, open_pool(Listener::Peers, inner), inner, |inner, request| async move {
        state_sync::answer_fetch(&inner, request.path())
    })
    .await
}

/// Listens for metrics scrapes.
pub(crate) async fn metrics(address: SocketAddr, inner: &Rc<Inner>) -> std::io::Result<()> {
    listen(address, open_pool(Listener::Metrics, inner), inner, |inner, _| async move {
        inner.meters.set_backends(inner.fleet.borrow().state_counts(inner.now_ms()));
        inner.memory.update_meters();
        inner.meters.set_limits(inner.fleet.borrow().limits_by_service());
        let text = leverstream_observe::encode(&inner.meters.registry);
        Response::build(StatusCode::OK).body(text).map_into_boxed_body()
    })
    .await
}

/// Creates the pool of the connections of a listener.
fn open_pool(listener: Listener, inner: &Inner) -> Rc<ConnectionPool> {
    let limits = inner.settings.connection_limits();
    ConnectionPool::open(listener, limits, inner.clock, inner.meters.connections.clone())
}

/// Listens on an address and serves each connection with a handler.
async fn listen<H, F>(
    address: SocketAddr,
    pool: Rc<ConnectionPool>,
    inner: &Rc<Inner>,
    handler: H,
) -> std::io::Result<()>
where
    H: Fn(Rc<Inner>, Request) -> F + Copy + 'static,
    F: Future + 'static,
    F::Output: Into<Reply>,
{
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    if inner.memory.is_limited() {
        // Accepted connections inherit the sizes.
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
        if let Err(error) = SockRef::from(&socket).set_tcp_notsent_lowat(UNSENT_BYTES) {
            info!(listener = pool.listener().name(), %error, "what is sent ahead can't be limited");
        }
    }
    socket.bind(address)?;
    let backlog_bytes = inner.settings.memory.limit_bytes().map(memory::backlog_bytes);
    let listener = socket.listen(pool.listener().backlog(backlog_bytes))?;
    let inner = Rc::clone(inner);
    actix_rt::spawn(async move {
        accept(listener, inner, pool, handler).await;
    });
    Ok(())
}

/// Accepts connections until the end of a planned stop.
async fn accept<H, F>(listener: TcpListener, inner: Rc<Inner>, pool: Rc<ConnectionPool>, handler: H)
where
    H: Fn(Rc<Inner>, Request) -> F + Copy + 'static,
    F: Future + 'static,
    F::Output: Into<Reply>,
{
    let name = pool.listener().name();
    let is_memory_limited = inner.memory.is_limited();
    let cache = ServiceCache { is_memory_limited, built: RefCell::new(None) };
    let serve = async |(stream, peer)| {
        let connection = inner.connections.open(&pool);
        let memory = is_memory_limited.then_some(&inner.memory);
        let limits = inner.catalog().map_or_else(Limits::default, |catalog| catalog.limits);
        let stream = CallerStream::new(stream, peer, memory, connection, limits, inner.clock);
        let stream = match stream {
            Ok(stream) => stream,
            Err(error) => {
                info!(listener = name, %peer, %error, "the connection could not be set up");
                return;
            }
        };
        let Some(service) = cache.for_limits(limits, &inner, handler).await else { return };
        actix_rt::spawn(async move {
            // The end of a connection is not logged; the results of its requests are.
            let _ = service(stream, peer).await;
        });
    };
    loop {
        let next = async {
            pool.until_room().await;
            listener.accept().await
        };
        let accepted = tokio::select! {
            accepted = next => accepted,
            () = inner.stop.until_listeners_close() => break,
        };
        match accepted {
            Ok(accepted) => serve(accepted).await,
            Err(error) => {
                warn!(listener = name, %error, "accept failed");
                tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            }
        }
    }
    match take_pending(listener) {
        Ok(pending) => {
            for accepted in pending {
                serve(accepted).await;
            }
        }
        Err(error) => warn!(listener = name, %error, "pending connections are reset"),
    }
}

/// Closes a listener and returns the connections that were waiting to be accepted; they would be reset otherwise. The operating
/// system is asked, as the runtime learns of a connection later.
fn take_pending(listener: TcpListener) -> std::io::Result<Vec<(TcpStream, SocketAddr)>> {
    let listener = listener.into_std()?;
    let accept = || {
        let (stream, peer) = listener.accept().ok()?;
        stream.set_nonblocking(true).ok()?;
        Some((TcpStream::from_std(stream).ok()?, peer))
    };
    Ok(std::iter::from_fn(accept).collect())
}

/// Waits for the answer to a request. It counts as open until it is written, and is the last on its connection during a
/// planned stop, while there are more connections than usual, or if its body was not read.
async fn respond<F>(
    inner: Rc<Inner>,
    open_request: Option<OpenRequest>,
    reply: F,
) -> Response<BoxBody>
where
    F: Future,
    F::Output: Into<Reply>,
{
    let mut reply: Reply = reply.await.into();
    let is_last = |request: &OpenRequest| request.is_crowded() || request.has_unread_body();
    if inner.stop.has_begun() || open_request.as_ref().is_some_and(is_last) {
        reply.response.head_mut().set_connection_type(ConnectionType::Close);
    }
    match open_request {
        Some(open_request) => open_request.respond(reply),
        None => reply.response,
    }
}

/// A function that serves one connection.
type ServeConn =
    Rc<dyn Fn(CallerStream, SocketAddr) -> futures_util::future::LocalBoxFuture<'static, ()>>;

/// The HTTP service for new connections, rebuilt when the limits change.
struct ServiceCache {
    /// Whether the answers are part of the limited memory.
    is_memory_limited: bool,
    /// The limits and the service built for them.
    built: RefCell<Option<(Limits, ServeConn)>>,
}

impl ServiceCache {
    /// Returns the service for the given limits, and builds it if they changed.
    async fn for_limits<H, F>(
        &self,
        limits: Limits,
        inner: &Rc<Inner>,
        handler: H,
    ) -> Option<ServeConn>
    where
        H: Fn(Rc<Inner>, Request) -> F + Copy + 'static,
        F: Future + 'static,
        F::Output: Into<Reply>,
    {
        if let Some((built_for, service)) = &*self.built.borrow()
            && *built_for == limits
        {
            return Some(Rc::clone(service));
        }
        let inner = Rc::clone(inner);
        let handle = fn_service(move |request: Request| {
            let body = inbound::announced_body(&request);
            let connection = request.conn_data::<Rc<Connection>>().cloned();
            let open_request = connection.map(|connection| connection.begin(body));
            let reply = handler(Rc::clone(&inner), request);
            let response = respond(Rc::clone(&inner), open_request, reply);
            async move { Ok::<_, Infallible>(response.await) }
        });
        let builder = HttpService::build();
        let builder = if self.is_memory_limited {
            builder.h1_write_buffer_size(WRITE_AHEAD_BYTES)
        } else {
            builder
        };
        let factory = builder
            .keep_alive(KeepAlive::Timeout(Duration::from_millis(limits.idle_ms + IDLE_MARGIN_MS)))
            // The stream limits the time for each head, the library only that for the first one.
            .client_request_timeout(Duration::ZERO)
            .client_disconnect_timeout(Duration::from_millis(CLOSE_TIMEOUT_MS))
            .h1_allow_half_closed(false)
            .on_connect_ext(|stream: &CallerStream, data| {
                data.insert(stream.connection());
                if let Some(body_memory) = stream.body_memory() {
                    data.insert(body_memory);
                }
            })
            .h1(handle);
        let Ok(service) = factory.new_service(()).await else {
            info!("the service for new connections could not be built");
            return None;
        };
        let service = Rc::new(service);
        let serve: ServeConn = Rc::new(move |stream, peer| {
            let service = Rc::clone(&service);
            Box::pin(async move {
                let _ = service.call((stream, Some(peer))).await;
            })
        });
        *self.built.borrow_mut() = Some((limits, Rc::clone(&serve)));
        Some(serve)
    }
}
