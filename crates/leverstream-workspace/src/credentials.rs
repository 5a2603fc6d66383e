//! Credentials of a request: parsing of the `Authorization` header and lookup of the workspace.

use displaydoc::Display;

use crate::{KeyDigest, KeyHasher, WorkspaceIndex, Workspaces};

/// The authentication scheme (RFC 6750); schemes are compared case-insensitively.
const SCHEME: &str = "bearer";

/// The credentials of a request. The key itself is not stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Credentials {
    /// The request has no credentials.
    None,
    /// The digest of the request's key.
    Key(KeyDigest),
    /// The header is malformed or occurs more than once.
    Malformed,
}

/// Why credentials are rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum CredentialsError {
    /// the request has no key
    Missing,
    /// the credentials are not a single bearer key
    Malformed,
    /// no workspace owns the key
    Unknown,
}

impl Credentials {
    /// Parses the values of the `Authorization` header. More than one value is malformed, as it
    /// would be ambiguous which one counts.
    pub fn read<'a>(values: impl IntoIterator<Item = &'a [u8]>, hasher: &KeyHasher) -> Credentials {
        let mut values = values.into_iter();
        let (first, second) = (values.next(), values.next());
        match (first, second) {
            (None, _) => Credentials::None,
            (Some(value), None) => {
                let digest = |key| Credentials::Key(hasher.digest(key));
                parse_key(value).map_or(Credentials::Malformed, digest)
            }
            (Some(_), Some(_)) => Credentials::Malformed,
        }
    }

    /// Finds the workspace that owns the key.
    pub fn workspace(self, workspaces: &Workspaces) -> Result<WorkspaceIndex, CredentialsError> {
        match self {
            Credentials::None => Err(CredentialsError::Missing),
            Credentials::Malformed => Err(CredentialsError::Malformed),
            Credentials::Key(digest) => workspaces.find(&digest).ok_or(CredentialsError::Unknown),
        }
    }
}

/// Extracts the key from a value of the form `Bearer KEY`.
fn parse_key(value: &[u8]) -> Option<&[u8]> {
    let text = std::str::from_utf8(value).ok()?.trim();
    let (scheme, key) = text.split_once(' ')?;
    let key = key.trim_start_matches(' ');
    let is_key = !key.is_empty() && key.bytes().all(|byte| byte.is_ascii_graphic() && byte != b',');
    (scheme.eq_ignore_ascii_case(SCHEME) && is_key).then_some(key.as_bytes())
}
