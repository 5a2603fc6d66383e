//! The local replica of the table and its comparison with those of other VMs.

use std::collections::HashMap;
use std::sync::Arc;

use leverstream_peer::{ServiceObject, ServiceVersion};
use leverstream_table::{ServiceDoc, fingerprint};

/// The number of hash buckets by which two replicas are compared.
pub const BUCKET_COUNT: usize = 64;

/// The replica of the table in this process: for each service the highest version received.
#[derive(Default)]
pub struct TableReplica {
    /// The documents by service.
    docs: Arc<HashMap<String, Arc<ServiceDoc>>>,
    /// The sum of the fingerprints of service and version, by bucket.
    buckets: Vec<u64>,
}

impl TableReplica {
    /// Creates an empty replica.
    pub fn new() -> TableReplica {
        TableReplica { docs: Arc::default(), buckets: vec![0; BUCKET_COUNT] }
    }

    /// Stores a document if it is newer than the present one; returns whether it was.
    pub fn merge(&mut self, doc: ServiceDoc) -> bool {
        let current = self.version(&doc.service);
        if doc.version <= current {
            return false;
        }
        let bucket = &mut self.buckets[bucket_of(&doc.service)];
        if current > 0 {
            *bucket = bucket.wrapping_sub(fingerprint(&doc.service, current));
        }
        *bucket = bucket.wrapping_add(fingerprint(&doc.service, doc.version));
        Arc::make_mut(&mut self.docs).insert(doc.service.clone(), Arc::new(doc));
        true
    }

    /// Returns all documents by service, those of removed services too.
    pub fn docs(&self) -> &Arc<HashMap<String, Arc<ServiceDoc>>> {
        &self.docs
    }

    /// Returns a service's document, also if the service is removed.
    pub fn doc(&self, service: &str) -> Option<&Arc<ServiceDoc>> {
        self.docs.get(service)
    }

    /// Returns the version of a service; 0 if there is no document.
    pub fn version(&self, service: &str) -> u64 {
        self.docs.get(service).map_or(0, |doc| doc.version)
    }

    /// Returns a fingerprint that is equal for replicas with the same versions.
    pub fn fingerprint(&self) -> u64 {
        self.buckets.iter().fold(0, |sum, bucket| sum.wrapping_add(*bucket))
    }

    /// Returns the sums by bucket, which show where two replicas differ.
    pub fn buckets(&self) -> &[u64] {
        &self.buckets
    }

    /// Returns the versions in the buckets whose sums differ from the given ones.
    ///
    /// Returns all versions if no sums are given.
    pub fn versions_differing(&self, buckets: &[u64]) -> Vec<ServiceVersion> {
        let differs = |service: &str| {
            let bucket = bucket_of(service);
            buckets.get(bucket) != Some(&self.buckets[bucket])
        };
        let docs = self.docs.values().filter(|doc| differs(&doc.service));
        docs.map(|doc| ServiceVersion { service: doc.service.clone(), version: doc.version })
            .collect()
    }

    /// Returns the services of which the list has a newer version.
    pub fn outdated(&self, versions: &[ServiceVersion]) -> Vec<String> {
        let newer = versions.iter().filter(|item| item.version > self.version(&item.service));
        newer.map(|item| item.service.clone()).collect()
    }

    /// Returns the documents of the named services as messages.
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

/// Returns the bucket of a service.
fn bucket_of(service: &str) -> usize {
    (fingerprint(service, 0) % BUCKET_COUNT as u64) as usize
}
