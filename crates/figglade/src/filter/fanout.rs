//! The fan-out of one request as a state machine: attempts, hedges, retries and the deadline.
