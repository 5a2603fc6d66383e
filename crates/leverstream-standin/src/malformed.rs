//! Malformed HTTP answers (RFC 9110 and 9112), and unusual but valid ones.

/// The placeholder in a template for the header fields that the client under test expects.
const FIELDS: &[u8] = b"{fields}";

/// The body of each valid answer.
pub const BODY: &[u8] = b"hello";

/// The bytes of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerTemplate {
    /// A description of what is malformed or unusual.
    pub name: &'static str,
    /// The bytes, with the placeholder [`FIELDS`] in each head.
    template: &'static [u8],
}

impl AnswerTemplate {
    /// Returns the bytes with `fields`, each terminated by CRLF, in place of the placeholder.
    pub fn bytes(&self, fields: &str) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(self.template.len() + fields.len());
        let mut rest = self.template;
        while let Some(at) = rest.windows(FIELDS.len()).position(|window| window == FIELDS) {
            bytes.extend_from_slice(&rest[..at]);
            bytes.extend_from_slice(fields.as_bytes());
            rest = &rest[at + FIELDS.len()..];
        }
        bytes.extend_from_slice(rest);
        bytes
    }
}

/// Returns the malformed answers. Neither they nor parts of them may reach a caller.
pub fn malformed_answers() -> impl Iterator<Item = AnswerTemplate> {
    malformed_heads().chain([MALFORMED_CHUNKS, MALFORMED_TRAILERS].into_iter().flatten().copied())
}

/// Returns the answers with a malformed head, which are malformed whatever the request method.
pub fn malformed_heads() -> impl Iterator<Item = AnswerTemplate> {
    [MALFORMED_LENGTHS, MALFORMED_FIELDS, MALFORMED_STATUSES].into_iter().flatten().copied()
}

/// Returns unusual but valid answers with status 200 and the body [`BODY`].
pub fn valid_answers() -> impl Iterator<Item = AnswerTemplate> {
    VALID.iter().copied()
}

/// Creates a template.
const fn answer(name: &'static str, template: &'static [u8]) -> AnswerTemplate {
    AnswerTemplate { name, template }
}

/// Answers with malformed or contradictory framing fields (RFC 9112, section 6).
const MALFORMED_LENGTHS: &[AnswerTemplate] = &[
    answer("length with a plus", b"HTTP/1.1 200 OK\r\n{fields}content-length: +5\r\n\r\nhello"),
    answer("length zero with a plus", b"HTTP/1.1 200 OK\r\n{fields}content-length: +0\r\n\r\n"),
    answer("length with a minus", b"HTTP/1.1 200 OK\r\n{fields}content-length: -5\r\n\r\nhello"),
    answer("length zero with a minus", b"HTTP/1.1 200 OK\r\n{fields}content-length: -0\r\n\r\n"),
    answer("no length in its field", b"HTTP/1.1 200 OK\r\n{fields}content-length:\r\n\r\nhello"),
    answer("letter after the length", b"HTTP/1.1 200 OK\r\n{fields}content-length: 5x\r\n\r\nhello"),
    answer("letter before the length", b"HTTP/1.1 200 OK\r\n{fields}content-length: x5\r\n\r\nhello"),
    answer("length in hexadecimal", b"HTTP/1.1 200 OK\r\n{fields}content-length: 0x5\r\n\r\nhello"),
    answer("length with a fraction", b"HTTP/1.1 200 OK\r\n{fields}content-length: 5.0\r\n\r\nhello"),
    answer("length with a space inside", b"HTTP/1.1 200 OK\r\n{fields}content-length: 0 5\r\n\r\nhello"),
    answer("length in quotes", b"HTTP/1.1 200 OK\r\n{fields}content-length: \"5\"\r\n\r\nhello"),
    answer("length with a no-break space", b"HTTP/1.1 200 OK\r\n{fields}content-length: \xc2\xa05\r\n\r\nhello"),
    answer("length with a NEL character", b"HTTP/1.1 200 OK\r\n{fields}content-length: 5\xc2\x85\r\n\r\nhello"),
    answer("length with a ideographic space", b"HTTP/1.1 200 OK\r\n{fields}content-length: \xe3\x80\x805\r\n\r\nhello"),
    answer("length in fullwidth digits", b"HTTP/1.1 200 OK\r\n{fields}content-length: \xef\xbc\x95\r\n\r\nhello"),
    answer("length with a vertical tab", b"HTTP/1.1 200 OK\r\n{fields}content-length: \x0b5\r\n\r\nhello"),
    answer("length with a form feed", b"HTTP/1.1 200 OK\r\n{fields}content-length: 5\x0c\r\n\r\nhello"),
    answer("length with a NUL", b"HTTP/1.1 200 OK\r\n{fields}content-length: 5\0\r\n\r\nhello"),
    answer("length out of range", b"HTTP/1.1 200 OK\r\n{fields}content-length: 18446744073709551621\r\n\r\nhello"),
    answer("two lengths", b"HTTP/1.1 200 OK\r\n{fields}content-length: 5\r\ncontent-length: 4\r\n\r\nhello"),
    answer("list of lengths", b"HTTP/1.1 200 OK\r\n{fields}content-length: 5, 4\r\n\r\nhello"),
    answer("length and chunks", b"HTTP/1.1 200 OK\r\n{fields}content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"),
    answer("unknown coding", b"HTTP/1.1 200 OK\r\n{fields}transfer-encoding: chunke\r\n\r\n5\r\nhello\r\n0\r\n\r\n"),
    answer("identity coding", b"HTTP/1.1 200 OK\r\n{fields}transfer-encoding: identity\r\ncontent-length: 5\r\n\r\nhello"),
    answer("chunks not last", b"HTTP/1.1 200 OK\r\n{fields}transfer-encoding: chunked, gzip\r\n\r\n5\r\nhello\r\n0\r\n\r\n"),
    answer("chunks twice", b"HTTP/1.1 200 OK\r\n{fields}transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"),
    answer("no coding in its field", b"HTTP/1.1 200 OK\r\n{fields}transfer-encoding:\r\n\r\n5\r\nhello\r\n0\r\n\r\n"),
    answer("chunks in HTTP/1.0", b"HTTP/1.0 200 OK\r\n{fields}transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"),
    answer("status 204 with a signed length", b"HTTP/1.1 204 No Content\r\n{fields}content-length: +0\r\n\r\n"),
    answer("status 204 with a body", b"HTTP/1.1 204 No Content\r\n{fields}content-length: 5\r\n\r\nhello"),
    answer("status 204 with chunks", b"HTTP/1.1 204 No Content\r\n{fields}transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"),
    answer("status 304 with a signed length", b"HTTP/1.1 304 Not Modified\r\n{fields}content-length: +5\r\n\r\n"),
    answer("status 304 with two lengths", b"HTTP/1.1 304 Not Modified\r\n{fields}content-length: 5\r\ncontent-length: 4\r\n\r\n"),
];

