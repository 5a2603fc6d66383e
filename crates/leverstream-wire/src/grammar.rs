//! The grammar of HTTP (RFC 9110 and 9112) where `httparse` takes more than that.

/// Parses a number that consists of digits alone, as the length of a body is; none if it is out of range.
///
/// The parsers of the standard library take a sign too.
pub(crate) fn parse_digits(bytes: &[u8]) -> Option<u64> {
    let add_digit = |number: u64, byte: &u8| {
        let digit = char::from(*byte).to_digit(10)?;
        number.checked_mul(10)?.checked_add(u64::from(digit))
    };
    (!bytes.is_empty()).then(|| bytes.iter().try_fold(0, add_digit)).flatten()
}

/// Returns whether all line feeds end a line, as part of the line break of the grammar.
///
/// `httparse` takes a line feed alone for a line break.
pub(crate) fn has_whole_line_breaks(bytes: &[u8]) -> bool {
    let before = std::iter::once(&b' ').chain(bytes);
    bytes.iter().zip(before).all(|(byte, before)| *byte != b'\n' || *before == b'\r')
}
