//! Links to other instances over capnp-rpc.
