//! Bodies and their framing.

use bytes::{Buf, Bytes, BytesMut};

use super::{
    error::HttpError,
    head::{HeaderList, RequestHead, ResponseHead},
};

/// The longest line of a chunk size or a trailer, in bytes.
const MAX_CHUNK_LINE: usize = 4_096;
/// The most bytes of trailers.
const MAX_TRAILERS: usize = 16 << 10;

/// How a body is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// By its length.
    Length(usize),
    /// By chunks.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

/// Returns how the body of a request is delimited.
///
/// # Errors
///
/// Fails when the request has two lengths or an encoding other than chunks: another reader could
/// take its end elsewhere.
pub fn frame_request(head: &RequestHead) -> Result<BodyFraming, HttpError> {
    let framing = declared_framing(&head.headers)?;
    if framing == Some(BodyFraming::Chunked) && !head.is_http11 {
        return Err(HttpError::BadFraming);
    }
    Ok(framing.unwrap_or(BodyFraming::Length(0)))
}

/// Returns how the body of a response is delimited.
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
    /// Waits for this many bytes; they stay in the buffer until all are there.
    Length(usize),
    /// Waits for the line with the size of a chunk.
    ChunkSize,
    /// Waits for the rest of a chunk and its line end.
    ChunkData(usize),
    /// Waits for the empty line behind the trailers.
    Trailers(usize),
    /// Takes everything up to the end of the connection.
    UntilClose,
    /// The body is whole.
    Done,
}

/// Collects a body from what arrives.
#[derive(Debug)]
pub struct BodyReader {
    state: ReaderState,
    limit: usize,
    body: BytesMut,
    whole: Bytes,
}

impl BodyReader {
    /// Starts a body of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Fails when its length is larger.
    pub fn start(framing: BodyFraming, limit: usize) -> Result<Self, HttpError> {
        let state = match framing {
            BodyFraming::Length(length) if length > limit => return Err(HttpError::BodyTooLarge),
            BodyFraming::Length(length) => ReaderState::Length(length),
            BodyFraming::Chunked => ReaderState::ChunkSize,
            BodyFraming::UntilClose => ReaderState::UntilClose,
        };
        Ok(Self { state, limit, body: BytesMut::new(), whole: Bytes::new() })
    }

    /// Takes what belongs to the body and returns whether it is whole.
    ///
    /// # Errors
    ///
    /// Fails when a chunk is malformed or the body too large.
    pub fn feed(&mut self, buffer: &mut BytesMut) -> Result<bool, HttpError> {
        loop {
            match self.state {
                ReaderState::Length(length) => {
                    if buffer.len() < length {
                        buffer.reserve(length - buffer.len());
                        return Ok(false);
                    }
                    self.whole = buffer.split_to(length).freeze();
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
                    if buffer.len() < size + 2 {
                        return Ok(false);
                    }
                    self.body.extend_from_slice(&buffer[..size]);
                    if &buffer[size..size + 2] != b"\r\n" {
                        return Err(HttpError::BadChunk);
                    }
                    buffer.advance(size + 2);
                    self.state = ReaderState::ChunkSize;
                }
                ReaderState::Trailers(taken) => {
                    let Some(line) = take_line(buffer)? else { return Ok(false) };
                    if line.is_empty() {
                        self.whole = self.body.split().freeze();
                        self.state = ReaderState::Done;
                    } else if taken + line.len() > MAX_TRAILERS {
                        return Err(HttpError::BadChunk);
                    } else {
                        self.state = ReaderState::Trailers(taken + line.len());
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

    /// Takes the end of the connection; only a body without a length is whole by it.
    ///
    /// # Errors
    ///
    /// Fails when the body is cut short.
    pub fn handle_eof(&mut self) -> Result<(), HttpError> {
        match self.state {
            ReaderState::UntilClose => {
                self.whole = self.body.split().freeze();
                self.state = ReaderState::Done;
                Ok(())
            }
            ReaderState::Done => Ok(()),
            _ => Err(HttpError::Truncated),
        }
    }

    /// Returns the body.
    pub fn into_body(self) -> Bytes {
        self.whole
    }
}

/// Takes a line without its end, which must be CR LF.
fn take_line(buffer: &mut BytesMut) -> Result<Option<Bytes>, HttpError> {
    let Some(end) = buffer.iter().position(|byte| *byte == b'\n') else {
        return if buffer.len() > MAX_CHUNK_LINE { Err(HttpError::BadChunk) } else { Ok(None) };
    };
    if end == 0 || buffer[end - 1] != b'\r' || end > MAX_CHUNK_LINE {
        return Err(HttpError::BadChunk);
    }
    let mut line = buffer.split_to(end + 1).freeze();
    line.truncate(end - 1);
    Ok(Some(line))
}

fn parse_chunk_size(line: &[u8]) -> Result<usize, HttpError> {
    let end = line.iter().position(|byte| *byte == b';').unwrap_or(line.len());
    let digits = &line[..end];
    // Eight digits are beyond every limit.
    if digits.is_empty() || digits.len() > 8 || !digits.iter().all(u8::is_ascii_hexdigit) {
        return Err(HttpError::BadChunk);
    }
    let text = std::str::from_utf8(digits).map_err(|_| HttpError::BadChunk)?;
    usize::from_str_radix(text, 16).map_err(|_| HttpError::BadChunk)
}
