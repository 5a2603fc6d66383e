//! How recent a VM's knowledge of the platform's store is.
//!
//! A VM knows the store up to a revision, and this knowledge is confirmed as of the moment at which a call to the store was
//! sent that has been answered since: its own call, or one of another VM that told the result. Whatever keeps calls from
//! being answered, or results from being passed on, shows as an age that grows.

use std::collections::HashMap;

/// The maximum number of VMs whose last read is remembered. Few VMs read the store at a time.
const MAX_READERS: usize = 64;

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

/// What confirms a VM's knowledge of the store.
#[derive(Clone, Debug)]
pub struct Freshness {
    /// The id of this process.
    own_id: u64,
    /// The number of this VM's reads.
    own_reads: u64,
    /// The latest read.
    latest: Option<Confirmation>,
    /// The number of the last read of each VM, with when it was sent.
    reads: HashMap<u64, (u64, u64)>,
}

impl Freshness {
    /// Starts without any knowledge.
    pub fn open(own_id: u64) -> Freshness {
        Freshness { own_id, own_reads: 0, latest: None, reads: HashMap::new() }
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

    /// Records an answered call of this VM after which all changes up to a revision are known.
    pub fn record_read(&mut self, revision: u64, asked_ms: u64) {
        self.own_reads += 1;
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
    /// knowledge look newer with each report that goes round.
    pub fn is_news(&self, reader: u64, number: u64) -> bool {
        reader != self.own_id && self.reads.get(&reader).is_none_or(|(last, _)| number > *last)
    }

    /// Adopts a read of another VM, after all that it covers has been applied; returns whether it was new.
    pub fn record_report(&mut self, confirmation: Confirmation) -> bool {
        let is_news = self.is_news(confirmation.reader, confirmation.number);
        if is_news {
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
