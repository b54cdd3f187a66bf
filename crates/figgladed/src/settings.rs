//! Settings of one instance, read from a TOML file.
