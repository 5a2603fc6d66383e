//! How recent this VM's knowledge of the store is: what it reports to other VMs and takes from them, and the log and the
//! metric of its age.

use std::rc::Rc;
use std::time::Duration;

use leverstream_core::Confirmation;
use leverstream_peer as peer;
use tracing::{info, warn};

use crate::gateway::Inner;

/// The age from which on knowledge counts as old, in milliseconds: half of the time in which a change has to be in force.
const OLD_MS: u64 = 1_000;

/// The interval between two looks at the age, in milliseconds.
const OBSERVE_INTERVAL_MS: u64 = 100;

/// Records an answered call to the store after which this VM knows all changes up to a revision.
pub(crate) fn record_read(inner: &Inner, revision: u64, asked_ms: u64) {
    inner.freshness.borrow_mut().record_read(revision, asked_ms);
}

/// Notes that a read of this VM that was sent at a time has been answered, before what it holds is applied: after an outage of the store
/// removals are held back.
pub(crate) fn note_answer(inner: &Inner, asked_ms: u64) {
    let freshness = inner.freshness.borrow();
    let now_ms = inner.now_ms();
    let Some(until_ms) = freshness.removal_hold_ms(asked_ms, now_ms) else { return };
    let (age_ms, unanswered_for_ms) =
        (freshness.age_ms(asked_ms), freshness.unanswered_for_ms(asked_ms));
    let refused_ms = freshness.refused_ms(asked_ms);
    let for_ms = until_ms.saturating_sub(now_ms);
    info!(age_ms, unanswered_for_ms, refused_ms, for_ms, "removals are held back after an outage");
    inner.fleet.borrow_mut().hold_removals(until_ms);
}

/// Returns what confirms this VM's knowledge, for other VMs.
pub(crate) fn report(inner: &Inner) -> Option<peer::Confirmation> {
    let freshness = inner.freshness.borrow();
    let Confirmation { reader, number, revision, .. } = freshness.latest()?;
    let age_ms = freshness.age_ms(inner.now_ms())?;
    let age_ms = u32::try_from(age_ms).unwrap_or(u32::MAX);
    let hold_left_ms = inner.fleet.borrow().hold_left_ms(inner.now_ms());
    let hold_left_ms = u32::try_from(hold_left_ms).unwrap_or(u32::MAX);
    Some(peer::Confirmation { reader, number, revision, age_ms, hold_left_ms, pass_on: false })
}

/// Adopts what confirms another VM's knowledge, as received at a time, if this VM knows as much as that one. It forwards
/// the report to the others of its data hall if it is asked to.
pub(crate) fn apply_report(inner: &Inner, standing: &peer::Standing, received_ms: u64) {
    let Some(report) = standing.confirmation else { return };
    let peer::Confirmation { reader, number, revision, age_ms, hold_left_ms, pass_on } = report;
    if !inner.freshness.borrow().is_news(reader, number) {
        return;
    }
    let at_ms = received_ms.saturating_sub(age_ms.into());
    // A VM that saw the store answer all the while has nothing to hold back.
    if hold_left_ms > 0 && inner.freshness.borrow().is_behind(at_ms) {
        info!(
            reader,
            for_ms = hold_left_ms,
            "removals are held back after an outage that another VM noticed"
        );
        inner.fleet.borrow_mut().hold_removals(received_ms + u64::from(hold_left_ms));
    }
    // This ends an outage even if the changes that the report covers have not been fetched yet.
    inner.freshness.borrow_mut().note_store_answered(at_ms);
    let catalog_version = inner.catalog().map_or(0, |catalog| catalog.version);
    if catalog_version < standing.catalog_version
        || !inner.fleet.borrow_mut().confirm_unchanged(standing.backends_revision, revision)
    {
        return;
    }
    inner.freshness.borrow_mut().record_report(Confirmation { reader, number, revision, at_ms });
    if pass_on {
        inner.mesh.pass_on_confirmation(inner);
    }
}

/// Observes the age for as long as the process runs: sets its metric, and logs when the knowledge becomes old and when it
/// is recent again.
pub(crate) async fn observe(inner: Rc<Inner>) {
    let mut is_old = false;
    loop {
        tokio::time::sleep(Duration::from_millis(OBSERVE_INTERVAL_MS)).await;
        let now_ms = inner.now_ms();
        let pending_calls = inner.store_calls.pending();
        inner.meters.store_pending.set(pending_calls as i64);
        let freshness = inner.freshness.borrow();
        let Some(age_ms) = freshness.age_ms(now_ms) else { continue };
        inner.meters.store_age_seconds.set(age_ms as f64 / 1_000.0);
        let was_old = std::mem::replace(&mut is_old, age_ms >= OLD_MS);
        let revision = freshness.revision();
        let reader = freshness.latest().map(|latest| latest.reader);
        match (was_old, is_old) {
            (false, true) => {
                warn!(age_ms, revision, reader, pending_calls, "knowledge of the store is old");
            }
            (true, false) => {
                info!(age_ms, revision, reader, "knowledge of the store is recent");
            }
            _ => {}
        }
    }
}
