//! Message bodies and their framing.

use bytes::{Buf, Bytes, BytesMut};

use super::{
    error::HttpError,
    head::{HeaderList, RequestHead, ResponseHead},
};

/// The maximum length of a chunk size line or a trailer line, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 4_096;
/// The maximum length of all trailers of a body, in bytes.
const MAX_TRAILER_BYTES: usize = 16 << 10;

/// How a body is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// By the `Content-Length` header.
    Length(usize),
    /// By the chunked transfer coding.
    Chunked,
    /// By the close of the connection.
    UntilClose,
}

/// Returns how the body of a request is delimited.
///
/// # Errors
///
/// Fails when the request has more than one length or a transfer coding other than `chunked`, since
/// another HTTP implementation could find a different end of the body (request smuggling).
pub fn frame_request(head: &RequestHead) -> Result<BodyFraming, HttpError> {
    let framing = declared_framing(&head.headers)?;
    if framing == Some(BodyFraming::Chunked) && !head.is_http11 {
        return Err(HttpError::BadFraming);
    }
    Ok(framing.unwrap_or(BodyFraming::Length(0)))
}

/// Returns how the body of a response is delimited; `is_to_head` is whether it answers a `HEAD`
/// request, so that it has no body.
///
/// # Errors
///
/// Fails as [`frame_request`] does.
pub fn frame_response(head: &ResponseHead, is_to_head: bool) -> Result<BodyFraming, HttpError> {
    let is_bodiless = is_to_head || head.status < 200 || matches!(head.status, 204 | 304);
    if is_bodiless {
        return Ok(BodyFraming::Length(0));
    }
    Ok(declared_framing(&head.headers)?.unwrap_or(BodyFraming::UntilClose))
}

fn declared_framing(headers: &HeaderList) -> Result<Option<BodyFraming>, HttpError> {
    let mut lengths = headers.all("content-length");
    let mut codings = headers.all("transfer-encoding");
    let (length, coding) = (lengths.next(), codings.next());
    if lengths.next().is_some() || codings.next().is_some() {
        return Err(HttpError::BadFraming);
    }
    match (length, coding) {
        (None, None) => Ok(None),
        (Some(length), None) => parse_length(length).map(BodyFraming::Length).map(Some),
        (None, Some(coding)) if coding.eq_ignore_ascii_case(b"chunked") => {
            Ok(Some(BodyFraming::Chunked))
        }
        _ => Err(HttpError::BadFraming),
    }
}

fn parse_length(text: &[u8]) -> Result<usize, HttpError> {
    if text.is_empty() || !text.iter().all(u8::is_ascii_digit) {
        return Err(HttpError::BadFraming);
    }
    let text = std::str::from_utf8(text).map_err(|_| HttpError::BadFraming)?;
    text.parse().map_err(|_| HttpError::BodyTooLarge)
}

#[derive(Debug)]
enum ReaderState {
    /// Waits for this many bytes, which stay in the input buffer until all have arrived.
    Length(usize),
    /// Waits for a chunk size line.
    ChunkSize,
    /// Waits for this many further bytes of the data of a chunk.
    ChunkData(usize),
    /// Waits for the CR LF after the data of a chunk.
    ChunkEnd,
    /// Waits for the empty line after the trailers; holds the length of those read.
    Trailers(usize),
    /// Reads up to the close of the connection.
    UntilClose,
    /// The body is complete.
    Done,
}

/// Reads a body incrementally.
#[derive(Debug)]
pub struct BodyReader {
    state: ReaderState,
    limit: usize,
    body: BytesMut,
    complete_body: Bytes,
}

impl BodyReader {
    /// Creates a reader for a body of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Fails when the declared length exceeds the limit.
    pub fn start(framing: BodyFraming, limit: usize) -> Result<Self, HttpError> {
        let state = match framing {
            BodyFraming::Length(length) if length > limit => return Err(HttpError::BodyTooLarge),
            BodyFraming::Length(length) => ReaderState::Length(length),
            BodyFraming::Chunked => ReaderState::ChunkSize,
            BodyFraming::UntilClose => ReaderState::UntilClose,
        };
        Ok(Self { state, limit, body: BytesMut::new(), complete_body: Bytes::new() })
    }

