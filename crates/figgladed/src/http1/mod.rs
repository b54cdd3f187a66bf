//! HTTP/1.1 with the framing under this program's control.
//!
//! `httparse` reads the heads; the rest is kept here because the edge of a query tier must tell
//! apart what a general server and client hide: a second answer behind the first, an answer that
//! comes after its request was given up, a body that ends with its connection, and a request with
//! two lengths. `docs/design/platform.md` gives the reasons.

mod body;
mod error;
mod head;
mod message;
mod server;

pub(crate) use self::message::put_field;
pub use self::{
    body::{BodyFraming, BodyReader, frame_request, frame_response},
    error::HttpError,
    head::{HeaderField, HeaderList, RequestHead, ResponseHead, is_hop_by_hop_header},
    message::{HttpRequest, HttpResponse, text_field},
    server::{HttpHandler, HttpServer, LocalFuture, ServerPhase, ShutdownSignal},
};
