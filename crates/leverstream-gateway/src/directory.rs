use std::net::SocketAddr;

use leverstream_member::Member;

use crate::gateway::Inner;

/// The addresses that a caller near a hall should use.
///
/// Those in its hall if there are any; else all. A VM that knows no other names itself. One that has just
/// started names nobody: callers who hold an older answer go on with it, and were the whole fleet to start
/// anew, each VM would first name others that know as little as itself.
pub(crate) fn addresses(inner: &Inner, hall: &str) -> Vec<SocketAddr> {
    if !inner.mesh.is_directory_ready(inner.now_ms()) {
        return Vec::new();
    }
    let entry = inner.mesh.entry_set.members();
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
