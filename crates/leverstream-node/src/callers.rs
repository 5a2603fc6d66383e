//! The listener for callers, whose connections close without a reset that could overtake an answer.

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use actix_http::HttpService;
use actix_http::error::DispatchError;
use actix_server::{Server, ServerHandle};
use actix_service::{ServiceFactoryExt, fn_service, map_config};
use actix_web::App;
use actix_web::dev::AppConfig;
use actix_web::web::Data;
use leverstream_proxy::Proxy;
use leverstream_wire::LingerStream;
use tokio::net::TcpStream;

use crate::settings::Settings;

/// A connection that has not sent a request's head after this time is closed.
pub const HEAD_TIMEOUT_MS: u64 = 10_000;

/// How long an idle connection is kept.
const KEEP_ALIVE_S: u64 = 60;

/// How long a connection is read on after an answer to a request whose body was not read whole.
const DISCONNECT_TIMEOUT_MS: u64 = 1_000;

/// Serves callers on the traffic threads; a stop waits at most `stop_timeout_s` for their connections.
pub fn serve(
    listener: TcpListener,
    address: SocketAddr,
    proxy: Data<Proxy>,
    settings: &Settings,
    stop_timeout_s: u64,
) -> std::io::Result<ServerHandle> {
    let builder = Server::build()
        .workers(settings.callers.threads)
        .max_concurrent_connections(settings.callers.connections_a_thread)
        .shutdown_timeout(stop_timeout_s)
        .disable_signals();
    let stopping = builder.graceful_shutdown_signal();
    let server = builder
        .listen("callers", listener, move || {
            let (clock, stopping) = (proxy.clock, stopping.clone());
            let app = App::new().app_data(proxy.clone()).configure(leverstream_proxy::configure);
            let http = HttpService::build()
                .graceful_shutdown_signal(move || {
                    let stopping = stopping.clone();
                    async move { stopping.notified().await }
                })
                .keep_alive(Duration::from_secs(KEEP_ALIVE_S))
                .client_request_timeout(Duration::from_millis(HEAD_TIMEOUT_MS))
                .client_disconnect_timeout(Duration::from_millis(DISCONNECT_TIMEOUT_MS))
                .local_addr(address)
                .h1(map_config(app, |()| AppConfig::default()));
            let accept = fn_service(move |stream: TcpStream| async move {
                let peer = stream.peer_addr().ok();
                Ok::<_, DispatchError>((LingerStream::new(stream, clock), peer))
            });
            accept.and_then(http)
        })?
        .run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(handle)
}
