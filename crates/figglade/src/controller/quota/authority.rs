//! Decides whether this member may grant tokens.

use std::time::Duration;

use crate::Timestamp;

/// The time between two confirmations of the leadership.
pub const CONFIRM_INTERVAL: Duration = Duration::from_millis(200);
/// The time for which a confirmation allows grants, counted from when it was asked for. A new leader
/// waits as long before its first grant, because its predecessor may still grant.
pub const AUTHORITY_LIFETIME: Duration = Duration::from_millis(400);

/// The authority of one term.
#[derive(Clone, Copy, Debug)]
struct TermAuthority {
    term: u64,
    starts: Timestamp,
    expires: Timestamp,
}

/// The right to grant tokens, which at most one member has at a time.
///
/// A member has it while a majority of the control group confirms again and again that it leads in
/// the same term. In a later term another member may have granted in between.
#[derive(Clone, Copy, Debug, Default)]
pub struct GrantAuthority {
    held: Option<TermAuthority>,
}

impl GrantAuthority {
    /// Records that a majority confirmed the leadership in `term`: the confirmation was asked for at
    /// `asked` and received at `now`. Returns whether it begins a new authority, so that the buckets
    /// must be emptied. `is_first` tells that no route set was committed yet: no predecessor has
    /// anything to grant then, so that the authority starts at once.
    pub fn confirm(&mut self, term: u64, is_first: bool, asked: Timestamp, now: Timestamp) -> bool {
        let expires = asked + AUTHORITY_LIFETIME;
        match &mut self.held {
            // A gap within one term is harmless: no other member leads in it.
            Some(held) if held.term == term => {
                held.expires = held.expires.max(expires);
                false
            }
            _ => {
                let wait = if is_first { Duration::ZERO } else { AUTHORITY_LIFETIME };
                self.held = Some(TermAuthority { term, starts: now + wait, expires });
                true
            }
        }
    }

    /// Returns whether tokens may be granted now.
    pub fn is_valid(&self, now: Timestamp) -> bool {
        self.held.is_some_and(|held| held.starts <= now && now < held.expires)
    }

    /// Returns the time from which the authority allows grants.
    pub fn starts(&self) -> Option<Timestamp> {
        self.held.map(|held| held.starts)
    }
}
