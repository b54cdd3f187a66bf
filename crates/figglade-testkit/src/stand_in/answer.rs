//! Builds the HTTP answers of a stand-in target, faulty ones among them.

use std::{convert::Infallible, io, time::Duration};

use bytes::{BufMut, Bytes, BytesMut};
use futures::{StreamExt, stream};
use http_body_util::{BodyExt, Full, StreamBody, combinators::BoxBody};
use hyper::{
    Response, StatusCode,
    body::Frame,
    header::{CONTENT_LENGTH, CONTENT_TYPE},
};
use serde::Serialize;

use super::{service::ServiceEnd, settings::AnswerFault};

/// The body of an answer.
pub(super) type AnswerBody = BoxBody<Bytes, io::Error>;

/// The largest padding of an answer, in bytes.
const MAX_PADDING_BYTES: u64 = 256 << 20;

/// Builds an answer without faults.
pub(super) fn plain_answer<T: Serialize>(status: u16, body: &T) -> Response<AnswerBody> {
    let bytes = encode_json(body);
    build_response(status, bytes.len(), whole_body(bytes))
}

/// Builds a 200 answer with a fault of the body.
///
/// # Errors
///
/// Fails when the fault cannot be written through the HTTP library.
pub(super) fn build_answer<T: Serialize>(
    body: &T,
    fault: AnswerFault,
) -> Result<Response<AnswerBody>, ServiceEnd> {
    let bytes = encode_json(body);
    let length = bytes.len();
    Ok(match fault {
        AnswerFault::Doubled => return Err(ServiceEnd::Raw(double_answer(&bytes))),
        AnswerFault::Malformed => {
            let bytes = bytes.slice(..length / 2);
            build_response(200, bytes.len(), whole_body(bytes))
        }
        AnswerFault::Truncated => build_response(200, length, truncated_body(bytes)),
        AnswerFault::Oversized { bytes: padding } => {
            let bytes = pad_json(&bytes, padding);
            build_response(200, bytes.len(), whole_body(bytes))
        }
        AnswerFault::Drip { piece_bytes, pause_ms } => {
            let body = dripping_body(bytes, piece_bytes, Duration::from_millis(pause_ms));
            build_response(200, length, body)
        }
        _ => build_response(200, length, whole_body(bytes)),
    })
}

/// Encodes a body; every type of the interface can be encoded.
fn encode_json<T: Serialize>(body: &T) -> Bytes {
    serde_json::to_vec(body).map(Bytes::from).unwrap_or_default()
}

/// Builds a response with an explicit length.
fn build_response(status: u16, length: usize, body: AnswerBody) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, hyper::header::HeaderValue::from_static("application/json"));
    headers.insert(CONTENT_LENGTH, length.into());
    response
}

/// Sends everything at once.
fn whole_body(bytes: Bytes) -> AnswerBody {
    Full::new(bytes).map_err(|never: Infallible| match never {}).boxed()
}

/// Sends half of the bytes, then breaks the connection.
fn truncated_body(bytes: Bytes) -> AnswerBody {
    let half = bytes.slice(..bytes.len() / 2);
    let cut = io::Error::other("the answer is cut short");
    let first = stream::iter([Ok(Frame::data(half))]);
    let last = stream::once(async move {
        // The first half must be on its way before the connection breaks.
        tokio::task::yield_now().await;
        Err(cut)
    });
    BodyExt::boxed(StreamBody::new(first.chain(last)))
}

/// Sends a piece at a time with a pause before each.
fn dripping_body(bytes: Bytes, piece_bytes: u32, pause: Duration) -> AnswerBody {
    let piece = (piece_bytes as usize).max(1);
    let pieces = stream::unfold(bytes, move |mut rest| async move {
        if rest.is_empty() {
            return None;
        }
        tokio::time::sleep(pause).await;
        let head = rest.split_to(piece.min(rest.len()));
        Some((Ok(Frame::data(head)), rest))
    });
    BodyExt::boxed(StreamBody::new(pieces))
}

/// Appends spaces, which JSON allows after a value.
fn pad_json(bytes: &Bytes, padding: u64) -> Bytes {
    let padding = padding.min(MAX_PADDING_BYTES) as usize;
    let mut padded = BytesMut::with_capacity(bytes.len() + padding);
    padded.extend_from_slice(bytes);
    padded.put_bytes(b' ', padding);
    padded.freeze()
}

/// Writes a whole HTTP answer twice.
fn double_answer(body: &Bytes) -> Bytes {
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let mut raw = BytesMut::new();
    for _ in 0..2 {
        raw.extend_from_slice(head.as_bytes());
        raw.extend_from_slice(body);
    }
    raw.freeze()
}
