//! How recent a VM's knowledge of the platform's store is.
//!
//! A VM knows the store up to a revision, and this knowledge is confirmed as of the moment at which a call to the store was
//! sent that has been answered since: its own call, or one whose result another VM has reported. Whatever keeps calls from
//! being answered, or results from being passed on, shows as an age that grows.
//!
//! The age alone decides who reads the store: the VM that read it last goes on at a short interval, and where it fails to
//! confirm, the others follow in a fixed order, whatever the reason.

use std::collections::HashMap;

/// The maximum number of VMs whose last read is remembered. Few VMs read the store at a time.
const MAX_READERS: usize = 64;

/// The interval at which the VM that read the store last reads it again, in milliseconds. A change has to be in force within
/// two seconds; this leaves time for another VM to take over and for the way to the other VMs.
const READ_INTERVAL_MS: u64 = 400;

/// How much later each further VM reads, in milliseconds, if the knowledge has not been confirmed by then. It exceeds the
/// time from a read until all VMs know of it. In an outage each VM reads at the latest after one round at this step.
const RANK_STEP_MS: u64 = 50;

/// A time without any answered read from which on a store that refused calls was away, in milliseconds: in less, another VM
/// reads a store that refuses some of them.
const MIN_REFUSING_MS: u64 = 700;

/// The same for a store that left calls unanswered: these may have been lost with their connections.
const MIN_SILENT_MS: u64 = 1_500;

/// How long a VM must have sent reads in vain to distinguish an outage of the store from its own absence, in milliseconds: a VM
/// that was suspended has no answers either, but sent nothing.
const MIN_TRIED_MS: u64 = 300;

/// The time without an answered read of any VM after which a VM that has sent none itself takes the store for unavailable, in
/// milliseconds. Entries expire after this time, and the eighty VMs that rank before it have failed by then.
const MIN_UNCONFIRMED_MS: u64 = 4_500;

/// The maximum time between two checks of a process that was not suspended in between, in milliseconds.
const MAX_CHECK_GAP_MS: u64 = 1_000;

/// How long removals that are found after an outage are held back, in milliseconds: entries that expired because the store
/// was away are written again within two seconds.
const REMOVAL_HOLD_MS: u64 = 2_000;

/// The retry delay after an unanswered read while the reads of other VMs are answered, in milliseconds: this VM's connection to
/// the store may be broken.
const OWN_RETRY_MS: u64 = 2 * READ_INTERVAL_MS;

/// A read of the store on which a VM's knowledge rests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// The process that made the read.
    pub reader: u64,
    /// The number of the read among those of its process.
    pub number: u64,
    /// The store revision up to which all changes are known.
    pub revision: u64,
    /// When the call was sent, by this VM's clock, less the time that reports were under way.
    pub at_ms: u64,
}

/// The place of a VM in the order in which VMs read the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadTurn {
    /// The number of VMs before it.
    pub rank: usize,
    /// The number of all VMs.
    pub vms: usize,
}

/// When the first and the last of some unanswered reads were sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ReadSpan {
    /// The first one, in milliseconds.
    first_ms: u64,
    /// The last one, in milliseconds.
    last_ms: u64,
}

impl ReadSpan {
    /// Adds a read to a span, or starts one with it. Refusals may be noticed in another order than their reads were sent.
    fn extended(span: Option<ReadSpan>, sent_ms: u64) -> Option<ReadSpan> {
        let span = span.unwrap_or(ReadSpan { first_ms: sent_ms, last_ms: sent_ms });
        let ReadSpan { first_ms, last_ms } = span;
        Some(ReadSpan { first_ms: first_ms.min(sent_ms), last_ms: last_ms.max(sent_ms) })
    }

    /// Removes the reads sent up to `answered_ms`, when an answered read was sent. Of the later ones only the last is kept for sure.
    fn after(self, answered_ms: u64) -> Option<ReadSpan> {
        let is_after = |sent_ms: &u64| *sent_ms > answered_ms;
        let first_ms = [self.first_ms, self.last_ms].into_iter().find(is_after)?;
        Some(ReadSpan { first_ms, ..self })
    }
}

