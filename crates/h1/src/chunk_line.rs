//! Lines of the chunked transfer coding (RFC 9112, section 7.1), without their CR LF.

/// Most digits of a size that [`parse_plain`] reads: they fit in 64 bits.
const MAX_PLAIN_DIGITS: usize = 16;

/// Size and length of a chunk line that is a size alone, with its CR LF; `None` if it is anything
/// else. Most lines are; bodies may have many short chunks.
pub(crate) fn parse_plain(bytes: &[u8]) -> Option<(u64, usize)> {
    let mut size = 0;
    for (length, byte) in bytes.iter().take(MAX_PLAIN_DIGITS + 1).enumerate() {
        let digit = match byte {
            b'0'..=b'9' => byte - b'0',
            b'a'..=b'f' => byte - b'a' + 10,
            b'A'..=b'F' => byte - b'A' + 10,
            b'\r' if length > 0 && bytes.get(length + 1) == Some(&b'\n') => {
                return Some((size, length));
            }
            _ => return None,
        };
        size = size << 4 | u64::from(digit);
    }
    None
}

/// Size in a chunk line; `None` if the line is not valid.
///
/// Failure guarded: a line without a digit, or with anything else that is no size, is taken for the
/// last chunk, and a body that broke off looks complete.
pub(crate) fn parse_size(line: &[u8]) -> Option<u64> {
    let digits = line.iter().take_while(|byte| byte.is_ascii_hexdigit()).count();
    let (digits, extensions) = line.split_at(digits);
    if digits.is_empty() || !are_extensions(extensions) {
        return None;
    }
    digits.iter().try_fold(0_u64, |size, digit| {
        let digit = char::from(*digit).to_digit(16)?;
        size.checked_mul(16)?.checked_add(u64::from(digit))
    })
}

/// Whether a trailer line is a header field: a name, a colon and a value without control characters.
pub(crate) fn is_field_line(line: &[u8]) -> bool {
    let Some(colon) = memchr::memchr(b':', line) else { return false };
    let (name, value) = line.split_at(colon);
    !name.is_empty() && name.iter().all(is_token_byte) && value.iter().all(is_text_byte)
}

/// Whether these are chunk extensions, each a semicolon and a name with or without a value.
fn are_extensions(mut rest: &[u8]) -> bool {
    while !rest.is_empty() {
        let Some(after) = take_separator(rest, b';') else { return false };
        let Some(after) = take_token(after) else { return false };
        rest = match take_separator(after, b'=') {
            None => after,
            Some(value) => match take_quoted(value).or_else(|| take_token(value)) {
                Some(after) => after,
                None => return false,
            },
        };
    }
    true
}

/// What follows a separator and the whitespace around it.
fn take_separator(bytes: &[u8], separator: u8) -> Option<&[u8]> {
    let rest = skip_blanks(bytes).strip_prefix(&[separator])?;
    Some(skip_blanks(rest))
}

fn take_token(bytes: &[u8]) -> Option<&[u8]> {
    let length = bytes.iter().take_while(|byte| is_token_byte(byte)).count();
    (length > 0).then(|| &bytes[length..])
}

fn take_quoted(bytes: &[u8]) -> Option<&[u8]> {
    let mut rest = bytes.strip_prefix(b"\"")?;
    loop {
        rest = match rest {
            [b'"', after @ ..] => return Some(after),
            [b'\\', escaped, after @ ..] if is_text_byte(escaped) => after,
            [byte, after @ ..] if *byte != b'\\' && is_text_byte(byte) => after,
            _ => return None,
        };
    }
}

fn is_token_byte(byte: &u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(byte)
}

fn is_text_byte(byte: &u8) -> bool {
    *byte == b'\t' || (*byte >= b' ' && *byte != 0x7f)
}

fn skip_blanks(bytes: &[u8]) -> &[u8] {
    let blanks = bytes.iter().take_while(|byte| matches!(byte, b' ' | b'\t')).count();
    &bytes[blanks..]
}
