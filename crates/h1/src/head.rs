//! Parsed message heads.

use bytes::Bytes;
use thiserror::Error;

use crate::body::BodyFraming;

/// Upper limit of header fields in one head; a head with more is rejected as too large.
const MAX_FIELDS: usize = 100;

const SWITCHING_PROTOCOLS: u16 = 101;
const NO_CONTENT: u16 = 204;
const NOT_MODIFIED: u16 = 304;

/// Why a message is not valid HTTP/1.1.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum HeadError {
    /// The head, a chunk or the trailer section cannot be parsed.
    #[error("malformed HTTP/1.1 message")]
    Malformed,
    /// The head has more header fields than accepted.
    #[error("message head has more than {MAX_FIELDS} header fields")]
    TooManyFields,
    /// `Content-Length` is invalid, or the head has more than one `Content-Length` or
    /// `Transfer-Encoding` field.
    #[error("invalid Content-Length, or more than one field that sets the body length")]
    AmbiguousLength,
    /// The transfer coding is not `chunked`, or the message is of a version that has none.
    #[error("unsupported transfer coding, expected chunked in HTTP/1.1")]
    UnsupportedCoding,
}

/// One header field. Name and value are slices of the head's buffer.
#[derive(Clone, Debug)]
pub struct HeaderField {
    /// Name as received.
    pub name: Bytes,
    /// Value without leading and trailing whitespace.
    pub value: Bytes,
}

impl HeaderField {
    /// Whether the field has this name, ignoring case.
    pub fn is(&self, name: &str) -> bool {
        self.name.eq_ignore_ascii_case(name.as_bytes())
    }
}

/// The header fields of a head, in order.
#[derive(Clone, Debug, Default)]
pub struct HeaderList(Vec<HeaderField>);

impl HeaderList {
    /// All fields in order.
    pub fn iter(&self) -> impl Iterator<Item = &HeaderField> {
        self.0.iter()
    }

    /// Value of the first field with this name; `None` also if the value is not UTF-8.
    pub fn text(&self, name: &str) -> Option<&str> {
        let field = self.0.iter().find(|field| field.is(name))?;
        std::str::from_utf8(&field.value).ok()
    }

    /// Parsed value of the first field with this name; `None` also if it cannot be parsed.
    pub fn parse<T: std::str::FromStr>(&self, name: &str) -> Option<T> {
        self.text(name)?.trim().parse().ok()
    }

    /// Whether a field with this name is present.
    pub fn has(&self, name: &str) -> bool {
        self.0.iter().any(|field| field.is(name))
    }

    /// Whether `token` is in the comma-separated list of a field with this name.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        let matches = |field: &HeaderField| {
            field
                .value
                .split(|byte| *byte == b',')
                .any(|item| item.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
        };
        self.0.iter().filter(|field| field.is(name)).any(matches)
    }

    /// Whether the sender asks to close the connection after this message (`Connection: close`).
    pub fn wants_close(&self) -> bool {
        self.has_token("connection", "close")
    }

    fn framing(&self, is_http11: bool) -> Result<Option<BodyFraming>, HeadError> {
        let mut length: Option<u64> = None;
        let mut length_fields = 0;
        let mut coding_fields = 0;
        let mut chunked = false;
        for field in &self.0 {
            if field.is("content-length") {
                length_fields += 1;
                length = Some(parse_length(&field.value).ok_or(HeadError::AmbiguousLength)?);
            } else if field.is("transfer-encoding") {
                coding_fields += 1;
                chunked = field.value.trim_ascii().eq_ignore_ascii_case(b"chunked");
            }
        }
        // Prevents request smuggling: with two lengths, or a length and chunked coding, two parsers
        // can disagree on where a request ends, and a second request can hide in the first.
        if length_fields + coding_fields > 1 {
            return Err(HeadError::AmbiguousLength);
        }
        if coding_fields == 1 {
            return if chunked && is_http11 {
                Ok(Some(BodyFraming::Chunked))
            } else {
                Err(HeadError::UnsupportedCoding)
            };
        }
        Ok(length.map(BodyFraming::Length))
    }
}

fn parse_length(value: &[u8]) -> Option<u64> {
    let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    if !digits {
        return None;
    }
    std::str::from_utf8(value).ok()?.parse().ok()
}

/// The head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Request method.
    pub method: Bytes,
    /// Request target as received: path and query.
    pub target: Bytes,
    /// Whether the version of the message is HTTP/1.1.
    pub is_http11: bool,
    /// Header fields.
    pub headers: HeaderList,
    /// How the end of the body is determined.
    pub framing: BodyFraming,
}

