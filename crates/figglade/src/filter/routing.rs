//! Routing tables: which replicas hold which snapshot of an index.
