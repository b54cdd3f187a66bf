//! Authorization by the bearer key of a request.

use http::{HeaderMap, header};

use crate::{
    settings::{LoadedKeys, Role},
    tier::TierError,
};

/// The scheme of the authorization header.
const SCHEME: &[u8] = b"Bearer ";

/// Checks that the headers carry a key that grants `role`.
pub(super) fn check_key(
    keys: &LoadedKeys,
    role: Role,
    headers: &HeaderMap,
) -> Result<(), TierError> {
    let key = bearer_key(headers);
    if keys.authorizes(role, key) {
        return Ok(());
    }
    match key {
        Some(_) => Err(TierError::KeyRefused),
        None => Err(TierError::KeyMissing),
    }
}

fn bearer_key(headers: &HeaderMap) -> Option<&[u8]> {
    let value = headers.get(header::AUTHORIZATION)?.as_bytes();
    let (scheme, key) = value.split_at_checked(SCHEME.len())?;
    scheme.eq_ignore_ascii_case(SCHEME).then_some(key)
}
