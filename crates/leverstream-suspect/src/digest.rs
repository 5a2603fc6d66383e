//! Keyed digests of requests and of backend server incarnations.

use std::fmt;

/// The key derivation context of request digests, so that no other use of the secret yields the
/// same digests.
const REQUEST_CONTEXT: &str = "leverstream 2026-12-03 requests known again";

/// The key derivation context of the digests of backend server incarnations.
const INCARNATION_CONTEXT: &str = "leverstream 2026-12-03 ended backend servers";

/// The parts of a request that identify it when it is sent again.
///
/// A retried request has another id and remaining time, and may come from another address or
/// through another VM, so none of these counts. Other header fields don't count either: two
/// requests that differ only in these share their recorded ends. Requests of different workspaces
/// never do.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// The method.
    pub method: &'a str,
    /// The host.
    pub host: &'a str,
    /// The path with the query.
    pub target: &'a str,
    /// The workspace, or an empty string where there are none.
    pub workspace: &'a str,
    /// The body.
    pub body: &'a [u8],
}

/// Computes keyed digests that are the same on all VMs of a fleet. Without the key, no one can
/// construct two requests that share a digest.
#[derive(Clone)]
pub struct RequestHasher {
    /// The key for requests, derived from the fleet's secret.
    requests: [u8; 32],
    /// The key for incarnations of backend servers, derived from the fleet's secret.
    incarnations: [u8; 32],
}

impl RequestHasher {
    /// Derives the keys from the fleet's secret.
    pub fn derive(secret: &str) -> RequestHasher {
        let derive = |context| blake3::derive_key(context, secret.as_bytes());
        RequestHasher {
            requests: derive(REQUEST_CONTEXT),
            incarnations: derive(INCARNATION_CONTEXT),
        }
    }

    /// The digest of a request; takes a microsecond for each kilobyte of the body.
    pub fn request_digest(&self, identity: &RequestIdentity<'_>) -> RequestDigest {
        let RequestIdentity { method, host, target, workspace, body } = *identity;
        let mut hasher = blake3::Hasher::new_keyed(&self.requests);
        for part in [method.as_bytes(), host.as_bytes(), target.as_bytes(), workspace.as_bytes()] {
            // The length prefix distinguishes "ab", "c" from "a", "bc".
            hasher.update(&(part.len() as u64).to_le_bytes()).update(part);
        }
        let hash = hasher.update(body).finalize();
        let mut digest = [0; 16];
        digest.copy_from_slice(&hash.as_bytes()[..16]);
        RequestDigest(u128::from_be_bytes(digest))
    }

    /// The digest of one incarnation of a backend server.
    pub fn incarnation_digest(&self, instance: &str, born_ms: u64) -> IncarnationDigest {
        let mut hasher = blake3::Hasher::new_keyed(&self.incarnations);
        let hash = hasher.update(&born_ms.to_le_bytes()).update(instance.as_bytes()).finalize();
        let mut digest = [0; 8];
        digest.copy_from_slice(&hash.as_bytes()[..8]);
        IncarnationDigest(u64::from_be_bytes(digest))
    }
}

/// The digest that identifies a request. Among a million requests, the chance that two share a
/// digest is 1 in 10^26.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestDigest(pub u128);

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "RequestDigest({self})")
    }
}

/// The digest that identifies one incarnation of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IncarnationDigest(pub u64);
