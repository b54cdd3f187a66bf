//! The daemon of the figglade query tier: passes events to the `figglade` library and carries out
//! the actions that the library returns.

pub mod api;
pub mod clock;
pub mod control;
pub mod http1;
pub mod hub;
pub mod log_store;
pub mod logs;
pub mod metrics;
pub mod peer_link;
pub mod process;
pub mod relay;
pub mod runtime;
pub mod settings;
mod sockets;
pub mod target_client;
pub mod tier;
pub mod timeline;
