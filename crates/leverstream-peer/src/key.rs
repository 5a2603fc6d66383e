use prost::Message;

use crate::Packet;

/// The largest datagram that is sent or read, in bytes; it fits one Ethernet frame.
pub const PACKET_LIMIT_BYTES: usize = 1_400;

/// The length of a datagram's tag, in bytes.
const TAG_BYTES: usize = 16;

/// What a key for datagrams is derived for.
const PACKET_CONTEXT: &str = "leverstream 2026-12-02 peer datagrams";

/// What the token of calls between peers is derived for.
const TOKEN_CONTEXT: &str = "leverstream 2026-12-02 peer calls";

/// The secret that all VMs of a fleet share, in the forms in which it is used.
#[derive(Clone)]
pub struct FleetKey {
    /// Seals datagrams.
    packet_key: [u8; 32],
    /// Shown on calls, as text.
    token: String,
}

/// Why a datagram was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PacketError {
    /// It is too short or too long.
    Length,
    /// Its tag was not made with the fleet's key.
    Tag,
    /// Its content could not be read.
    Content,
}

impl FleetKey {
    /// Derives the forms from the secret in the settings.
    pub fn derive(secret: &str) -> FleetKey {
        let packet_key = blake3::derive_key(PACKET_CONTEXT, secret.as_bytes());
        let token = blake3::derive_key(TOKEN_CONTEXT, secret.as_bytes());
        FleetKey { packet_key, token: blake3::Hash::from(token).to_hex().to_string() }
    }

    /// The token that calls between peers carry.
    pub fn token(&self) -> &str {
        &self.token
    }

    /// Tells in constant time whether a token is the fleet's.
    pub fn accepts(&self, token: &str) -> bool {
        blake3::hash(token.as_bytes()) == blake3::hash(self.token.as_bytes())
    }

    /// Encodes a packet and puts its tag in front.
    pub fn seal(&self, packet: &Packet) -> Vec<u8> {
        let content = packet.encode_to_vec();
        let mut datagram = self.tag(&content).to_vec();
        datagram.extend(content);
        datagram
    }

    /// Checks a datagram's tag and decodes its packet.
    pub fn unseal(&self, datagram: &[u8]) -> Result<Packet, PacketError> {
        if datagram.len() > PACKET_LIMIT_BYTES {
            return Err(PacketError::Length);
        }
        let (tag, content) = datagram.split_at_checked(TAG_BYTES).ok_or(PacketError::Length)?;
        let tag_fits = blake3::hash(tag) == blake3::hash(&self.tag(content));
        if !tag_fits {
            return Err(PacketError::Tag);
        }
        Packet::decode(content).map_err(|_| PacketError::Content)
    }

    /// Computes the tag of a datagram's content.
    fn tag(&self, content: &[u8]) -> [u8; TAG_BYTES] {
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&blake3::keyed_hash(&self.packet_key, content).as_bytes()[..TAG_BYTES]);
        tag
    }
}