/// Answers with a malformed field line or line terminator in the head.
const MALFORMED_FIELDS: &[AnswerTemplate] = &[
    answer(
        "line without a colon",
        b"HTTP/1.1 200 OK\r\n{fields}no field\r\ncontent-length: 5\r\n\r\nhello",
    ),
    answer(
        "line without a name",
        b"HTTP/1.1 200 OK\r\n{fields}: value\r\ncontent-length: 5\r\n\r\nhello",
    ),
    answer(
        "folded line",
        b"HTTP/1.1 200 OK\r\n{fields}x-a: 1\r\n folded\r\ncontent-length: 5\r\n\r\nhello",
    ),
    answer(
        "first line folded",
        b"HTTP/1.1 200 OK\r\n x-a: 1\r\n{fields}content-length: 5\r\n\r\nhello",
    ),
    answer(
        "space in a name",
        b"HTTP/1.1 200 OK\r\n{fields}x a: 1\r\ncontent-length: 5\r\n\r\nhello",
    ),
    answer(
        "space after a name",
        b"HTTP/1.1 200 OK\r\n{fields}x-a : 1\r\ncontent-length: 5\r\n\r\nhello",
    ),
    answer(
        "tab after a name",
        b"HTTP/1.1 200 OK\r\n{fields}x-a\t: 1\r\ncontent-length: 5\r\n\r\nhello",
    ),
    answer(
        "space in the name of the length",
        b"HTTP/1.1 200 OK\r\n{fields}content- length: 5\r\n\r\nhello",
    ),
    answer(
        "space after the name of the length",
        b"HTTP/1.1 200 OK\r\n{fields}content-length : 5\r\n\r\nhello",
    ),
    answer(
        "NUL in a name",
        b"HTTP/1.1 200 OK\r\n{fields}x\0a: 1\r\ncontent-length: 5\r\n\r\nhello",
    ),
    answer(
        "control byte in a name",
        b"HTTP/1.1 200 OK\r\n{fields}x\x1fa: 1\r\ncontent-length: 5\r\n\r\nhello",
    ),
    answer(
        "DEL in a name",
        b"HTTP/1.1 200 OK\r\n{fields}x\x7fa: 1\r\ncontent-length: 5\r\n\r\nhello",
    ),
    answer(
        "control byte in the name of the length",
        b"HTTP/1.1 200 OK\r\n{fields}content\x01length: 5\r\n\r\nhello",
    ),
    answer(
        "non-ASCII byte in a name",
        b"HTTP/1.1 200 OK\r\n{fields}x\xe4a: 1\r\ncontent-length: 5\r\n\r\nhello",
    ),
    answer(
        "bracket in a name",
        b"HTTP/1.1 200 OK\r\n{fields}x(a: 1\r\ncontent-length: 5\r\n\r\nhello",
    ),
    answer(
        "NUL in a value",
        b"HTTP/1.1 200 OK\r\n{fields}x-a: 1\x002\r\ncontent-length: 5\r\n\r\nhello",
    ),
    answer(
        "CR in a value",
        b"HTTP/1.1 200 OK\r\n{fields}x-a: 1\r2\r\ncontent-length: 5\r\n\r\nhello",
    ),
    answer(
        "line terminated by LF alone",
        b"HTTP/1.1 200 OK\r\n{fields}x-a: 1\ncontent-length: 5\r\n\r\nhello",
    ),
    answer(
        "head terminated by LF alone",
        b"HTTP/1.1 200 OK\r\n{fields}content-length: 5\r\n\nhello",
    ),
    answer(
        "status line terminated by LF alone",
        b"HTTP/1.1 200 OK\n{fields}content-length: 5\r\n\r\nhello",
    ),
    answer(
        "line terminated by CR alone",
        b"HTTP/1.1 200 OK\r\n{fields}x-a: 1\rcontent-length: 5\r\n\r\nhello",
    ),
    answer(
        "empty line before the status line",
        b"\r\nHTTP/1.1 200 OK\r\n{fields}content-length: 5\r\n\r\nhello",
    ),
    answer(
        "LF before the status line",
        b"\nHTTP/1.1 200 OK\r\n{fields}content-length: 5\r\n\r\nhello",
    ),
];

