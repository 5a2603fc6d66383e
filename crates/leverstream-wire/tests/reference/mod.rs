//! A reference parser of answers (RFC 9110 and 9112). It takes all bytes of a closed connection and shares no code with the
//! client under test.

/// A parsed answer.
#[derive(Debug, PartialEq, Eq)]
pub struct ParsedAnswer {
    /// The status code.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

/// A head.
struct Head {
    /// Whether the version is HTTP/1.0.
    is_http10: bool,
    /// The status code.
    status: u16,
    /// The fields, with names in lower case and without whitespace around values.
    fields: Vec<(Vec<u8>, Vec<u8>)>,
}

/// Parses the answer to a GET request. `is_own` returns whether an answer with this `x-id` belongs to the request.
pub fn parse(bytes: &[u8], is_own: impl Fn(&[u8]) -> bool) -> Option<ParsedAnswer> {
    let mut rest = bytes;
    loop {
        let (head, after_head) = parse_head(rest)?;
        if !(100..=599).contains(&head.status) || head.status == 101 {
            return None;
        }
        let has_no_content = head.status < 200 || head.status == 204;
        let (body, after) = parse_body(&head, after_head, has_no_content)?;
        rest = after;
        let own = head.fields.iter().find(|(name, _)| name == b"x-id");
        if head.status >= 200 && own.is_none_or(|(_, value)| is_own(value)) {
            return Some(ParsedAnswer { status: head.status, body });
        }
    }
}

/// Splits off the first line, without its CRLF; other CR and LF characters are not allowed in it.
fn take_line(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let end = bytes.windows(2).position(|window| window == b"\r\n")?;
    let line = &bytes[..end];
    let is_line = !line.contains(&b'\r') && !line.contains(&b'\n');
    is_line.then_some((line, &bytes[end + 2..]))
}

/// Parses a head.
fn parse_head(bytes: &[u8]) -> Option<(Head, &[u8])> {
    let (line, mut rest) = take_line(bytes)?;
    let (version, after_version) = line.split_at_checked(9)?;
    let is_http10 = version == b"HTTP/1.0 ";
    if !is_http10 && version != b"HTTP/1.1 " {
        return None;
    }
    let (code, reason) = after_version.split_at_checked(3)?;
    let has_reason = reason.is_empty() || (reason[0] == b' ' && is_text(reason));
    if !code.iter().all(u8::is_ascii_digit) || !has_reason {
        return None;
    }
    let status = std::str::from_utf8(code).ok()?.parse().ok()?;
    let mut fields = Vec::new();
    loop {
        let (line, after) = take_line(rest)?;
        rest = after;
        if line.is_empty() {
            return Some((Head { is_http10, status, fields }, rest));
        }
        fields.push(parse_field(line)?);
    }
}

/// Parses a field line.
fn parse_field(line: &[u8]) -> Option<(Vec<u8>, Vec<u8>)> {
    let mut parts = line.splitn(2, |byte| *byte == b':');
    let (name, value) = (parts.next()?, parts.next()?);
    let is_field = is_token(name) && is_text(value);
    is_field.then(|| (name.to_ascii_lowercase(), trim(value).to_vec()))
}

/// Parses a body; returns it with the remaining bytes.
fn parse_body<'a>(
    head: &Head,
    rest: &'a [u8],
    has_no_content: bool,
) -> Option<(Vec<u8>, &'a [u8])> {
    let values = |name: &[u8]| -> Vec<&Vec<u8>> {
        let fields = head.fields.iter().filter(|(field, _)| field == name);
        fields.map(|(_, value)| value).collect()
    };
    let (lengths, codings) = (values(b"content-length"), values(b"transfer-encoding"));
    match (&*lengths, &*codings) {
        ([], []) if has_no_content || head.status == 304 => Some((Vec::new(), rest)),
        ([], []) => Some((rest.to_vec(), &[])),
        ([], [coding]) => {
            let is_chunked = coding.eq_ignore_ascii_case(b"chunked") && !head.is_http10;
            if !is_chunked || has_no_content {
                return None;
            }
            if head.status == 304 { Some((Vec::new(), rest)) } else { parse_chunks(rest) }
        }
        ([length], []) => {
            let length = number(length, 10)?;
            if has_no_content || head.status == 304 {
                let is_allowed = head.status == 304 || length == 0;
                return is_allowed.then(|| (Vec::new(), rest));
            }
            let (body, rest) = rest.split_at_checked(length)?;
            Some((body.to_vec(), rest))
        }
        _ => None,
    }
}

