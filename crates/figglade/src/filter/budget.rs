//! Token buckets that bound extra attempts (hedges, retries and probes) by a ratio of first
//! attempts.

use std::sync::Mutex;

/// The capacity of a bucket. A new bucket holds a fifth of it.
const MAX_TOKENS: f64 = 50.0;

/// A token bucket that each first attempt adds a fraction of a token to and each extra attempt
/// takes one token from.
#[derive(Debug)]
pub struct AttemptBudget {
    tokens: Mutex<f64>,
}

impl Default for AttemptBudget {
    fn default() -> Self {
        Self { tokens: Mutex::new(MAX_TOKENS / 5.0) }
    }
}

impl AttemptBudget {
    /// Adds `ratio` tokens for each of `attempts` first attempts.
    pub fn deposit(&self, attempts: u32, ratio: f64) {
        let mut tokens = lock(&self.tokens);
        *tokens = (*tokens + f64::from(attempts) * ratio).min(MAX_TOKENS);
    }

    /// Takes one token and returns true, or returns false if there is none.
    pub fn try_spend(&self) -> bool {
        let mut tokens = lock(&self.tokens);
        if *tokens < 1.0 {
            return false;
        }
        *tokens -= 1.0;
        true
    }

    /// Removes half of the tokens. Called when a target sheds load.
    pub fn halve(&self) {
        let mut tokens = lock(&self.tokens);
        *tokens /= 2.0;
    }
}

/// Locks a mutex whose data stays valid even if a thread panicked while holding it.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
