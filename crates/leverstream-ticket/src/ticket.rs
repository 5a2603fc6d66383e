use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;

/// The length of a stem, in bytes.
pub const STEM_BYTES: usize = 32;

/// The length of a ticket before it is written as text, in bytes.
const TICKET_BYTES: usize = STEM_BYTES + 8;

/// The part of a ticket that only its home can make.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Stem {
    /// The process that may run the requests.
    pub home: u64,
    /// When it was made, on the home's own monotonic clock.
    pub minted_ms: u64,
    /// Proves that the home made it.
    pub tag: [u8; 16],
}

/// The permission to run requests at one home, as callers carry it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket {
    /// The part made by the home.
    pub stem: Stem,
    /// Tells tickets of one stem apart; chosen by whoever handed the ticket out.
    pub nonce: u64,
}

impl Stem {
    /// Writes the stem as bytes.
    pub fn to_bytes(self) -> [u8; STEM_BYTES] {
        let mut bytes = [0; STEM_BYTES];
        bytes[..8].copy_from_slice(&self.home.to_be_bytes());
        bytes[8..16].copy_from_slice(&self.minted_ms.to_be_bytes());
        bytes[16..].copy_from_slice(&self.tag);
        bytes
    }

    /// Reads a stem from bytes.
    pub fn from_bytes(bytes: &[u8]) -> Option<Stem> {
        let bytes: &[u8; STEM_BYTES] = bytes.try_into().ok()?;
        let mut tag = [0; 16];
        tag.copy_from_slice(&bytes[16..]);
        Some(Stem { home: number(&bytes[..8]), minted_ms: number(&bytes[8..16]), tag })
    }
}

impl Ticket {
    /// Reads a ticket from its text.
    pub fn parse(text: &str) -> Option<Ticket> {
        if text.len() > 2 * TICKET_BYTES {
            return None;
        }
        let bytes = URL_SAFE_NO_PAD.decode(text).ok()?;
        let (stem, nonce) = bytes.split_at_checked(STEM_BYTES)?;
        (nonce.len() == 8).then_some(())?;
        Some(Ticket { stem: Stem::from_bytes(stem)?, nonce: number(nonce) })
    }
}

impl std::fmt::Display for Ticket {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut bytes = self.stem.to_bytes().to_vec();
        bytes.extend(self.nonce.to_be_bytes());
        f.write_str(&URL_SAFE_NO_PAD.encode(bytes))
    }
}

/// Reads a number from up to eight big-endian bytes.
fn number(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |number, byte| number << 8 | u64::from(*byte))
}
