//! The parts of the HTTP grammar (RFC 9110 and 9112) that `httparse` does not parse or does not enforce.

/// Parses a number that consists of digits only, such as `Content-Length`; returns `None` if it is out of range.
///
/// The integer parsers of the standard library also accept a sign.
pub(crate) fn parse_digits(bytes: &[u8]) -> Option<u64> {
    parse_number(bytes, 10)
}

/// Parses a chunk-size line, without its CRLF, and returns the size of the chunk.
///
/// `httparse::parse_chunk_size` reads a line without digits as size 0, that is as the last chunk.
pub(crate) fn parse_chunk_line(line: &[u8]) -> Option<u64> {
    let is_other = |byte: &u8| !byte.is_ascii_hexdigit();
    let (digits, extensions) = line.split_at(line.iter().position(is_other).unwrap_or(line.len()));
    are_chunk_extensions(extensions).then(|| parse_number(digits, 16)).flatten()
}

/// Returns whether a line, without its CRLF, is a field line of a head or a trailer section.
pub(crate) fn is_field_line(line: &[u8]) -> bool {
    let Some(colon) = line.iter().position(|byte| *byte == b':') else { return false };
    is_token(&line[..colon]) && line[colon + 1..].iter().copied().all(is_text_byte)
}

/// Returns whether every LF is part of a CRLF; `httparse` also accepts LF alone as a line terminator.
pub(crate) fn has_only_crlf(bytes: &[u8]) -> bool {
    let before = std::iter::once(&b' ').chain(bytes);
    bytes.iter().zip(before).all(|(byte, before)| *byte != b'\n' || *before == b'\r')
}

/// Parses a number of at least one digit.
fn parse_number(digits: &[u8], radix: u32) -> Option<u64> {
    let add_digit = |number: u64, byte: &u8| {
        let digit = char::from(*byte).to_digit(radix)?;
        number.checked_mul(u64::from(radix))?.checked_add(u64::from(digit))
    };
    (!digits.is_empty()).then(|| digits.iter().try_fold(0, add_digit)).flatten()
}

/// Returns whether the rest of a chunk-size line consists of chunk extensions.
fn are_chunk_extensions(mut rest: &[u8]) -> bool {
    while !rest.is_empty() {
        match skip_chunk_extension(rest) {
            Some(after) => rest = after,
            None => return false,
        }
    }
    true
}

/// Skips the chunk extension at the start of the bytes; returns `None` if there is none.
fn skip_chunk_extension(bytes: &[u8]) -> Option<&[u8]> {
    let name = skip_whitespace(skip_whitespace(bytes).strip_prefix(b";")?);
    let after_name = skip_token(name)?;
    match skip_whitespace(after_name).strip_prefix(b"=") {
        Some(value) => {
            let value = skip_whitespace(value);
            skip_token(value).or_else(|| skip_quoted_string(value))
        }
        None => Some(after_name),
    }
}

/// Skips spaces and tabs at the start of the bytes.
fn skip_whitespace(bytes: &[u8]) -> &[u8] {
    let is_other = |byte: &u8| !matches!(byte, b' ' | b'\t');
    &bytes[bytes.iter().position(is_other).unwrap_or(bytes.len())..]
}

/// Skips the token at the start of the bytes; returns `None` if there is none.
fn skip_token(bytes: &[u8]) -> Option<&[u8]> {
    let is_other = |byte: &u8| !is_token_byte(*byte);
    let length = bytes.iter().position(is_other).unwrap_or(bytes.len());
    (length > 0).then(|| &bytes[length..])
}

/// Skips the quoted string at the start of the bytes; returns `None` if there is none.
fn skip_quoted_string(bytes: &[u8]) -> Option<&[u8]> {
    let mut rest = bytes.strip_prefix(b"\"")?;
    loop {
        rest = match rest {
            [b'"', after @ ..] => return Some(after),
            [b'\\', escaped, after @ ..] if is_text_byte(*escaped) => after,
            [b'\\', ..] => return None,
            [byte, after @ ..] if is_text_byte(*byte) => after,
            _ => return None,
        };
    }
}

/// Returns whether the bytes are a token, such as a field name.
fn is_token(bytes: &[u8]) -> bool {
    !bytes.is_empty() && bytes.iter().copied().all(is_token_byte)
}

/// Returns whether a byte is a token character.
fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Returns whether a byte is allowed in a field value or, escaped if necessary, in a quoted string.
fn is_text_byte(byte: u8) -> bool {
    byte == b'\t' || (byte >= b' ' && byte != 0x7f)
}
