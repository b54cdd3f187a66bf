//! Estimates the part of a latency goal that the network between caller and instance takes.

use std::time::Duration;

/// The network time of a request from the caller and of the answer to it, including a new connection.
/// An instance can measure neither.
const ROUND_TRIP_WITH_CONNECT: Duration = Duration::from_millis(14);
/// The part of that time that remains on a connection that was open before.
const KEPT_CONNECTION_FRACTION: f64 = 0.5;
/// The fraction of a latency goal from which on the two cases are distinguished. For longer goals one
/// estimate for all requests leaves room for a slower network.
const SHORT_GOAL_FRACTION: f64 = 0.25;

/// Returns the network time to subtract from a latency goal; `is_first` is whether the request is the
/// first on its connection.
///
/// | estimate with a new connection | request | subtracted |
/// |---|---|---|
/// | at most a quarter of the goal | any | the whole estimate |
/// | more than a quarter of the goal | the first on its connection | the whole estimate |
/// | more than a quarter of the goal | a later one | half of it |
pub fn caller_network_time(latency_goal: Duration, is_first: bool) -> Duration {
    let is_short = ROUND_TRIP_WITH_CONNECT > latency_goal.mul_f64(SHORT_GOAL_FRACTION);
    if is_short && !is_first {
        ROUND_TRIP_WITH_CONNECT.mul_f64(KEPT_CONNECTION_FRACTION)
    } else {
        ROUND_TRIP_WITH_CONNECT
    }
}
