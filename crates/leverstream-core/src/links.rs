//! What a VM knows of its own links to backend servers, and which VMs it passes requests on to while
//! it has lost them.
//!
//! A VM that cannot connect to the backend servers of a service has either met an outage of the
//! service or lost its own links. Other VMs decide: the links are lost if another VM opens a
//! connection where this one cannot. Each service is judged alone, as a path may be lost to some
//! services only.

use std::collections::HashMap;
use std::net::SocketAddr;

/// How long connections must succeed before lost links count as regained, in milliseconds.
const REGAIN_MS: u64 = 1_500;

/// The time since links were regained within which another loss doubles the time that they take to
/// be regained, in milliseconds.
const FLAP_WINDOW_MS: u64 = 30_000;

/// The maximum number of doublings: links that flap for long are regained after 12 s.
const MAX_DOUBLINGS: u32 = 3;

/// How long a VM's answer that it reaches backend servers stays valid, in milliseconds: three
/// questions may get lost.
const HELPER_VALID_MS: u64 = 1_200;

/// The requests in progress that a VM of another data hall must have less than one of the own hall
/// to be chosen before it, as traffic between halls is billed.
const FAR_HELPER_PENALTY: u32 = 8;

/// The requests in progress that a VM outside the entry set must have less than an entry VM to be
/// chosen before it. Entry VMs tell each other what they see of backend servers; the others know
/// little.
const OUTSIDER_PENALTY: u32 = 24;

/// The links of a VM to the backend servers of all services.
#[derive(Debug, Default)]
pub struct Links {
    /// The services whose links were lost at least once.
    services: HashMap<String, ServiceLinks>,
    /// The requests passed on and not answered yet, by VM.
    passed_on: HashMap<SocketAddr, u32>,
}

/// The links to the backend servers of one service.
#[derive(Debug, Default)]
struct ServiceLinks {
    /// Whether they are lost.
    is_lost: bool,
    /// Since when connections have succeeded while the links count as lost.
    opens_since_ms: Option<u64>,
    /// When they were last regained.
    regained_ms: Option<u64>,
    /// How often the time to regain them has doubled.
    doublings: u32,
    /// The VMs that reach the backend servers, by callers' address.
    helpers: HashMap<SocketAddr, Helper>,
}

/// A VM that reaches backend servers which this one does not.
#[derive(Clone, Copy, Debug)]
struct Helper {
    /// When it last said so.
    heard_ms: u64,
    /// The callers' requests that it had in progress then.
    in_flight: u32,
    /// Whether it is in another data hall.
    is_far: bool,
    /// Whether it is in the entry set.
    is_entry_vm: bool,
}

/// A VM's answer to the question whether it reaches backend servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HelperAnswer {
    /// The address at which it takes requests.
    pub address: SocketAddr,
    /// Whether it opened a connection.
    pub is_reached: bool,
    /// The callers' requests that it has in progress.
    pub in_flight: u32,
    /// Whether it is in another data hall.
    pub is_far: bool,
    /// Whether it is in the entry set.
    pub is_entry_vm: bool,
}

/// The VM that a request is passed on to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayTarget {
    /// The address at which it takes requests.
    pub address: SocketAddr,
    /// Whether it is in another data hall.
    pub is_far: bool,
}

