//! The planned stop of this VM, as the requests see it.

use std::cell::Cell;
use std::future::Future;
use std::time::Duration;

use leverstream_core::{Liveness, RouteKey, StopArrival, StopPeriod};
use leverstream_error::Kind;
use tokio::sync::Notify;

use crate::gateway::Inner;
use crate::mesh::TICK_MS;

/// The time between two ticks from which the process has stood still: on a busy machine ticks are late by less.
const MAX_TICK_GAP_MS: u64 = 2 * TICK_MS;

/// Whether a planned stop has begun.
#[derive(Default)]
pub(crate) struct StopState {
    /// When the process ran.
    liveness: Cell<Liveness>,
    /// Its period, once it has begun.
    period: Cell<Option<StopPeriod>>,
    /// Notified when it begins.
    began: Notify,
    /// Whether the listeners are closed.
    are_listeners_closed: Cell<bool>,
    /// Notified when they are to be closed.
    listeners_closing: Notify,
}

impl StopState {
    /// Returns the period of the stop, if it has begun.
    pub fn period(&self) -> Option<StopPeriod> {
        self.period.get()
    }

    /// Tells whether the stop has begun.
    pub fn has_begun(&self) -> bool {
        self.period.get().is_some()
    }

    /// Records that the process runs, at each tick.
    pub fn note_tick(&self, now_ms: u64) {
        self.liveness.set(self.liveness.get().ticked(MAX_TICK_GAP_MS, now_ms));
    }

    /// Begins the stop for a signal that is noticed now, and returns its period.
    pub fn begin(&self, grace_ms: u64, now_ms: u64) -> StopPeriod {
        let since_ms = self.liveness.get().signal_since_ms(MAX_TICK_GAP_MS, now_ms);
        let period = StopPeriod { since_ms, grace_ms };
        self.period.set(Some(period));
        self.began.notify_waiters();
        period
    }

    /// Closes the listeners, which first accept what has connected.
    pub fn close_listeners(&self) {
        self.are_listeners_closed.set(true);
        self.listeners_closing.notify_waiters();
    }

    /// Waits until the listeners are to be closed.
    pub async fn until_listeners_close(&self) {
        loop {
            let closing = self.listeners_closing.notified();
            if self.are_listeners_closed.get() {
                return;
            }
            closing.await;
        }
    }

    /// Waits until the stop begins.
    async fn until_begun(&self) -> StopPeriod {
        loop {
            let began = self.began.notified();
            match self.period.get() {
                Some(period) => return period,
                None => began.await,
            }
        }
    }
}

/// Refuses a request that arrives during a stop and doesn't fit into it.
pub(crate) fn check_arrival(
    inner: &Inner,
    route: RouteKey,
    arrived_ms: u64,
    deadline_ms: u64,
) -> Result<(), Kind> {
    let Some(period) = inner.stop.period() else { return Ok(()) };
    let median_ms = inner.fleet.borrow().route(route).latency.median_ms();
    let arrival = StopArrival { arrived_ms, deadline_ms, median_ms };
    if period.accepts(arrival, inner.now_ms()) { Ok(()) } else { Err(Kind::Stopping) }
}

/// Refuses to send a request that the end of a stop would probably cut, however long ago it arrived.
pub(crate) fn check_send(inner: &Inner, route: RouteKey) -> Result<(), Kind> {
    let Some(period) = inner.stop.period() else { return Ok(()) };
    let fleet = inner.fleet.borrow();
    let may_send = period.may_send(&fleet.route(route).latency, inner.now_ms());
    if may_send { Ok(()) } else { Err(Kind::Stopping) }
}

/// Waits for something that comes before a request is sent, until shortly before a stop ends: then the caller still gets its
/// answer.
pub(crate) async fn or_refuse<T, E: From<Kind>>(
    inner: &Inner,
    future: impl Future<Output = Result<T, E>>,
) -> Result<T, E> {
    tokio::select! {
        biased;
        result = future => result,
        () = until_last_refusals(inner) => Err(Kind::Stopping.into()),
    }
}

/// Waits until a stop is about to end.
async fn until_last_refusals(inner: &Inner) {
    let at_ms = inner.stop.until_begun().await.last_refusals_ms();
    tokio::time::sleep(Duration::from_millis(at_ms.saturating_sub(inner.now_ms()))).await;
}
