//! Errors of reading a message.

use derive_more::{Display, Error};

/// The error of a message that could not be read.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum HttpError {
    /// The head cannot be parsed.
    #[display("the head is malformed")]
    BadHead,
    /// The status code is missing, outside 100 to 599, or that of an interim response in a final one.
    #[display("the status code is not valid")]
    BadStatus,
    /// The head exceeds the limit.
    #[display("the head is too large")]
    HeadTooLarge,
    /// The head was not received in time.
    #[display("the head did not come in time")]
    HeadTimedOut,
    /// The message has more than one length or an unsupported transfer coding.
    #[display("the length of the body is ambiguous")]
    BadFraming,
    /// A chunk is malformed.
    #[display("a chunk is malformed")]
    BadChunk,
    /// The body exceeds the limit.
    #[display("the body is too large")]
    BodyTooLarge,
    /// The body was not received in time.
    #[display("the body did not come in time")]
    BodyTimedOut,
    /// The request gave way to others, as the memory for callers was used up.
    #[display("the request made too little progress while memory was short")]
    GivenUp,
    /// There is no memory for the request.
    #[display("there is no memory for the request now")]
    NoRoom,
    /// The connection closed before the end of the message.
    #[display("the connection ended within the message")]
    Truncated,
}

impl HttpError {
    /// Returns the status code sent to the caller.
    pub const fn status(self) -> u16 {
        match self {
            Self::BadHead
            | Self::BadStatus
            | Self::BadFraming
            | Self::BadChunk
            | Self::Truncated => 400,
            Self::HeadTooLarge => 431,
            Self::HeadTimedOut | Self::BodyTimedOut | Self::GivenUp => 408,
            Self::NoRoom => 503,
            Self::BodyTooLarge => 413,
        }
    }
}
