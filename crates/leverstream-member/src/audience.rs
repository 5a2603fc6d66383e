use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::Rng;
use rand::seq::IndexedRandom;

use crate::{Identity, Member};

/// Where the VMs listen that one VM tells something, by data hall.
///
/// What a VM sends to other halls is paid for and must not grow with their VMs: it tells one of each, which tells its own
/// hall where that matters.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Audience {
    /// Those of the VM's own hall.
    pub near: Vec<SocketAddr>,
    /// Those of each other hall.
    pub far: Vec<Vec<SocketAddr>>,
}

impl Audience {
    /// All of some members but the VM itself.
    pub fn of<'a>(me: &Identity, members: impl IntoIterator<Item = &'a Member>) -> Audience {
        let mut halls: BTreeMap<&str, Vec<SocketAddr>> = BTreeMap::new();
        let others = members.into_iter().map(|member| &member.identity);
        for other in others.filter(|other| other.id != me.id) {
            halls.entry(&other.hall).or_default().push(other.peer_address);
        }
        let near = halls.remove(me.hall.as_str()).unwrap_or_default();
        Audience { near, far: halls.into_values().collect() }
    }

    /// All of them, the near ones first.
    pub fn all(&self) -> Vec<SocketAddr> {
        self.near.iter().chain(self.far.iter().flatten()).copied().collect()
    }

    /// One of each other hall, chosen by chance.
    pub fn relays(&self, rng: &mut impl Rng) -> Vec<SocketAddr> {
        self.far.iter().filter_map(|hall| hall.choose(rng).copied()).collect()
    }

    /// All if there are no more than so many; else so many near ones, chosen by chance, and one of each other hall.
    pub fn some(&self, limit: usize, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let all = self.all();
        if all.len() <= limit {
            return all;
        }
        let near = self.near.choose_multiple(rng, limit).copied();
        let mut some: Vec<SocketAddr> = near.collect();
        some.extend(self.relays(rng));
        some
    }
}
