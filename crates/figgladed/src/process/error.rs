//! The errors that end a program.

use std::net::SocketAddr;

use derive_more::{Display, Error};

use crate::peer_link::PeerLinkError;

/// The reason a program could not run.
#[derive(Debug, Display, Error, derive_more::From)]
pub enum ProcessError {
    /// The settings cannot be used.
    #[display("settings: {reason}")]
    #[from(ignore)]
    Settings {
        /// What is invalid in them.
        reason: String,
    },
    /// The settings have no value that the program requires.
    #[display("settings: {key} must be set for this program")]
    #[from(ignore)]
    Missing {
        /// The missing setting.
        #[error(not(source))]
        key: &'static str,
    },
    /// The process cannot listen on an address.
    #[display("cannot listen on {address}: {error}")]
    #[from(ignore)]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the system.
        error: std::io::Error,
    },
    /// The peer links could not start.
    #[display("peer links: {_0}")]
    Link(PeerLinkError),
    /// Another system call failed.
    #[display("{_0}")]
    System(std::io::Error),
}
