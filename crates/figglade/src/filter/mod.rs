//! Stages of a request: access by key, admission, also under load and during a planned stop, pinning
//! of a snapshot, fan-out with replica choice, hedges and retries, and merging with the coverage.

pub mod access;
pub mod admission;
pub mod answer_buffers;
pub mod budget;
pub mod caller_network;
pub mod fanout;
pub mod intake;
pub mod latency;
pub mod link_limit;
pub mod load;
pub mod merge;
pub mod overload;
pub mod picker;
pub mod ranked;
pub mod routing;
pub mod scatter;
pub mod shutdown;
