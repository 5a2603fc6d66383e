//! Datagrams from strangers.

use leverstream_peer::{FleetKey, Packet, PacketError};
use proptest::prelude::*;

proptest! {
    #[test]
    fn only_whole_datagrams_of_the_fleet_are_read(sequence: u64, noise in prop::collection::vec(any::<u8>(), 0..2_000), at: usize) {
        let key = FleetKey::derive("the fleet's own secret");
        let packet = Packet { sequence, ..Packet::default() };
        let sealed = key.seal(&packet);
        prop_assert_eq!(key.unseal(&sealed), Ok(packet));
        prop_assert_eq!(FleetKey::derive("another").unseal(&sealed), Err(PacketError::Tag));
        let mut altered = sealed.clone();
        let index = at % altered.len();
        altered[index] ^= 1;
        prop_assert!(key.unseal(&altered).is_err());
        prop_assert!(key.unseal(&sealed[..sealed.len() - 1]).is_err());
        prop_assert!(key.unseal(&noise).is_err());
    }
}

#[test]
fn the_token_is_the_fleets_alone() {
    let key = FleetKey::derive("the fleet's own secret");
    assert!(key.accepts(key.token()));
    assert!(!key.accepts(FleetKey::derive("another").token()));
    assert!(!key.accepts(""));
}
