//! Admission of requests: bounded, fair between indexes, refused early.
