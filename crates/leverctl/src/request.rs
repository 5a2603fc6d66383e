//! The commands that act as a caller.

use std::net::SocketAddr;

use leverstream_caller::{CallRequest, Caller, Method};

use crate::args::RequestArgs;
use crate::error::CtlError;
use crate::table::print_json;

/// Prints the connect answer for a service.
pub async fn ask(callers: SocketAddr, hall: Option<&str>, service: &str) -> Result<(), CtlError> {
    let answer = Caller::new(vec![callers], service, hall).ask().await.map_err(CtlError::Call)?;
    print_json(&answer);
    Ok(())
}

/// Makes a request and prints the answer's body.
pub async fn request(args: RequestArgs, json: bool) -> Result<(), CtlError> {
    let method: Method = args
        .method
        .parse()
        .map_err(|_| CtlError::CellSyntax(format!("--method {}", args.method)))?;
    let call = CallRequest {
        method,
        path: args.path,
        body: args.body.into(),
        timeout_ms: args.timeout_ms,
    };
    let mut caller = Caller::new(vec![args.callers], &args.service, None);
    let reply = caller.call(&call).await.map_err(CtlError::Call)?;
    if json {
        let body = String::from_utf8_lossy(&reply.body);
        print_json(&serde_json::json!({
            "status": reply.status, "tries": reply.tries, "body": body,
        }));
    } else {
        println!("{} after {} tries", reply.status, reply.tries);
        println!("{}", String::from_utf8_lossy(&reply.body));
    }
    Ok(())
}
