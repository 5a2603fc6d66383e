//! Confirms that a backend server has ended before requests are held responsible for it.
//!
//! The links of a VM can be lost one after the other: for some milliseconds, one backend server refuses connections while a test
//! connection to another still opens.

use std::rc::Rc;
use std::time::Duration;

use leverstream_catalog::Incarnation;
use leverstream_health::BackendKey;

use crate::gateway::Inner;
use crate::inbound::Inbound;
use crate::links::{self, FailureCause};
use crate::suspects::Unjudged;

/// The time after which the links are tested again before an end counts, in milliseconds: links that are lost together are
/// lost within less.
const CONFIRM_AFTER_MS: u64 = 50;

/// Records that a backend server ended under a request, if the links of this VM still hold a little later. `unjudged` counts
/// it as an end until then.
pub(crate) fn confirm_end(
    inner: &Rc<Inner>,
    key: BackendKey,
    of: &Incarnation,
    request: &Inbound,
    unjudged: Unjudged,
) {
    unjudged.note_refusing();
    let ended = inner.suspect_tracker.ended_request(request);
    let (inner, of) = (Rc::clone(inner), of.clone());
    let service = inner.fleet.borrow().service(key).to_owned();
    actix_rt::spawn(async move {
        if is_confirmed(&inner, &service, key, &of).await {
            inner.suspect_tracker.note_end(&ended, &of, inner.now_ms());
            inner.suspect_tracker.note_refused_connection(&of, inner.now_ms());
        }
        drop(unjudged);
    });
}

/// Records that the address of a backend server refuses connections, if the links of this VM still hold a little later.
pub(crate) fn confirm_refusal(inner: &Rc<Inner>, key: BackendKey, of: &Incarnation) {
    let (inner, of) = (Rc::clone(inner), of.clone());
    let service = inner.fleet.borrow().service(key).to_owned();
    actix_rt::spawn(async move {
        if is_confirmed(&inner, &service, key, &of).await {
            inner.suspect_tracker.note_refused_connection(&of, inner.now_ms());
        }
    });
}

/// Tests the links to a service again after a while.
async fn is_confirmed(inner: &Rc<Inner>, service: &str, key: BackendKey, of: &Incarnation) -> bool {
    tokio::time::sleep(Duration::from_millis(CONFIRM_AFTER_MS)).await;
    // The backend server may have been dropped meanwhile, and its key may stand for another.
    let failed = inner.fleet.borrow().holds(key, of).then_some(key);
    links::find_service_cause(inner, service, failed).await == FailureCause::Backend
}
