//! An HTTP/1.1 implementation with its own framing.
//!
//! `httparse` parses the heads. The rest is implemented here because the edge of a query tier must
//! detect cases that general servers and clients hide: a second answer after the first, an answer
//! that arrives after its request was cancelled, a body delimited by the close of its connection,
//! and a request with two lengths. `docs/design/platform.md` gives the reasons.

mod body;
mod error;
mod head;
mod intake;
mod message;
mod read;
mod server;

pub use self::{
    body::{BodyFraming, BodyReader, frame_request, frame_response},
    error::HttpError,
    head::{HeaderField, HeaderList, RequestHead, ResponseHead, is_hop_by_hop_header},
    intake::IntakeControl,
    message::{HttpRequest, HttpResponse, text_field},
    server::{HttpHandler, HttpServer, LocalFuture, ServerPhase, ShutdownSignal},
};
pub(crate) use self::{message::put_field, read::read_available};
