//! The receivers of a message, grouped by data hall.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::Rng;
use rand::seq::IndexedRandom;

use crate::{Identity, Member};

/// The peer addresses of the VMs that receive a message from one VM, by data hall.
///
/// Traffic between halls costs money and must not grow with the number of their VMs. A VM therefore
/// sends to one VM of each other hall, which forwards within its own hall where needed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeersByHall {
    /// The VMs of the sender's own hall.
    pub near: Vec<SocketAddr>,
    /// The VMs of each other hall.
    pub far: Vec<Vec<SocketAddr>>,
}

impl PeersByHall {
    /// Groups the given members by hall, without the sender itself.
    pub fn of<'a>(me: &Identity, members: impl IntoIterator<Item = &'a Member>) -> PeersByHall {
        let mut halls: BTreeMap<&str, Vec<SocketAddr>> = BTreeMap::new();
        let others = members.into_iter().map(|member| &member.identity);
        for other in others.filter(|other| other.id != me.id) {
            halls.entry(&other.hall).or_default().push(other.peer_address);
        }
        let near = halls.remove(me.hall.as_str()).unwrap_or_default();
        PeersByHall { near, far: halls.into_values().collect() }
    }

    /// Returns all addresses, those of the own hall first.
    pub fn all(&self) -> Vec<SocketAddr> {
        self.near.iter().chain(self.far.iter().flatten()).copied().collect()
    }

    /// Returns one random address of each other hall.
    pub fn relays(&self, rng: &mut impl Rng) -> Vec<SocketAddr> {
        self.far.iter().filter_map(|hall| hall.choose(rng).copied()).collect()
    }

    /// Returns all addresses if there are at most `limit`; otherwise `limit` random ones of the own
    /// hall and one of each other hall.
    pub fn sample(&self, limit: usize, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let all = self.all();
        if all.len() <= limit {
            return all;
        }
        let near = self.near.choose_multiple(rng, limit).copied();
        let mut sample: Vec<SocketAddr> = near.collect();
        sample.extend(self.relays(rng));
        sample
    }
}
