//! Events of the time line and their hybrid logical clock.