/// Answers with a malformed status line or a status code out of range.
const MALFORMED_STATUSES: &[AnswerTemplate] = &[
    answer("status 000", b"HTTP/1.1 000 OK\r\n{fields}content-length: 5\r\n\r\nhello"),
    answer("status 001", b"HTTP/1.1 001 OK\r\n{fields}content-length: 5\r\n\r\nhello"),
    answer("status 099", b"HTTP/1.1 099 OK\r\n{fields}content-length: 5\r\n\r\nhello"),
    answer("status 000 with an answer in its body", b"HTTP/1.1 000 OK\r\n{fields}\r\nHTTP/1.1 200 OK\r\n{fields}content-length: 5\r\n\r\nhello"),
    answer("status 020 with an answer in its body", b"HTTP/1.1 020 OK\r\n{fields}content-length: 999\r\n\r\nHTTP/1.1 200 OK\r\n{fields}content-length: 5\r\n\r\nhello"),
    answer("status 100 with an answer in its body", b"HTTP/1.1 100 OK\r\n{fields}content-length: 999\r\n\r\nHTTP/1.1 200 OK\r\n{fields}content-length: 5\r\n\r\nhello"),
    answer("status 103 with an answer in its chunk", b"HTTP/1.1 103 OK\r\n{fields}transfer-encoding: chunked\r\n\r\nHTTP/1.1 200 OK\r\n{fields}content-length: 5\r\n\r\nhello"),
    answer("status 600", b"HTTP/1.1 600 OK\r\n{fields}content-length: 5\r\n\r\nhello"),
    answer("status 999", b"HTTP/1.1 999 OK\r\n{fields}content-length: 5\r\n\r\nhello"),
    answer("status of two digits", b"HTTP/1.1 20 OK\r\n{fields}content-length: 5\r\n\r\nhello"),
    answer("status of four digits", b"HTTP/1.1 2000 OK\r\n{fields}content-length: 5\r\n\r\nhello"),
    answer("status with a sign", b"HTTP/1.1 +20 OK\r\n{fields}content-length: 5\r\n\r\nhello"),
    answer("status with a letter", b"HTTP/1.1 2o0 OK\r\n{fields}content-length: 5\r\n\r\nhello"),
    answer("status with its reason", b"HTTP/1.1 200OK\r\n{fields}content-length: 5\r\n\r\nhello"),
    answer("no status", b"HTTP/1.1 \r\n{fields}content-length: 5\r\n\r\nhello"),
    answer("two spaces before the status", b"HTTP/1.1  200 OK\r\n{fields}content-length: 5\r\n\r\nhello"),
    answer("tab before the status", b"HTTP/1.1\t200 OK\r\n{fields}content-length: 5\r\n\r\nhello"),
    answer("control byte in the reason", b"HTTP/1.1 200 O\x01K\r\n{fields}content-length: 5\r\n\r\nhello"),
    answer("unknown version", b"HTTP/1.2 200 OK\r\n{fields}content-length: 5\r\n\r\nhello"),
    answer("version in lower case", b"http/1.1 200 OK\r\n{fields}content-length: 5\r\n\r\nhello"),
    answer("space before the version", b" HTTP/1.1 200 OK\r\n{fields}content-length: 5\r\n\r\nhello"),
    answer("status 101", b"HTTP/1.1 101 Switching Protocols\r\n{fields}content-length: 5\r\n\r\nhello"),
];

