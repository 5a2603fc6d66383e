//! Keyed digests of API keys.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The key derivation context, which keeps digests distinct from any other use of the fleet's
/// secret.
const KEY_CONTEXT: &str = "leverstream 2026-12-02 workspace keys";

/// The length of a digest in bytes. Among a million keys, the chance that two digests collide is
/// about 1 in 10^26.
const DIGEST_BYTES: usize = 16;

/// Computes digests of API keys; all VMs of a fleet compute the same ones.
#[derive(Clone)]
pub struct KeyHasher {
    /// The key of the hash, derived from the fleet's secret.
    secret: [u8; 32],
}

impl KeyHasher {
    /// Derives the hasher from the fleet's secret.
    pub fn derive(secret: &str) -> KeyHasher {
        KeyHasher { secret: blake3::derive_key(KEY_CONTEXT, secret.as_bytes()) }
    }

    /// Computes the digest of a key.
    pub fn digest(&self, key: &[u8]) -> KeyDigest {
        let hash = blake3::keyed_hash(&self.secret, key);
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&hash.as_bytes()[..DIGEST_BYTES]);
        KeyDigest(digest)
    }
}

/// The digest by which a key is known; the key can't be recovered from it.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest")
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> String {
        format!("{:032x}", u128::from_be_bytes(digest.0))
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = std::num::ParseIntError;

    fn try_from(text: String) -> Result<KeyDigest, Self::Error> {
        u128::from_str_radix(&text, 16).map(|number| KeyDigest(number.to_be_bytes()))
    }
}
