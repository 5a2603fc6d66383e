use std::collections::HashMap;
use std::sync::Arc;

use leverstream_peer::{ServiceObject, ServiceVersion};
use leverstream_table::{ServiceDoc, fingerprint};

/// How many buckets a table is compared by.
pub const BUCKETS: usize = 64;

/// The table as this process holds it: for each service the highest version it has seen.
#[derive(Default)]
pub struct Book {
    /// The documents by service.
    docs: Arc<HashMap<String, Arc<ServiceDoc>>>,
    /// Sums of the fingerprints of services and versions, by bucket.
    buckets: Vec<u64>,
}

impl Book {
    /// Opens an empty table.
    pub fn open() -> Book {
        Book { docs: Arc::default(), buckets: vec![0; BUCKETS] }
    }

    /// Takes a document in if it is newer than the one held.
    pub fn adopt(&mut self, doc: ServiceDoc) -> bool {
        let held = self.version(&doc.service);
        if doc.version <= held {
            return false;
        }
        let bucket = &mut self.buckets[bucket_of(&doc.service)];
        if held > 0 {
            *bucket = bucket.wrapping_sub(fingerprint(&doc.service, held));
        }
        *bucket = bucket.wrapping_add(fingerprint(&doc.service, doc.version));
        Arc::make_mut(&mut self.docs).insert(doc.service.clone(), Arc::new(doc));
        true
    }

    /// The documents.
    pub fn docs(&self) -> &Arc<HashMap<String, Arc<ServiceDoc>>> {
        &self.docs
    }

    /// Finds a document, that of a removed service too.
    pub fn doc(&self, service: &str) -> Option<&Arc<ServiceDoc>> {
        self.docs.get(service)
    }

    /// The version held of a service; 0 when none is.
    pub fn version(&self, service: &str) -> u64 {
        self.docs.get(service).map_or(0, |doc| doc.version)
    }

    /// A number that two processes share when they hold the same versions.
    pub fn fingerprint(&self) -> u64 {
        self.buckets.iter().fold(0, |sum, bucket| sum.wrapping_add(*bucket))
    }

    /// The sums by bucket, to find what differs.
    pub fn buckets(&self) -> &[u64] {
        &self.buckets
    }

    /// The versions held in the buckets whose sums differ from those given; all for none given.
    pub fn versions_differing(&self, buckets: &[u64]) -> Vec<ServiceVersion> {
        let differs = |service: &str| {
            let bucket = bucket_of(service);
            buckets.get(bucket) != Some(&self.buckets[bucket])
        };
        let docs = self.docs.values().filter(|doc| differs(&doc.service));
        docs.map(|doc| ServiceVersion { service: doc.service.clone(), version: doc.version })
            .collect()
    }

    /// The services of which newer versions are listed than the ones held.
    pub fn outdated(&self, versions: &[ServiceVersion]) -> Vec<String> {
        let newer = versions.iter().filter(|item| item.version > self.version(&item.service));
        newer.map(|item| item.service.clone()).collect()
    }

    /// The named documents as messages.
    pub fn objects(&self, services: &[String]) -> Vec<ServiceObject> {
        let docs = services.iter().filter_map(|service| self.docs.get(service));
        docs.map(|doc| ServiceObject {
            service: doc.service.clone(),
            version: doc.version,
            json: doc.to_json(),
        })
        .collect()
    }
}

/// The bucket of a service.
fn bucket_of(service: &str) -> usize {
    (fingerprint(service, 0) % BUCKETS as u64) as usize
}
