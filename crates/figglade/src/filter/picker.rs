//! Choice of a replica from latency, load, zone and ejection.
