//! Parsed heads.

use bytes::Bytes;
use thiserror::Error;

use crate::body::BodyFraming;

/// Most header fields of one head; a head with more is refused as too large.
const MAX_FIELDS: usize = 100;

/// A head that is not proper HTTP/1.1.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum HeadError {
    /// Not parseable.
    #[error("the head is not HTTP/1.1")]
    Malformed,
    /// More header fields than accepted.
    #[error("the head has too many header fields")]
    TooManyFields,
    /// The length of the body can be read in two ways.
    #[error("the length of the body is ambiguous")]
    AmbiguousLength,
    /// A transfer coding other than `chunked`.
    #[error("the transfer coding is not supported")]
    UnsupportedCoding,
}

/// One header field. Name and value share the head's buffer.
#[derive(Clone, Debug)]
pub struct HeaderField {
    /// Name as sent.
    pub name: Bytes,
    /// Value without surrounding white space.
    pub value: Bytes,
}

impl HeaderField {
    /// Whether the field has this name.
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

    /// The first field of that name, as text; `None` also where the value is not UTF-8.
    pub fn text(&self, name: &str) -> Option<&str> {
        let field = self.0.iter().find(|field| field.is(name))?;
        std::str::from_utf8(&field.value).ok()
    }

    /// The first field of that name, parsed.
    pub fn parse<T: std::str::FromStr>(&self, name: &str) -> Option<T> {
        self.text(name)?.trim().parse().ok()
    }

    /// Whether a field of that name is present.
    pub fn has(&self, name: &str) -> bool {
        self.0.iter().any(|field| field.is(name))
    }

    /// Whether some field `name` holds `token` in its comma-separated list.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        let matches = |field: &HeaderField| {
            field
                .value
                .split(|byte| *byte == b',')
                .any(|item| item.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
        };
        self.0.iter().filter(|field| field.is(name)).any(matches)
    }

    /// Whether the peer wants the connection closed after this message.
    pub fn wants_close(&self) -> bool {
        self.has_token("connection", "close")
    }

    fn framing(&self) -> Result<Option<BodyFraming>, HeadError> {
        let mut length: Option<u64> = None;
        let mut lengths = 0;
        let mut codings = 0;
        let mut chunked = false;
        for field in &self.0 {
            if field.is("content-length") {
                lengths += 1;
                length = Some(parse_length(&field.value).ok_or(HeadError::AmbiguousLength)?);
            } else if field.is("transfer-encoding") {
                codings += 1;
                chunked = field.value.trim_ascii().eq_ignore_ascii_case(b"chunked");
            }
        }
        // Failure guarded: two lengths, or a length beside chunks, let two readers of the same
        // bytes disagree where a request ends, and a second one hides in the first.
        if lengths + codings > 1 {
            return Err(HeadError::AmbiguousLength);
        }
        if codings == 1 {
            return if chunked {
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

/// A request's head.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Method.
    pub method: Bytes,
    /// Request target as sent: path and query.
    pub target: Bytes,
    /// Whether the message says HTTP/1.1 rather than 1.0.
    pub is_http11: bool,
    /// Header fields.
    pub headers: HeaderList,
    /// How the body is delimited.
    pub framing: BodyFraming,
}

impl RequestHead {
    /// Parses a whole head, from its first byte to the empty line.
    pub(crate) fn parse(bytes: &Bytes) -> Result<Self, HeadError> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut request = httparse::Request::new(&mut fields);
        check(request.parse(bytes))?;
        let headers = collect(bytes, request.headers);
        let method = request.method.ok_or(HeadError::Malformed)?;
        let target = request.path.ok_or(HeadError::Malformed)?;
        let framing = headers.framing()?.unwrap_or(BodyFraming::Empty);
        Ok(Self {
            method: bytes.slice_ref(method.as_bytes()),
            target: bytes.slice_ref(target.as_bytes()),
            is_http11: request.version == Some(1),
            headers,
            framing,
        })
    }

    /// The request target as text. `httparse` admits only visible ASCII and UTF-8 there.
    pub fn target_text(&self) -> &str {
        std::str::from_utf8(&self.target).unwrap_or_default()
    }

    /// Path without the query.
    pub fn path(&self) -> &str {
        let target = self.target_text();
        target.split_once('?').map_or(target, |(path, _)| path)
    }

    /// The first query parameter of that name, with percent-encoding undone.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target_text().split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.into_iter().find(|(key, _)| *key == name)?;
        Some(percent_decode(value))
    }

    /// Whether the connection may carry another request afterwards.
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

/// An answer's head.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Reason phrase as sent.
    pub reason: Bytes,
    /// Whether the message says HTTP/1.1 rather than 1.0.
    pub is_http11: bool,
    /// Header fields.
    pub headers: HeaderList,
    framing: Option<BodyFraming>,
}

impl ResponseHead {
    /// Parses a whole head, from its first byte to the empty line.
    pub(crate) fn parse(bytes: &Bytes) -> Result<Self, HeadError> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut response = httparse::Response::new(&mut fields);
        check(response.parse(bytes))?;
        let headers = collect(bytes, response.headers);
        let framing = headers.framing()?;
        let reason = response.reason.unwrap_or_default();
        Ok(Self {
            status: response.code.ok_or(HeadError::Malformed)?,
            reason: Bytes::copy_from_slice(reason.as_bytes()),
            is_http11: response.version == Some(1),
            headers,
            framing,
        })
    }

    /// How the body is delimited, given the request's method.
    pub fn framing(&self, method: &[u8]) -> BodyFraming {
        let bodiless = method == b"HEAD" || self.status < 200 || matches!(self.status, 204 | 304);
        if bodiless {
            return BodyFraming::Empty;
        }
        self.framing.unwrap_or(BodyFraming::UntilClose)
    }

    /// Whether the connection may carry another request afterwards.
    pub fn keeps_alive(&self) -> bool {
        self.is_http11 && !self.headers.wants_close()
    }
}

fn check(parsed: Result<httparse::Status<usize>, httparse::Error>) -> Result<(), HeadError> {
    match parsed {
        Ok(httparse::Status::Complete(_)) => Ok(()),
        Err(httparse::Error::TooManyHeaders) => Err(HeadError::TooManyFields),
        Ok(httparse::Status::Partial) | Err(_) => Err(HeadError::Malformed),
    }
}

fn collect(bytes: &Bytes, fields: &[httparse::Header<'_>]) -> HeaderList {
    let field = |field: &httparse::Header<'_>| HeaderField {
        name: bytes.slice_ref(field.name.as_bytes()),
        value: bytes.slice_ref(field.value),
    };
    HeaderList(fields.iter().map(field).collect())
}
