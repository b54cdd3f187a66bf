//! Parsing of request and response heads.

use std::ops::{Range, RangeInclusive};

use bytes::{Bytes, BytesMut};

use super::error::HttpError;

/// The maximum number of header fields of a message.
const MAX_HEADER_FIELDS: usize = 100;
/// The status codes that a response may have (RFC 9110, section 15).
const VALID_STATUSES: RangeInclusive<u16> = 100..=599;
/// The lowest status code of a final response.
const FIRST_FINAL_STATUS: u16 = 200;
/// The status code with which a server switches to another protocol, which no request asks for.
const SWITCHING_PROTOCOLS: u16 = 101;
/// The hop-by-hop headers, and those of framing, which are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "transfer-encoding",
    "content-length",
    "te",
    "trailer",
    "upgrade",
    "expect",
];

/// Returns whether a header is hop-by-hop or concerns the framing.
pub fn is_hop_by_hop_header(name: &[u8]) -> bool {
    HOP_BY_HOP_HEADERS.iter().any(|hop| name.eq_ignore_ascii_case(hop.as_bytes()))
}

/// One header field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderField {
    /// The name as received.
    pub name: Bytes,
    /// The value.
    pub value: Bytes,
}

/// The header fields of a message in the order received.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeaderList(pub Vec<HeaderField>);

impl HeaderList {
    /// Returns the first value of a header.
    pub fn get(&self, name: &str) -> Option<&Bytes> {
        self.all(name).next()
    }

    /// Returns the first value of a header as text.
    pub fn text(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.get(name)?).ok()
    }

    /// Returns every value of a header.
    pub fn all(&self, name: &str) -> impl Iterator<Item = &Bytes> {
        let named = self.0.iter();
        named
            .filter(move |field| field.name.eq_ignore_ascii_case(name.as_bytes()))
            .map(|f| &f.value)
    }

    /// Returns whether the comma-separated values of a header contain `token`.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name).any(|value| {
            let mut tokens = value.split(|byte| *byte == b',');
            tokens.any(|held| held.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
        })
    }

    /// Returns whether a field is hop-by-hop, by its name or because the `Connection` header lists
    /// it.
    pub fn is_hop_by_hop_field(&self, field: &HeaderField) -> bool {
        if is_hop_by_hop_header(&field.name) {
            return true;
        }
        let Ok(name) = std::str::from_utf8(&field.name) else { return false };
        self.has_token("connection", name)
    }
}

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The method.
    pub method: Bytes,
    /// The request target, path and query, as received.
    pub target: Bytes,
    /// Whether the version is HTTP/1.1, in which connections are persistent by default.
    pub is_http11: bool,
    /// The header fields.
    pub headers: HeaderList,
}

impl RequestHead {
    /// Takes the head from the start of `buffer`, or returns `None` while it is incomplete.
    ///
    /// # Errors
    ///
    /// Fails when the head is malformed or longer than `limit` bytes.
    pub fn take(buffer: &mut BytesMut, limit: usize) -> Result<Option<Self>, HttpError> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
        let mut parsed = httparse::Request::new(&mut fields);
        let length = match parsed.parse(buffer) {
            Ok(httparse::Status::Complete(length)) if length <= limit => length,
            Ok(httparse::Status::Partial) if buffer.len() <= limit => return Ok(None),
            Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(HttpError::HeadTooLarge),
            Err(_) => return Err(HttpError::BadHead),
        };
        let base = buffer.as_ptr() as usize;
        let method = span_of(base, parsed.method.unwrap_or_default().as_bytes());
        let target = span_of(base, parsed.path.unwrap_or_default().as_bytes());
        let is_http11 = parsed.version == Some(1);
        let spans = field_spans(base, parsed.headers);
        let raw = buffer.split_to(length).freeze();
        let headers = slice_fields(&raw, spans);
        Ok(Some(Self { method: raw.slice(method), target: raw.slice(target), is_http11, headers }))
    }

    /// Returns the path without its query.
    pub fn path(&self) -> &[u8] {
        let end = self.target.iter().position(|byte| *byte == b'?');
        &self.target[..end.unwrap_or(self.target.len())]
    }

    /// Returns whether the caller keeps the connection open after the response.
    pub fn keeps_connection(&self) -> bool {
        self.is_http11 && !self.headers.has_token("connection", "close")
    }
}

/// The head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// The reason phrase.
    pub reason: Bytes,
    /// Whether the version is HTTP/1.1, in which connections are persistent by default.
    pub is_http11: bool,
    /// The header fields.
    pub headers: HeaderList,
}

impl ResponseHead {
    /// Takes the head from the start of `buffer`, or returns `None` while it is incomplete.
    ///
    /// # Errors
    ///
    /// Fails when the head is malformed or longer than `limit` bytes, and when its status code is missing
    /// or outside 100 to 599.
    pub fn take(buffer: &mut BytesMut, limit: usize) -> Result<Option<Self>, HttpError> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
        let mut parsed = httparse::Response::new(&mut fields);
        let length = match parsed.parse(buffer) {
            Ok(httparse::Status::Complete(length)) if length <= limit => length,
            Ok(httparse::Status::Partial) if buffer.len() <= limit => return Ok(None),
            Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(HttpError::HeadTooLarge),
            Err(_) => return Err(HttpError::BadHead),
        };
        let base = buffer.as_ptr() as usize;
        let status = parsed.code.filter(|code| VALID_STATUSES.contains(code));
        let status = status.ok_or(HttpError::BadStatus)?;
        let reason = span_of(base, parsed.reason.unwrap_or_default().as_bytes());
        let is_http11 = parsed.version == Some(1);
        let spans = field_spans(base, parsed.headers);
        let raw = buffer.split_to(length).freeze();
        let headers = slice_fields(&raw, spans);
        Ok(Some(Self { status, reason: raw.slice(reason), is_http11, headers }))
    }

    /// Returns whether the response is interim, so that the final one follows.
    ///
    /// # Errors
    ///
    /// Fails when a final response has an interim status: one that declares a body, which no interim
    /// response has, or a switch to another protocol.
    pub fn is_interim(&self) -> Result<bool, HttpError> {
        if self.status >= FIRST_FINAL_STATUS {
            return Ok(false);
        }
        let mut framing = ["content-length", "transfer-encoding"].into_iter();
        let declares_body = framing.any(|name| self.headers.get(name).is_some());
        if self.status == SWITCHING_PROTOCOLS || declares_body {
            return Err(HttpError::BadStatus);
        }
        Ok(true)
    }

    /// Returns whether the sender keeps the connection open after the response.
    pub fn keeps_connection(&self) -> bool {
        self.is_http11 && !self.headers.has_token("connection", "close")
    }
}

/// Returns the range of `part` in the buffer that starts at `base`. An empty part may point outside
/// the buffer and gets an empty range.
fn span_of(base: usize, part: &[u8]) -> Range<usize> {
    if part.is_empty() {
        return 0..0;
    }
    let start = part.as_ptr() as usize - base;
    start..start + part.len()
}

fn field_spans(base: usize, fields: &[httparse::Header<'_>]) -> Vec<(Range<usize>, Range<usize>)> {
    let spans = fields.iter();
    spans.map(|field| (span_of(base, field.name.as_bytes()), span_of(base, field.value))).collect()
}

fn slice_fields(raw: &Bytes, spans: Vec<(Range<usize>, Range<usize>)>) -> HeaderList {
    let fields = spans.into_iter();
    let sliced =
        fields.map(|(name, value)| HeaderField { name: raw.slice(name), value: raw.slice(value) });
    HeaderList(sliced.collect())
}
