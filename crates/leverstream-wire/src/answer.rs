//! An HTTP answer with its header fields and body.

use bytes::Bytes;

use crate::grammar;

/// A whole HTTP answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status code.
    pub status: u16,
    /// The header fields in the order received, with names in lower case.
    pub fields: Vec<(String, Vec<u8>)>,
    /// The decoded body, without chunk framing.
    pub body: Bytes,
}

impl Answer {
    /// The first value of a header field.
    pub fn field(&self, name: &str) -> Option<&[u8]> {
        self.fields.iter().find(|(field, _)| field == name).map(|(_, value)| value.as_slice())
    }

    /// The first value of a header field as trimmed text, if it is valid UTF-8.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.field(name).and_then(|value| std::str::from_utf8(value).ok()).map(str::trim)
    }

    /// All values of a header field.
    pub fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let matching = self.fields.iter().filter(move |(field, _)| field == name);
        matching.map(|(_, value)| value.as_slice())
    }

    /// Returns whether the sender announces that it closes the connection after this answer.
    pub fn closes_connection(&self) -> bool {
        let lists_close =
            |value: &str| value.split(',').any(|part| part.trim().eq_ignore_ascii_case("close"));
        self.text("connection").is_some_and(lists_close)
    }

    /// The idle timeout that the sender announces in `Keep-Alive`.
    pub fn keep_alive_ms(&self) -> Option<u64> {
        let value = self.text("keep-alive")?;
        let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
        grammar::parse_digits(timeout.trim_ascii().as_bytes())
            .map(|seconds| seconds.saturating_mul(1000))
    }
}