impl RequestHead {
    /// Parses a complete head, including the empty line at its end.
    pub(crate) fn parse(bytes: &Bytes) -> Result<Self, HeadError> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut request = httparse::Request::new(&mut fields);
        require_complete(bytes, request.parse(bytes))?;
        let headers = to_header_list(bytes, request.headers);
        let method = request.method.ok_or(HeadError::Malformed)?;
        let target = request.path.ok_or(HeadError::Malformed)?;
        let is_http11 = request.version == Some(1);
        let framing = headers.framing(is_http11)?.unwrap_or(BodyFraming::Empty);
        Ok(Self {
            method: bytes.slice_ref(method.as_bytes()),
            target: bytes.slice_ref(target.as_bytes()),
            is_http11,
            headers,
            framing,
        })
    }

    /// Request target as text. `httparse` accepts only visible ASCII and UTF-8 in it.
    pub fn target_text(&self) -> &str {
        std::str::from_utf8(&self.target).unwrap_or_default()
    }

    /// Path without the query.
    pub fn path(&self) -> &str {
        let target = self.target_text();
        target.split_once('?').map_or(target, |(path, _)| path)
    }

    /// Value of the first query parameter with this name, percent-decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target_text().split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.into_iter().find(|(key, _)| *key == name)?;
        Some(percent_decode(value))
    }

    /// Whether the connection may carry another request after this message.
    pub fn keeps_alive(&self) -> bool {
        if self.is_http11 {
            !self.headers.wants_close()
        } else {
            self.headers.has_token("connection", "keep-alive")
        }
    }
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        let code = tail.get(..2).and_then(|hex| std::str::from_utf8(hex).ok());
        match code.filter(|_| *first == b'%').and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            None => {
                bytes.push(if *first == b'+' { b' ' } else { *first });
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// The head of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Reason phrase as received.
    pub reason: Bytes,
    /// Whether the version of the message is HTTP/1.1.
    pub is_http11: bool,
    /// Header fields.
    pub headers: HeaderList,
    framing: Option<BodyFraming>,
}

impl ResponseHead {
    /// Parses a complete head, including the empty line at its end.
    pub(crate) fn parse(bytes: &Bytes) -> Result<Self, HeadError> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut response = httparse::Response::new(&mut fields);
        require_complete(bytes, response.parse(bytes))?;
        let headers = to_header_list(bytes, response.headers);
        let is_http11 = response.version == Some(1);
        let framing = headers.framing(is_http11)?;
        let status = response.code.ok_or(HeadError::Malformed)?;
        if !may_have_framing(status, framing) {
            return Err(HeadError::Malformed);
        }
        let reason = response.reason.unwrap_or_default();
        Ok(Self {
            status,
            reason: Bytes::copy_from_slice(reason.as_bytes()),
            is_http11,
            headers,
            framing,
        })
    }

    /// How the end of the body is determined, given the method of the request.
    pub fn framing(&self, method: &[u8]) -> BodyFraming {
        let has_no_body = method == b"HEAD"
            || self.status < 200
            || matches!(self.status, NO_CONTENT | NOT_MODIFIED);
        if has_no_body {
            return BodyFraming::Empty;
        }
        self.framing.unwrap_or(BodyFraming::UntilClose)
    }

    /// Whether the connection may carry another request after this message.
    pub fn keeps_alive(&self) -> bool {
        self.is_http11 && !self.headers.wants_close()
    }
}

/// Whether a response with this status may have this framing.
///
/// Failure guarded: a damaged status, which the parser takes as any three digits, says that there is
/// no body. The body that the head announces would be dropped, or taken for the next head.
fn may_have_framing(status: u16, framing: Option<BodyFraming>) -> bool {
    let states_body = !matches!(framing, None | Some(BodyFraming::Empty | BodyFraming::Length(0)));
    match status {
        // Requests never ask for another protocol.
        SWITCHING_PROTOCOLS => false,
        100..200 | NO_CONTENT => !states_body,
        200..600 => true,
        _ => false,
    }
}

/// Checks that the parser took all of `bytes` for the head.
///
/// Failure guarded: to the parser a line feed alone ends a line, so that a head may end for it before
/// the fields that say how long the body is. The rest of the head would be dropped, and the body read
/// with another framing.
fn require_complete(
    bytes: &[u8],
    parsed: Result<httparse::Status<usize>, httparse::Error>,
) -> Result<(), HeadError> {
    match parsed {
        Ok(httparse::Status::Complete(length)) if length < bytes.len() => Err(HeadError::Malformed),
        Ok(httparse::Status::Complete(_)) if has_bare_line_feed(bytes) => Err(HeadError::Malformed),
        Ok(httparse::Status::Complete(_)) => Ok(()),
        Err(httparse::Error::TooManyHeaders) => Err(HeadError::TooManyFields),
        Ok(httparse::Status::Partial) | Err(_) => Err(HeadError::Malformed),
    }
}

fn has_bare_line_feed(bytes: &[u8]) -> bool {
    memchr::memchr_iter(b'\n', bytes).any(|at| at == 0 || bytes[at - 1] != b'\r')
}

fn to_header_list(bytes: &Bytes, fields: &[httparse::Header<'_>]) -> HeaderList {
    let field = |field: &httparse::Header<'_>| HeaderField {
        name: bytes.slice_ref(field.name.as_bytes()),
        value: bytes.slice_ref(field.value),
    };
    HeaderList(fields.iter().map(field).collect())
}
