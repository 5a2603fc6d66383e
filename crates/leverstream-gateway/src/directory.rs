//! Selects the gateway addresses that callers connect to.

use std::net::SocketAddr;

use leverstream_member::Member;

use crate::gateway::Inner;

/// These are the VMs of the hall, or all VMs if the hall has none. A VM that knows no other returns
/// itself once it is ready. A VM that has just started returns nothing: callers that have an older
/// answer keep using it, and if the whole fleet restarted, each VM would first return others that
/// know as little as itself.
pub(crate) fn addresses(inner: &Inner, hall: &str) -> Vec<SocketAddr> {
    if !inner.mesh.is_directory_ready(inner.now_ms()) {
        return Vec::new();
    }
    let entry = inner.mesh.entry_set.members();
    let alive: Vec<&Member> = entry.iter().filter(|member| member.takes_callers()).collect();
    let in_hall = alive.iter().filter(|member| member.identity.hall == hall);
    let mut addresses: Vec<SocketAddr> =
        in_hall.map(|member| member.identity.caller_address).collect();
    if addresses.is_empty() {
        addresses = alive.iter().map(|member| member.identity.caller_address).collect();
    }
    if addresses.is_empty() && inner.is_ready() {
        addresses.push(inner.settings.listen.callers);
    }
    addresses
}
