//! Complete requests and responses.

use bytes::{Buf, BufMut, Bytes, BytesMut, buf::Chain};

use super::head::{HeaderField, RequestHead};

/// A request that was read completely.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    /// The head.
    pub head: RequestHead,
    /// The body.
    pub body: Bytes,
    /// Whether it is the first request on its connection, so that the caller has spent time on
    /// connecting.
    pub is_first: bool,
}

/// A response with its complete body.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// The status code.
    pub status: u16,
    /// The header fields without those for the connection and the framing, which are added on
    /// encoding.
    pub headers: Vec<HeaderField>,
    /// The body.
    pub body: Bytes,
}

/// Builds a header field from text.
pub fn text_field(name: &'static str, value: impl Into<Bytes>) -> HeaderField {
    HeaderField { name: Bytes::from_static(name.as_bytes()), value: value.into() }
}

impl HttpResponse {
    /// Builds a response without a body.
    pub const fn empty(status: u16) -> Self {
        Self { status, headers: Vec::new(), body: Bytes::new() }
    }

    /// Builds a response with a plain text body.
    pub fn text(status: u16, text: impl Into<Bytes>) -> Self {
        let headers = vec![text_field("content-type", "text/plain; charset=utf-8")];
        Self { status, headers, body: text.into() }
    }

    /// Builds a response with a JSON body.
    pub fn json(status: u16, body: impl Into<Bytes>) -> Self {
        let headers = vec![text_field("content-type", "application/json")];
        Self { status, headers, body: body.into() }
    }

    /// Adds a header field.
    #[must_use]
    pub fn with(mut self, field: HeaderField) -> Self {
        self.headers.push(field);
        self
    }

    /// Encodes the response, without its body when it answers a `HEAD` request. The body is not copied.
    pub(super) fn encode(self, is_to_head: bool, is_last: bool) -> Chain<BytesMut, Bytes> {
        let fields: usize =
            self.headers.iter().map(|field| field.name.len() + field.value.len() + 4).sum();
        let mut out = BytesMut::with_capacity(96 + fields);
        out.put_slice(b"HTTP/1.1 ");
        out.put_slice(self.status.to_string().as_bytes());
        out.put_u8(b' ');
        out.put_slice(reason_phrase(self.status).as_bytes());
        out.put_slice(b"\r\n");
        for field in &self.headers {
            put_field(&mut out, &field.name, &field.value);
        }
        if !matches!(self.status, 204 | 304) {
            put_field(&mut out, b"content-length", self.body.len().to_string().as_bytes());
        }
        if is_last {
            put_field(&mut out, b"connection", b"close");
        }
        out.put_slice(b"\r\n");
        out.chain(if is_to_head { Bytes::new() } else { self.body })
    }
}

/// Appends a header field.
pub(crate) fn put_field(out: &mut impl BufMut, name: &[u8], value: &[u8]) {
    out.put_slice(name);
    out.put_slice(b": ");
    out.put_slice(value);
    out.put_slice(b"\r\n");
}

fn reason_phrase(status: u16) -> &'static str {
    let known = http::StatusCode::from_u16(status).ok();
    known.and_then(|status| status.canonical_reason()).unwrap_or("Unknown")
}
