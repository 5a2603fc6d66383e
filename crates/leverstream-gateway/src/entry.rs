use std::net::SocketAddr;

use leverstream_member::{Member, Placement};

use crate::gateway::Inner;

/// The name under which the VMs that take callers are chosen.
const ENTRY_SET: &str = "entry";

/// Chooses the VMs that take callers among the members, so many a hall.
pub(crate) fn choose(members: &[Member], vms_a_hall: usize) -> Vec<Member> {
    let mut halls: Vec<&str> = members.iter().map(|member| member.identity.hall.as_str()).collect();
    halls.sort_unstable();
    halls.dedup();
    let size = vms_a_hall * halls.len();
    let (_, chosen) = Placement::choose(ENTRY_SET, members, size);
    chosen.into_iter().cloned().collect()
}

/// The addresses that a caller near a hall should use.
///
/// Those in its hall if there are any; else all. A VM that knows no other names itself.
pub(crate) fn addresses(inner: &Inner, hall: &str) -> Vec<SocketAddr> {
    let entry = inner.mesh.entry();
    let alive: Vec<&Member> = entry.iter().filter(|member| member.takes_callers()).collect();
    let near = alive.iter().filter(|member| member.identity.hall == hall);
    let mut addresses: Vec<SocketAddr> =
        near.map(|member| member.identity.caller_address).collect();
    if addresses.is_empty() {
        addresses = alive.iter().map(|member| member.identity.caller_address).collect();
    }
    if addresses.is_empty() && inner.is_ready() {
        addresses.push(inner.settings.listen.callers);
    }
    addresses
}