/// Parses chunks and trailers.
fn parse_chunks(mut rest: &[u8]) -> Option<(Vec<u8>, &[u8])> {
    let mut body = Vec::new();
    loop {
        let (line, after) = take_line(rest)?;
        let digits = line.iter().take_while(|byte| byte.is_ascii_hexdigit()).count();
        let size = number(&line[..digits], 16)?;
        if !are_extensions(&line[digits..]) {
            return None;
        }
        rest = after;
        if size == 0 {
            break;
        }
        let (chunk, after) = rest.split_at_checked(size)?;
        body.extend_from_slice(chunk);
        rest = after.strip_prefix(b"\r\n")?;
    }
    loop {
        let (line, after) = take_line(rest)?;
        rest = after;
        if line.is_empty() {
            return Some((body, rest));
        }
        parse_field(line)?;
    }
}

/// Returns whether the rest of a chunk-size line consists of extensions, split at each semicolon outside quotes.
fn are_extensions(bytes: &[u8]) -> bool {
    let mut parts: Vec<Vec<u8>> = vec![Vec::new()];
    let (mut is_quoted, mut is_escaped) = (false, false);
    for byte in bytes {
        match byte {
            _ if is_escaped => is_escaped = false,
            b'\\' if is_quoted => is_escaped = true,
            b'"' => is_quoted = !is_quoted,
            b';' if !is_quoted => {
                parts.push(Vec::new());
                continue;
            }
            _ => {}
        }
        parts.last_mut().expect("there is a part").push(*byte);
    }
    let extensions = parts.split_off(1);
    // Whitespace is allowed before a semicolon, but not at the end of the line.
    let ends_in_space = bytes.last().is_some_and(|byte| matches!(byte, b' ' | b'\t'));
    let starts_validly = trim(&parts[0]).is_empty() && (!extensions.is_empty() || bytes.is_empty());
    !is_quoted
        && !ends_in_space
        && starts_validly
        && extensions.iter().all(|text| is_extension(text))
}

/// Returns whether a text is the name of an extension, with or without a value.
fn is_extension(text: &[u8]) -> bool {
    let mut parts = text.splitn(2, |byte| *byte == b'=');
    let name = parts.next().map(trim).unwrap_or_default();
    is_token(name) && parts.next().map(trim).is_none_or(|value| is_token(value) || is_quoted(value))
}

/// Returns whether a text is one quoted string.
fn is_quoted(text: &[u8]) -> bool {
    let [b'"', inner @ .., b'"'] = text else { return false };
    let mut inner = inner.iter();
    while let Some(byte) = inner.next() {
        let is_allowed = match byte {
            b'\\' => inner.next().is_some(),
            b'"' => false,
            _ => true,
        };
        if !is_allowed {
            return false;
        }
    }
    is_text(text)
}

/// Returns whether a text is a token.
fn is_token(text: &[u8]) -> bool {
    let is_allowed = |byte: &u8| {
        matches!(byte, b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9')
            || "!#$%&'*+-.^_`|~".as_bytes().contains(byte)
    };
    !text.is_empty() && text.iter().all(is_allowed)
}

/// Returns whether a text holds no control bytes but tabs.
fn is_text(text: &[u8]) -> bool {
    text.iter().all(|byte| matches!(byte, b'\t' | 0x20..=0x7e | 0x80..))
}

/// Removes spaces and tabs from both ends.
fn trim(text: &[u8]) -> &[u8] {
    let is_other = |byte: &u8| !matches!(byte, b' ' | b'\t');
    let Some(start) = text.iter().position(is_other) else { return &[] };
    let end = text.iter().rposition(is_other).unwrap_or(start);
    &text[start..=end]
}

/// Parses a number that consists of digits only.
fn number(digits: &[u8], radix: u32) -> Option<usize> {
    let text = std::str::from_utf8(digits).ok()?;
    if text.starts_with('+') {
        return None;
    }
    usize::from_str_radix(text, radix).ok()
}
