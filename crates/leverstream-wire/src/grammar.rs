//! The grammar of HTTP (RFC 9110 and 9112) where `httparse` takes more than that.

/// Parses a number that consists of digits alone, as the length of a body is; none if it is out of range.
///
/// The parsers of the standard library take a sign too.
pub(crate) fn parse_digits(bytes: &[u8]) -> Option<u64> {
    parse_number(bytes, 10)
}

/// Parses the line before a chunk, without its line break, and returns the size of the chunk.
///
/// `httparse::parse_chunk_size` takes a line without any digit for the last chunk.
pub(crate) fn parse_chunk_line(line: &[u8]) -> Option<u64> {
    let is_other = |byte: &u8| !byte.is_ascii_hexdigit();
    let (digits, extensions) = line.split_at(line.iter().position(is_other).unwrap_or(line.len()));
    are_chunk_extensions(extensions).then(|| parse_number(digits, 16)).flatten()
}

/// Returns whether a line, without its line break, is a header field or a trailer.
pub(crate) fn is_field_line(line: &[u8]) -> bool {
    let Some(colon) = line.iter().position(|byte| *byte == b':') else { return false };
    is_token(&line[..colon]) && line[colon + 1..].iter().copied().all(is_text_byte)
}

/// Returns whether all line feeds end a line, as part of the line break of the grammar.
///
/// `httparse` takes a line feed alone for a line break.
pub(crate) fn has_whole_line_breaks(bytes: &[u8]) -> bool {
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

/// Returns whether the rest of the line before a chunk consists of extensions.
fn are_chunk_extensions(mut rest: &[u8]) -> bool {
    while !rest.is_empty() {
        match after_chunk_extension(rest) {
            Some(after) => rest = after,
            None => return false,
        }
    }
    true
}

/// Returns what follows the extension at the start of some bytes, if there is one.
fn after_chunk_extension(bytes: &[u8]) -> Option<&[u8]> {
    let name = after_blanks(after_blanks(bytes).strip_prefix(b";")?);
    let after_name = after_token(name)?;
    match after_blanks(after_name).strip_prefix(b"=") {
        Some(value) => {
            let value = after_blanks(value);
            after_token(value).or_else(|| after_quoted_string(value))
        }
        None => Some(after_name),
    }
}

/// Returns what follows the blanks and tabs at the start of some bytes.
fn after_blanks(bytes: &[u8]) -> &[u8] {
    let is_other = |byte: &u8| !matches!(byte, b' ' | b'\t');
    &bytes[bytes.iter().position(is_other).unwrap_or(bytes.len())..]
}

/// Returns what follows the token at the start of some bytes, if there is one.
fn after_token(bytes: &[u8]) -> Option<&[u8]> {
    let is_other = |byte: &u8| !is_token_byte(*byte);
    let length = bytes.iter().position(is_other).unwrap_or(bytes.len());
    (length > 0).then(|| &bytes[length..])
}

/// Returns what follows the quoted string at the start of some bytes, if there is one.
fn after_quoted_string(bytes: &[u8]) -> Option<&[u8]> {
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

/// Returns whether some bytes are a token, such as the name of a field.
fn is_token(bytes: &[u8]) -> bool {
    !bytes.is_empty() && bytes.iter().copied().all(is_token_byte)
}

/// Returns whether a byte may be part of a token.
fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Returns whether a byte may be part of the value of a field or of a quoted string.
fn is_text_byte(byte: u8) -> bool {
    byte == b'\t' || (byte >= b' ' && byte != 0x7f)
}
