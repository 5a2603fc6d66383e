//! Encodes the head of a request.

/// Builds the head of a request.
#[derive(Clone, Debug, Default)]
pub struct RequestHead {
    /// The encoded bytes so far.
    bytes: Vec<u8>,
}

impl RequestHead {
    /// Starts a head with its request line.
    pub fn new(method: &str, target: &str) -> RequestHead {
        let mut bytes = Vec::with_capacity(512);
        bytes.extend_from_slice(method.as_bytes());
        bytes.push(b' ');
        bytes.extend_from_slice(target.as_bytes());
        bytes.extend_from_slice(b" HTTP/1.1\r\n");
        RequestHead { bytes }
    }

    /// Adds a header field. The value must not contain line breaks, as one from a parsed head.
    pub fn field(&mut self, name: &str, value: &[u8]) {
        self.bytes.extend_from_slice(name.as_bytes());
        self.bytes.extend_from_slice(b": ");
        self.bytes.extend_from_slice(value);
        self.bytes.extend_from_slice(b"\r\n");
    }

    /// Ends the head and appends the body, so that one write sends both.
    pub fn finish(mut self, body: &[u8]) -> Vec<u8> {
        self.bytes.extend_from_slice(b"\r\n");
        self.bytes.extend_from_slice(body);
        self.bytes
    }
}
