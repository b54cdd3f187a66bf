//! Instruments and their exposition.
