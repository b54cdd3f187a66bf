//! Instruments and their exposition.

use figglade::{border::AttemptError, filter::fanout::AttemptKind};

/// The instruments of the tier.
#[derive(Debug, Default)]
pub struct TierMetrics {}

impl TierMetrics {
    /// Counts an attempt that is sent.
    pub fn count_attempt(&self, _kind: AttemptKind) {}

    /// Counts an attempt that failed.
    pub fn count_failure(&self, _error: AttemptError) {}

    /// Counts a reply that came after its attempt had ended.
    pub fn count_late_reply(&self) {}
}

impl TierMetrics {
    /// Counts a refusal by its code.
    pub fn count_refusal(&self, _code: &'static str) {}

    /// Adds the latency of an answered request.
    pub fn observe_latency(&self, _kind: &'static str, _elapsed: std::time::Duration) {}

    /// Returns the instruments in text exposition.
    pub fn render(&self) -> String {
        String::new()
    }
}
