//! Checks of the fields of caller requests. Each error names the field and its allowed values.

use figglade::controller::fleet::FleetDefaults;

use super::TierError;

/// The maximum length of the key of a lookup or action, in bytes.
const MAX_KEY_BYTES: usize = 1_024;

pub(super) fn check_deadline(deadline_ms: u64, settings: &FleetDefaults) -> Result<(), TierError> {
    let max = settings.max_deadline_ms;
    if (1..=max).contains(&deadline_ms) {
        return Ok(());
    }
    let message = format!("must be from 1 to {max} milliseconds, is {deadline_ms}");
    Err(TierError::bad_field("deadline_ms", message))
}

pub(super) fn check_limit(limit: u32, settings: &FleetDefaults) -> Result<(), TierError> {
    let max = settings.max_limit;
    if (1..=max).contains(&limit) {
        return Ok(());
    }
    Err(TierError::bad_field("limit", format!("must be from 1 to {max}, is {limit}")))
}

pub(super) fn check_coverage(fraction: Option<f64>) -> Result<(), TierError> {
    match fraction {
        Some(fraction) if !(0.0..=1.0).contains(&fraction) => {
            let message = format!("must be from 0 to 1, is {fraction}");
            Err(TierError::bad_field("min_coverage", message))
        }
        _ => Ok(()),
    }
}

pub(super) fn check_key(key: &str) -> Result<(), TierError> {
    if (1..=MAX_KEY_BYTES).contains(&key.len()) {
        return Ok(());
    }
    let message = format!("must have from 1 to {MAX_KEY_BYTES} bytes, has {}", key.len());
    Err(TierError::bad_field("key", message))
}