/// Chunked answers with a malformed chunk.
const MALFORMED_CHUNKS: &[AnswerTemplate] = &[
    answer("empty line for a chunk", b"HTTP/1.1 200 OK\r\n{fields}transfer-encoding: chunked\r\n\r\n3\r\nhel\r\n\r\n\r\n"),
    answer("extension without a size", b"HTTP/1.1 200 OK\r\n{fields}transfer-encoding: chunked\r\n\r\n3\r\nhel\r\n;a=b\r\n\r\n"),
    answer("space for a size", b"HTTP/1.1 200 OK\r\n{fields}transfer-encoding: chunked\r\n\r\n3\r\nhel\r\n \r\n\r\n"),
    answer("space before a size", b"HTTP/1.1 200 OK\r\n{fields}transfer-encoding: chunked\r\n\r\n 5\r\nhello\r\n0\r\n\r\n"),
    answer("space after a size", b"HTTP/1.1 200 OK\r\n{fields}transfer-encoding: chunked\r\n\r\n5 \r\nhello\r\n0\r\n\r\n"),
    answer("size with a plus", b"HTTP/1.1 200 OK\r\n{fields}transfer-encoding: chunked\r\n\r\n+5\r\nhello\r\n0\r\n\r\n"),
    answer("size with a minus", b"HTTP/1.1 200 OK\r\n{fields}transfer-encoding: chunked\r\n\r\n-5\r\nhello\r\n0\r\n\r\n"),
    answer("size with a prefix", b"HTTP/1.1 200 OK\r\n{fields}transfer-encoding: chunked\r\n\r\n0x5\r\nhello\r\n0\r\n\r\n"),
    answer("size with another letter", b"HTTP/1.1 200 OK\r\n{fields}transfer-encoding: chunked\r\n\r\n5g\r\nhello\r\n0\r\n\r\n"),
    answer("size out of range", b"HTTP/1.1 200 OK\r\n{fields}transfer-encoding: chunked\r\n\r\n10000000000000005\r\nhello\r\n0\r\n\r\n"),
    answer("size line terminated by LF alone", b"HTTP/1.1 200 OK\r\n{fields}transfer-encoding: chunked\r\n\r\n5\nhello\r\n0\r\n\r\n"),
    answer("extension without a name", b"HTTP/1.1 200 OK\r\n{fields}transfer-encoding: chunked\r\n\r\n5;\r\nhello\r\n0\r\n\r\n"),
    answer("extension without a value", b"HTTP/1.1 200 OK\r\n{fields}transfer-encoding: chunked\r\n\r\n5;a=\r\nhello\r\n0\r\n\r\n"),
    answer("extension with an open quote", b"HTTP/1.1 200 OK\r\n{fields}transfer-encoding: chunked\r\n\r\n5;a=\"b\r\nhello\r\n0\r\n\r\n"),
    answer("control byte in an extension", b"HTTP/1.1 200 OK\r\n{fields}transfer-encoding: chunked\r\n\r\n5;a\x01\r\nhello\r\n0\r\n\r\n"),
    answer("extension terminated by LF alone", b"HTTP/1.1 200 OK\r\n{fields}transfer-encoding: chunked\r\n\r\n5;a\nhello\r\n0\r\n\r\n"),
    answer("chunk longer than its size", b"HTTP/1.1 200 OK\r\n{fields}transfer-encoding: chunked\r\n\r\n4\r\nhello\r\n0\r\n\r\n"),
    answer("chunk shorter than its size", b"HTTP/1.1 200 OK\r\n{fields}transfer-encoding: chunked\r\n\r\n6\r\nhello\r\n0\r\n\r\n"),
    answer("chunk terminated by LF alone", b"HTTP/1.1 200 OK\r\n{fields}transfer-encoding: chunked\r\n\r\n5\r\nhello\n0\r\n\r\n"),
    answer("no line break after a chunk", b"HTTP/1.1 200 OK\r\n{fields}transfer-encoding: chunked\r\n\r\n5\r\nhello0\r\n\r\n"),
];