/// What confirms a VM's knowledge of the store.
///
/// It separates two conditions. An outage of the store ends with a later answer to any VM. A broken connection of this VM to the
/// store ends only with an answer to this VM.
#[derive(Clone, Debug)]
pub struct Freshness {
    /// The id of this process.
    own_id: u64,
    /// The number of this VM's answered reads.
    own_reads: u64,
    /// When this VM sent its last read.
    last_read_ms: Option<u64>,
    /// Whether this VM waits for the answer to a read, or got none.
    is_waiting: bool,
    /// The unanswered reads of this VM that were sent after the last read known to have been answered, to whichever VM.
    unanswered: Option<ReadSpan>,
    /// Those of them that the store refused.
    refused: Option<ReadSpan>,
    /// When the last read was sent that is known to have been answered, to whichever VM.
    answered_ms: Option<u64>,
    /// Since when this process has run without being suspended.
    running_since_ms: Option<u64>,
    /// When [`Freshness::note_running`] was last called.
    last_check_ms: u64,
    /// The latest read.
    latest: Option<Confirmation>,
    /// The number of the last read of each VM, with when it was sent.
    reads: HashMap<u64, (u64, u64)>,
}

impl Freshness {
    /// Starts without any knowledge.
    pub fn open(own_id: u64) -> Freshness {
        Freshness {
            own_id,
            own_reads: 0,
            last_read_ms: None,
            is_waiting: false,
            unanswered: None,
            refused: None,
            answered_ms: None,
            running_since_ms: None,
            last_check_ms: 0,
            latest: None,
            reads: HashMap::new(),
        }
    }

    /// Returns the read on which the knowledge rests, if any.
    pub fn latest(&self) -> Option<Confirmation> {
        self.latest
    }

    /// Returns the store revision up to which all changes are known.
    pub fn revision(&self) -> u64 {
        self.latest.map_or(0, |latest| latest.revision)
    }