    /// Consumes the bytes of the body from `buffer` and returns whether the body is complete.
    ///
    /// # Errors
    ///
    /// Fails when a chunk is malformed or the body exceeds the limit.
    pub fn feed(&mut self, buffer: &mut BytesMut) -> Result<bool, HttpError> {
        loop {
            match self.state {
                ReaderState::Length(length) => {
                    // No memory is reserved for bytes that have not arrived.
                    if buffer.len() < length {
                        return Ok(false);
                    }
                    self.complete_body = buffer.split_to(length).freeze();
                    self.state = ReaderState::Done;
                }
                ReaderState::ChunkSize => {
                    let Some(line) = take_line(buffer)? else { return Ok(false) };
                    self.state = match parse_chunk_size(&line)? {
                        0 => ReaderState::Trailers(0),
                        size if self.body.len() + size > self.limit => {
                            return Err(HttpError::BodyTooLarge);
                        }
                        size => ReaderState::ChunkData(size),
                    };
                }
                ReaderState::ChunkData(size) => {
                    let arrived = buffer.len().min(size);
                    self.body.extend_from_slice(&buffer[..arrived]);
                    buffer.advance(arrived);
                    if arrived < size {
                        self.state = ReaderState::ChunkData(size - arrived);
                        return Ok(false);
                    }
                    self.state = ReaderState::ChunkEnd;
                }
                ReaderState::ChunkEnd => {
                    if buffer.len() < 2 {
                        return Ok(false);
                    }
                    if &buffer[..2] != b"\r\n" {
                        return Err(HttpError::BadChunk);
                    }
                    buffer.advance(2);
                    self.state = ReaderState::ChunkSize;
                }
                ReaderState::Trailers(length) => {
                    let Some(line) = take_line(buffer)? else { return Ok(false) };
                    if line.is_empty() {
                        self.complete_body = self.body.split().freeze();
                        self.state = ReaderState::Done;
                    } else if length + line.len() > MAX_TRAILER_BYTES {
                        return Err(HttpError::BadChunk);
                    } else {
                        self.state = ReaderState::Trailers(length + line.len());
                    }
                }
                ReaderState::UntilClose => {
                    if self.body.len() + buffer.len() > self.limit {
                        return Err(HttpError::BodyTooLarge);
                    }
                    self.body.extend_from_slice(buffer);
                    buffer.clear();
                    return Ok(false);
                }
                ReaderState::Done => return Ok(true),
            }
        }
    }

    /// Handles the end of the connection, which completes only a body delimited by it.
    ///
    /// # Errors
    ///
    /// Fails when the body is truncated.
    pub fn handle_eof(&mut self) -> Result<(), HttpError> {
        match self.state {
            ReaderState::UntilClose => {
                self.complete_body = self.body.split().freeze();
                self.state = ReaderState::Done;
                Ok(())
            }
            ReaderState::Done => Ok(()),
            _ => Err(HttpError::Truncated),
        }
    }

    /// Returns the number of bytes that it holds.
    pub fn held_bytes(&self) -> usize {
        self.body.len() + self.complete_body.len()
    }

    /// Returns the complete body.
    pub fn into_body(self) -> Bytes {
        self.complete_body
    }
}

/// Takes a line from the buffer and strips its end, which must be CR LF.
fn take_line(buffer: &mut BytesMut) -> Result<Option<Bytes>, HttpError> {
    let Some(end) = buffer.iter().position(|byte| *byte == b'\n') else {
        return if buffer.len() > MAX_CHUNK_LINE_BYTES {
            Err(HttpError::BadChunk)
        } else {
            Ok(None)
        };
    };
    if end == 0 || buffer[end - 1] != b'\r' || end > MAX_CHUNK_LINE_BYTES {
        return Err(HttpError::BadChunk);
    }
    let mut line = buffer.split_to(end + 1).freeze();
    line.truncate(end - 1);
    Ok(Some(line))
}

fn parse_chunk_size(line: &[u8]) -> Result<usize, HttpError> {
    let end = line.iter().position(|byte| *byte == b';').unwrap_or(line.len());
    let digits = &line[..end];
    // Eight hexadecimal digits exceed every body limit.
    if digits.is_empty() || digits.len() > 8 || !digits.iter().all(u8::is_ascii_hexdigit) {
        return Err(HttpError::BadChunk);
    }
    let text = std::str::from_utf8(digits).map_err(|_| HttpError::BadChunk)?;
    usize::from_str_radix(text, 16).map_err(|_| HttpError::BadChunk)
}