impl Links {
    /// Tells whether this VM's own links to the backend servers of a service are lost.
    pub fn is_lost(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|links| links.is_lost)
    }

    /// Returns the services whose links are lost.
    pub fn lost(&self) -> impl Iterator<Item = &str> {
        let lost = self.services.iter().filter(|(_, links)| links.is_lost);
        lost.map(|(service, _)| service.as_str())
    }

    /// Records that another VM reaches backend servers of a service to which this one cannot
    /// connect; returns whether the links were not lost before.
    pub fn note_lost(&mut self, service: &str, now_ms: u64) -> bool {
        let links = self.services.entry(service.to_owned()).or_default();
        if links.is_lost {
            return false;
        }
        let is_flapping = links
            .regained_ms
            .is_some_and(|regained_ms| now_ms.saturating_sub(regained_ms) < FLAP_WINDOW_MS);
        links.doublings = if is_flapping { (links.doublings + 1).min(MAX_DOUBLINGS) } else { 0 };
        links.is_lost = true;
        links.opens_since_ms = None;
        true
    }

    /// Records whether this VM opened a connection to a backend server of a service whose links are
    /// lost; returns whether the links are thereby regained.
    pub fn note_probe(&mut self, service: &str, is_opened: bool, now_ms: u64) -> bool {
        let Some(links) = self.services.get_mut(service).filter(|links| links.is_lost) else {
            return false;
        };
        if !is_opened {
            links.opens_since_ms = None;
            return false;
        }
        let since_ms = *links.opens_since_ms.get_or_insert(now_ms);
        if now_ms.saturating_sub(since_ms) < REGAIN_MS << links.doublings {
            return false;
        }
        links.is_lost = false;
        links.regained_ms = Some(now_ms);
        links.helpers.clear();
        true
    }

    /// Records another VM's answer whether it reaches backend servers of a service.
    pub fn note_helper(&mut self, service: &str, answer: HelperAnswer, now_ms: u64) {
        let HelperAnswer { address, is_reached, in_flight, is_far, is_entry_vm } = answer;
        let links = self.services.entry(service.to_owned()).or_default();
        if is_reached {
            let helper = Helper { heard_ms: now_ms, in_flight, is_far, is_entry_vm };
            links.helpers.insert(address, helper);
        } else {
            links.helpers.remove(&address);
        }
    }

    /// Forgets the answers about a service whose links are not lost: they were about backend servers
    /// that this VM may reach.
    pub fn forget_helpers(&mut self, service: &str) {
        if let Some(links) = self.services.get_mut(service).filter(|links| !links.is_lost) {
            links.helpers.clear();
        }
    }

    /// Returns the VMs that have said lately that they reach backend servers of a service.
    pub fn helpers(&self, service: &str, now_ms: u64) -> Vec<SocketAddr> {
        self.valid_helpers(service, now_ms).map(|(address, _)| address).collect()
    }

    /// Chooses the VM that a request for a service is passed on to: the one with the fewest requests
    /// in progress, entry VMs and near ones first; none if no VM has said lately that it reaches backend servers.
    pub fn choose_helper(
        &self,
        service: &str,
        tried: &[SocketAddr],
        now_ms: u64,
    ) -> Option<RelayTarget> {
        let helpers = self.valid_helpers(service, now_ms);
        let untried = helpers.filter(|(address, _)| !tried.contains(address));
        let load = |(address, helper): &(SocketAddr, Helper)| {
            let far = if helper.is_far { FAR_HELPER_PENALTY } else { 0 };
            let outsider = if helper.is_entry_vm { 0 } else { OUTSIDER_PENALTY };
            helper.in_flight + self.passed_on.get(address).copied().unwrap_or(0) + far + outsider
        };
        // Equal loads are ordered by the address, so that the choice is deterministic.
        let chosen = untried.min_by_key(|helper| (load(helper), helper.0));
        chosen.map(|(address, helper)| RelayTarget { address, is_far: helper.is_far })
    }

    /// Records that a request is passed on to a VM.
    pub fn begin_relay(&mut self, to: SocketAddr) {
        *self.passed_on.entry(to).or_default() += 1;
    }

    /// Records the end of a request that was passed on to a VM.
    pub fn end_relay(&mut self, to: SocketAddr) {
        if let Some(count) = self.passed_on.get_mut(&to) {
            *count -= 1;
            if *count == 0 {
                self.passed_on.remove(&to);
            }
        }
    }

    /// Iterates over the helpers of a service whose answers are still valid.
    fn valid_helpers(
        &self,
        service: &str,
        now_ms: u64,
    ) -> impl Iterator<Item = (SocketAddr, Helper)> {
        let helpers = self.services.get(service).into_iter().flat_map(|links| &links.helpers);
        let is_valid =
            move |helper: &Helper| now_ms.saturating_sub(helper.heard_ms) < HELPER_VALID_MS;
        helpers
            .map(|(address, helper)| (*address, *helper))
            .filter(move |(_, helper)| is_valid(helper))
    }
}