    /// Returns how long ago the knowledge was confirmed; none if it never was.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.latest.map(|latest| now_ms.saturating_sub(latest.at_ms))
    }

    /// Tells whether the knowledge rests on this VM's own read.
    pub fn is_reader(&self) -> bool {
        self.latest.is_some_and(|latest| latest.reader == self.own_id)
    }

    /// Returns when this VM is to read the store, by its rank among all VMs. The VM that read last ranks before all others.
    ///
    /// In an outage the retry delay grows with the rank, up to one round of all VMs at `RANK_STEP_MS`. This bounds the calls a second
    /// for any number of VMs, and the time until a read after the outage if the first VMs are cut off from the store. Once another
    /// VM has been answered, the outage is over and the delay is `OWN_RETRY_MS`.
    pub fn next_read_ms(&self, turn: ReadTurn) -> u64 {
        let steps = if self.is_reader() { 0 } else { turn.rank as u64 + 1 };
        let confirmed_ms = self.latest.map_or(0, |latest| latest.at_ms);
        let by_age_ms = confirmed_ms + READ_INTERVAL_MS + steps * RANK_STEP_MS;
        let pause_ms = match self.unanswered {
            Some(_) => {
                let round_ms = OWN_RETRY_MS.max(turn.vms as u64 * RANK_STEP_MS);
                round_ms.min(READ_INTERVAL_MS * (steps + 1))
            }
            None => OWN_RETRY_MS,
        };
        let unanswered_ms = self.last_read_ms.filter(|_| self.is_waiting);
        by_age_ms.max(unanswered_ms.map_or(0, |at_ms| at_ms + pause_ms))
    }

    /// Returns when this VM sent its last read.
    pub fn last_read_ms(&self) -> Option<u64> {
        self.last_read_ms
    }

    /// Records that this process runs, to recognize times in which it was suspended.
    pub fn note_running(&mut self, now_ms: u64) {
        if now_ms > self.last_check_ms + MAX_CHECK_GAP_MS {
            self.running_since_ms = Some(now_ms);
        }
        self.running_since_ms.get_or_insert(now_ms);
        self.last_check_ms = now_ms;
    }

    /// Records that this VM sends a read.
    pub fn begin_read(&mut self, now_ms: u64) {
        self.last_read_ms = Some(now_ms);
        self.is_waiting = true;
        self.unanswered = ReadSpan::extended(self.unanswered, now_ms);
    }

    /// Tells whether this VM waits for the answer to a read.
    pub fn is_waiting(&self) -> bool {
        self.is_waiting
    }

    /// Records that the store has refused a read of this VM that was sent at a time. A refusal that is noticed late is ignored if a
    /// later read is known to have been answered.
    pub fn record_refusal(&mut self, sent_ms: u64) {
        if self.answered_ms.is_none_or(|answered_ms| answered_ms < sent_ms) {
            self.refused = ReadSpan::extended(self.refused, sent_ms);
        }
    }

    /// Records that the store has answered a read of any VM that was sent at a time, which ends an outage that began before.
    pub fn note_store_answered(&mut self, sent_ms: u64) {
        self.answered_ms = self.answered_ms.max(Some(sent_ms));
        self.unanswered = self.unanswered.and_then(|span| span.after(sent_ms));
        self.refused = self.refused.and_then(|span| span.after(sent_ms));
    }

    /// Returns for how long the reads of this VM have been unanswered while no other VM's was answered, for the log.
    pub fn unanswered_for_ms(&self, now_ms: u64) -> Option<u64> {
        self.unanswered.map(|span| now_ms.saturating_sub(span.first_ms))
    }

    /// Returns for how long the store has refused this VM while no VM's read was answered, for the log.
    pub fn refused_ms(&self, now_ms: u64) -> Option<u64> {
        self.refused.map(|span| now_ms.saturating_sub(span.first_ms))
    }

    /// Returns until when removals are held back if a read of this VM that was sent at a time is the first answered one after
    /// an outage of the store.
    pub fn removal_hold_ms(&self, asked_ms: u64, now_ms: u64) -> Option<u64> {
        let has_tried = |span: Option<ReadSpan>| {
            span.is_some_and(|span| span.first_ms + MIN_TRIED_MS <= asked_ms)
        };
        let was_refused = has_tried(self.refused) && self.is_older(MIN_REFUSING_MS, asked_ms);
        let was_silent = has_tried(self.unanswered) && self.is_older(MIN_SILENT_MS, asked_ms);
        let has_run =
            self.running_since_ms.is_some_and(|since_ms| since_ms + MIN_UNCONFIRMED_MS <= asked_ms);
        let was_unconfirmed = has_run && self.is_older(MIN_UNCONFIRMED_MS, asked_ms);
        (was_refused || was_silent || was_unconfirmed).then_some(now_ms + REMOVAL_HOLD_MS)
    }

    /// Tells whether the knowledge was confirmed so long before a time that the store may have been away in between.
    pub fn is_behind(&self, at_ms: u64) -> bool {
        self.is_older(MIN_REFUSING_MS, at_ms)
    }

    /// Tells whether the knowledge was last confirmed at least some time before another.
    fn is_older(&self, than_ms: u64, at_ms: u64) -> bool {
        self.latest.is_some_and(|latest| latest.at_ms + than_ms <= at_ms)
    }

    /// Records an answered call of this VM after which all changes up to a revision are known.
    pub fn record_read(&mut self, revision: u64, asked_ms: u64) {
        self.own_reads += 1;
        self.is_waiting = false;
        self.note_store_answered(asked_ms);
        // The answer has arrived now, whenever it was asked for.
        self.unanswered = None;
        self.refused = None;
        self.adopt(Confirmation {
            reader: self.own_id,
            number: self.own_reads,
            revision,
            at_ms: asked_ms,
        });
    }

    /// Tells whether a read that another VM reports is not known yet.
    ///
    /// Each read counts once. If a report of a known read counted again, the time that it was under way would make the
    /// knowledge look newer with each further report.
    pub fn is_news(&self, reader: u64, number: u64) -> bool {
        reader != self.own_id && self.reads.get(&reader).is_none_or(|(last, _)| number > *last)
    }

    /// Adopts a read of another VM, after all that it covers has been applied; returns whether it was new.
    pub fn record_report(&mut self, confirmation: Confirmation) -> bool {
        let is_news = self.is_news(confirmation.reader, confirmation.number);
        if is_news {
            self.note_store_answered(confirmation.at_ms);
            self.adopt(confirmation);
        }
        is_news
    }

    /// Remembers a read, and rests the knowledge on it if it is the latest.
    fn adopt(&mut self, confirmation: Confirmation) {
        let Confirmation { reader, number, at_ms, .. } = confirmation;
        self.reads.insert(reader, (number, at_ms));
        if self.reads.len() > MAX_READERS {
            let oldest = self.reads.iter().min_by_key(|(_, (_, at_ms))| *at_ms);
            let oldest = oldest.map(|(reader, _)| *reader);
            oldest.and_then(|reader| self.reads.remove(&reader));
        }
        let revision = self.revision().max(confirmation.revision);
        if self.latest.is_none_or(|latest| latest.at_ms <= at_ms) {
            self.latest = Some(confirmation);
        }
        if let Some(latest) = &mut self.latest {
            latest.revision = revision;
        }
    }
}
