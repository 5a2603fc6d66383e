use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;

/// The length of a stem, in bytes.
pub const STEM_BYTES: usize = 32;

/// The length of a ticket before base64 encoding, in bytes.
const TICKET_BYTES: usize = STEM_BYTES + 8;

/// The part of a ticket that only its home can issue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Stem {
    /// The process that may run the requests.
    pub home: u64,
    /// When it was issued, on the home's monotonic clock.
    pub issued_ms: u64,
    /// The MAC that proves that the home issued it.
    pub tag: [u8; 16],
}

/// A permission to run requests at one home, which callers send along with them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket {
    /// The part issued by the home.
    pub stem: Stem,
    /// Distinguishes tickets with the same stem; the VM that hands the ticket to the caller chooses it.
    pub nonce: u64,
}

impl Stem {
    /// Encodes the stem.
    pub fn to_bytes(self) -> [u8; STEM_BYTES] {
        let mut bytes = [0; STEM_BYTES];
        bytes[..8].copy_from_slice(&self.home.to_be_bytes());
        bytes[8..16].copy_from_slice(&self.issued_ms.to_be_bytes());
        bytes[16..].copy_from_slice(&self.tag);
        bytes
    }

    /// Decodes a stem, or returns none if the length is wrong.
    pub fn from_bytes(bytes: &[u8]) -> Option<Stem> {
        let bytes: &[u8; STEM_BYTES] = bytes.try_into().ok()?;
        let mut tag = [0; 16];
        tag.copy_from_slice(&bytes[16..]);
        Some(Stem {
            home: big_endian_u64(&bytes[..8]),
            issued_ms: big_endian_u64(&bytes[8..16]),
            tag,
        })
    }
}

impl Ticket {
    /// Parses a ticket from its URL-safe base64 text.
    pub fn parse(text: &str) -> Option<Ticket> {
        if text.len() > 2 * TICKET_BYTES {
            return None;
        }
        let bytes = URL_SAFE_NO_PAD.decode(text).ok()?;
        let (stem, nonce) = bytes.split_at_checked(STEM_BYTES)?;
        (nonce.len() == 8).then_some(())?;
        Some(Ticket { stem: Stem::from_bytes(stem)?, nonce: big_endian_u64(nonce) })
    }
}

impl std::fmt::Display for Ticket {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut bytes = self.stem.to_bytes().to_vec();
        bytes.extend(self.nonce.to_be_bytes());
        f.write_str(&URL_SAFE_NO_PAD.encode(bytes))
    }
}

/// Decodes an unsigned integer of up to eight big-endian bytes.
fn big_endian_u64(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |value, byte| value << 8 | u64::from(*byte))
}
