use bytes::Bytes;

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The header fields in their order, names in lower case.
    pub fields: Vec<(String, Vec<u8>)>,
    /// The body, without its framing.
    pub body: Bytes,
}

impl Answer {
    /// The first value of a header field.
    pub fn field(&self, name: &str) -> Option<&[u8]> {
        self.fields.iter().find(|(field, _)| field == name).map(|(_, value)| value.as_slice())
    }

    /// The first value of a header field, as text.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.field(name).and_then(|value| std::str::from_utf8(value).ok()).map(str::trim)
    }

    /// All values of a header field.
    pub fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let named = self.fields.iter().filter(move |(field, _)| field == name);
        named.map(|(_, value)| value.as_slice())
    }

    /// Tells whether the sender ends the connection after this answer.
    pub fn closes(&self) -> bool {
        let names_close =
            |value: &str| value.split(',').any(|part| part.trim().eq_ignore_ascii_case("close"));
        self.text("connection").is_some_and(names_close)
    }

    /// How long the sender says it keeps an idle connection, in milliseconds.
    pub fn keep_alive_ms(&self) -> Option<u64> {
        let value = self.text("keep-alive")?;
        let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
        timeout.trim().parse::<u64>().ok().map(|seconds| seconds * 1000)
    }
}
