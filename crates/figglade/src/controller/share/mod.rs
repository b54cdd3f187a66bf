//! Shares of the connection caps of targets under leases.
