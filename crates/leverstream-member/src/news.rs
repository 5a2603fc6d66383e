use std::collections::HashMap;

/// Versions of named things, such as services, that still have to be told to others.
///
/// Each is told a number of times that grows with the logarithm of the fleet, as in rumour
/// mongering; what is missed all the same is found by comparing fingerprints.
#[derive(Clone, Debug, Default)]
pub struct News {
    /// The highest version to tell and how often it was told, by name.
    items: HashMap<String, Item>,
}

/// One piece of news.
#[derive(Clone, Copy, Debug)]
struct Item {
    /// The version.
    version: u64,
    /// How often it was told.
    told: u32,
}

impl News {
    /// Adds a version; an older one of the same name is no longer told.
    pub fn add(&mut self, name: &str, version: u64) {
        let item = self.items.entry(name.to_owned()).or_insert(Item { version, told: 0 });
        if item.version < version {
            *item = Item { version, told: 0 };
        }
    }

    /// Takes the least told news, at most `count`, and forgets what was told `limit` times.
    pub fn take(&mut self, count: usize, limit: u32) -> Vec<(String, u64)> {
        let mut names: Vec<(u32, String)> =
            self.items.iter().map(|(name, item)| (item.told, name.clone())).collect();
        names.sort_unstable();
        let mut taken = Vec::new();
        for (_, name) in names.into_iter().take(count) {
            let Some(item) = self.items.get_mut(&name) else { continue };
            item.told += 1;
            let (version, is_old) = (item.version, item.told >= limit);
            if is_old {
                self.items.remove(&name);
            }
            taken.push((name, version));
        }
        taken
    }
}
