//! Events of the time line and their hybrid logical clock.

use derive_more::Display;

/// What happened.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[display(rename_all = "snake_case")]
pub enum EventKind {
    /// A request started again on another snapshot.
    SnapshotRestarted,
    /// A second attempt was sent while the first was open.
    Hedge,
    /// An attempt was sent after another failed.
    Retry,
    /// A target was ejected.
    Ejection,
    /// The right to run an action was granted.
    ClaimGranted,
    /// An action ended.
    ClaimEnded,
    /// An instance joined, left or failed.
    MemberChange,
    /// A target changed its state.
    TargetChange,
    /// A configuration is in force here.
    ConfigInForce,
}
