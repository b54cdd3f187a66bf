//! Token budgets that bound hedges and retries by a share of first attempts.

use std::sync::Mutex;

/// The tokens a budget starts with and never exceeds.
const MAX_TOKENS: f64 = 50.0;

/// A bucket that each first attempt fills a little and each extra attempt takes one token from.
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
    /// Adds the share earned by `attempts` first attempts.
    pub fn deposit(&self, attempts: u32, share: f64) {
        let mut tokens = lock(&self.tokens);
        *tokens = (*tokens + f64::from(attempts) * share).min(MAX_TOKENS);
    }

    /// Takes one token and returns whether there was one.
    pub fn try_spend(&self) -> bool {
        let mut tokens = lock(&self.tokens);
        if *tokens < 1.0 {
            return false;
        }
        *tokens -= 1.0;
        true
    }

    /// Removes half of the tokens, because a target shed load.
    pub fn halve(&self) {
        let mut tokens = lock(&self.tokens);
        *tokens /= 2.0;
    }
}

/// Locks a mutex whose data stays valid even when a holder panicked.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
