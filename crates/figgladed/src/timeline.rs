//! The bounded store of events of this instance.
