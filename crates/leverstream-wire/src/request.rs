//! Encodes the head of a request, and joins it with a body.

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
    pub fn finish(self, body: &[u8]) -> Vec<u8> {
        let mut bytes = self.finish_head();
        bytes.extend_from_slice(body);
        bytes
    }

    /// Ends the head of a request whose body stays apart.
    pub fn finish_head(mut self) -> Vec<u8> {
        self.bytes.extend_from_slice(b"\r\n");
        self.bytes
    }
}

/// A request whose body isn't copied behind its head.
#[derive(Clone, Copy, Debug)]
pub struct Message<'a> {
    /// The head, with the empty line that ends it.
    pub head: &'a [u8],
    /// The body.
    pub body: &'a [u8],
}

impl<'a> Message<'a> {
    /// Returns the number of bytes.
    pub(crate) fn len(self) -> usize {
        self.head.len() + self.body.len()
    }

    /// Returns what is left of the head and the body after some bytes.
    pub(crate) fn after(self, bytes: usize) -> [&'a [u8]; 2] {
        let head_bytes = bytes.min(self.head.len());
        [&self.head[head_bytes..], &self.body[bytes - head_bytes..]]
    }
}
