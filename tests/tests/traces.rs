//! Tracing: the spans of a request's hops reach an OTLP collector as part of the caller's trace.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};

use awc::http::Method;
use leverstream_tests::{Backend, Fleet, Request, until};
use opentelemetry_proto::tonic::collector::trace::v1::trace_service_server::{
    TraceService, TraceServiceServer,
};
use opentelemetry_proto::tonic::collector::trace::v1::{
    ExportTraceServiceRequest, ExportTraceServiceResponse,
};
use serde_json::json;
use tonic::{Response, Status};

/// The trace id that the caller sends.
const TRACE: &str = "0af7651916cd43dd8448eb211c80319c";

/// A collector that records the names of the spans in the caller's trace.
#[derive(Clone, Default)]
struct Collector {
    /// The names of the spans received so far.
    names: Arc<Mutex<BTreeSet<String>>>,
}

#[tonic::async_trait]
impl TraceService for Collector {
    async fn export(
        &self,
        request: tonic::Request<ExportTraceServiceRequest>,
    ) -> Result<Response<ExportTraceServiceResponse>, Status> {
        let scopes = request.into_inner().resource_spans.into_iter().flat_map(|r| r.scope_spans);
        let mut names = self.names.lock().expect("the lock is not poisoned");
        for span in scopes.flat_map(|scope| scope.spans) {
            let trace: String = span.trace_id.iter().map(|byte| format!("{byte:02x}")).collect();
            if trace == TRACE {
                names.insert(span.name);
            }
        }
        Ok(Response::new(ExportTraceServiceResponse::default()))
    }
}

#[actix_rt::test]
async fn each_hop_has_a_span_in_the_callers_trace() {
    let collector = Collector::default();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    drop(listener);
    let server = tonic::transport::Server::builder()
        .add_service(TraceServiceServer::new(collector.clone()))
        .serve(address);
    actix_rt::spawn(server);
    let fleet = Fleet::start_with(&["a"], |options| {
        options.extra_settings = format!("[traces]\notlp = \"http://{address}\"\n");
    })
    .await;
    let backend = Backend::start("b1", 4);
    fleet.add_service("shop", json!({ "taken_over": true }), &[("b1", backend.address)]).await;
    let parent = format!("00-{TRACE}-b7ad6b7169203331-01");
    let request = Request::new(fleet.daemons[0].callers, "shop", Method::GET, "/games/7");
    let answer = request.header("traceparent", &parent).must_send().await;
    let forwarded_parent = answer.report().traceparent;
    assert!(forwarded_parent.contains(TRACE) && forwarded_parent != parent, "{forwarded_parent}");
    let span_names =
        ["attempt", "caller", "connect", "exchange", "first-byte", "last-byte", "pick", "send"];
    until("the spans are exported", || async {
        let names = collector.names.lock().expect("the lock is not poisoned").clone();
        span_names.iter().all(|name| names.contains(*name)).then_some(())
    })
    .await;
}