/// Chunked answers with a malformed trailer section.
const MALFORMED_TRAILERS: &[AnswerTemplate] = &[
    answer("trailer without a colon", b"HTTP/1.1 200 OK\r\n{fields}transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nno field\r\n\r\n"),
    answer("trailer without a name", b"HTTP/1.1 200 OK\r\n{fields}transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n: 1\r\n\r\n"),
    answer("space in the name of a trailer", b"HTTP/1.1 200 OK\r\n{fields}transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nx a: 1\r\n\r\n"),
    answer("space after the name of a trailer", b"HTTP/1.1 200 OK\r\n{fields}transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nx-a : 1\r\n\r\n"),
    answer("NUL in the name of a trailer", b"HTTP/1.1 200 OK\r\n{fields}transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nx\0a: 1\r\n\r\n"),
    answer("NUL in the value of a trailer", b"HTTP/1.1 200 OK\r\n{fields}transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nx-a: \0\r\n\r\n"),
    answer("CR in a trailer", b"HTTP/1.1 200 OK\r\n{fields}transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nx-a: 1\r2\r\n\r\n"),
    answer("folded trailer", b"HTTP/1.1 200 OK\r\n{fields}transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nx-a: 1\r\n folded\r\n\r\n"),
    answer("chunk after the last one", b"HTTP/1.1 200 OK\r\n{fields}transfer-encoding: chunked\r\n\r\n3\r\nhel\r\n0\r\n2\r\nlo\r\n0\r\n\r\n"),
    answer("trailer terminated by LF alone", b"HTTP/1.1 200 OK\r\n{fields}transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nx-a: 1\n\r\n"),
    answer("trailers terminated by LF alone", b"HTTP/1.1 200 OK\r\n{fields}transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\n"),
];

/// Unusual but valid answers.
const VALID: &[AnswerTemplate] = &[
    answer("length", b"HTTP/1.1 200 OK\r\n{fields}content-length: 5\r\n\r\nhello"),
    answer("spaces and tabs around the length", b"HTTP/1.1 200 OK\r\n{fields}content-length: \t 5 \t\r\n\r\nhello"),
    answer("no space before the length", b"HTTP/1.1 200 OK\r\n{fields}Content-Length:5\r\n\r\nhello"),
    answer("zeros before the length", b"HTTP/1.1 200 OK\r\n{fields}content-length: 00000000000000000000005\r\n\r\nhello"),
    answer("non-ASCII bytes in a value", b"HTTP/1.1 200 OK\r\n{fields}x-a: \x80\xe4\xff\r\ncontent-length: 5\r\n\r\nhello"),
    answer("empty value", b"HTTP/1.1 200 OK\r\n{fields}x-a:\r\ncontent-length: 5\r\n\r\nhello"),
    answer("every token character in a name", b"HTTP/1.1 200 OK\r\n{fields}!#$%&'*+-.^_`|~09azAZ: 1\r\ncontent-length: 5\r\n\r\nhello"),
    answer("empty reason", b"HTTP/1.1 200 \r\n{fields}content-length: 5\r\n\r\nhello"),
    answer("status line without reason and space", b"HTTP/1.1 200\r\n{fields}content-length: 5\r\n\r\nhello"),
    answer("non-ASCII bytes in the reason", b"HTTP/1.1 200 \xe4\t\xff\r\n{fields}content-length: 5\r\n\r\nhello"),
    answer("two extensions", b"HTTP/1.1 200 OK\r\n{fields}transfer-encoding: chunked\r\n\r\n5;a=b;c\r\nhello\r\n0;d\r\n\r\n"),
    answer("spaces around extensions", b"HTTP/1.1 200 OK\r\n{fields}transfer-encoding: chunked\r\n\r\n5 ; a = b\t;\tc\r\nhello\r\n0\r\n\r\n"),
    answer("quoted extension", b"HTTP/1.1 200 OK\r\n{fields}transfer-encoding: chunked\r\n\r\n5;a=\"b;\\\"\xe4 \t\"\r\nhello\r\n0\r\n\r\n"),
    answer("zeros in sizes", b"HTTP/1.1 200 OK\r\n{fields}transfer-encoding: Chunked\r\n\r\n00000000000000000000005\r\nhello\r\n0000\r\n\r\n"),
    answer("trailers", b"HTTP/1.1 200 OK\r\n{fields}transfer-encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\nx-a: 1\r\nX_B:\t\xff \r\nx-c:\r\n\r\n"),
];
