use std::collections::HashMap;

use leverstream_peer::ServiceVersion;

/// Versions of services that still have to be told to others.
///
/// Each is told a number of times that grows with the logarithm of the fleet, as in rumour
/// mongering; what is missed all the same is found by comparing fingerprints.
#[derive(Clone, Debug, Default)]
pub struct News {
    /// The highest version to tell and how often it was told, by service.
    items: HashMap<String, Item>,
}

/// One piece of news.
#[derive(Clone, Copy, Debug)]
struct Item {
    /// The version of the service.
    version: u64,
    /// How often it was told.
    told: u32,
}

impl News {
    /// Adds a version; an older one of the same service is no longer told.
    pub fn add(&mut self, service: &str, version: u64) {
        let item = self.items.entry(service.to_owned()).or_insert(Item { version, told: 0 });
        if item.version < version {
            *item = Item { version, told: 0 };
        }
    }

    /// Takes the least told news, at most `count`, and forgets what was told `limit` times.
    pub fn take(&mut self, count: usize, limit: u32) -> Vec<ServiceVersion> {
        let mut services: Vec<(u32, String)> =
            self.items.iter().map(|(service, item)| (item.told, service.clone())).collect();
        services.sort_unstable();
        let mut taken = Vec::new();
        for (_, service) in services.into_iter().take(count) {
            let Some(item) = self.items.get_mut(&service) else { continue };
            item.told += 1;
            let (version, is_old) = (item.version, item.told >= limit);
            if is_old {
                self.items.remove(&service);
            }
            taken.push(ServiceVersion { service, version });
        }
        taken
    }

    /// Tells whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }
}
