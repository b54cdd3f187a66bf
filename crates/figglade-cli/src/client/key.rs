//! Reads the key that requests are authorized with.

use std::path::Path;

use hyper::header::HeaderValue;

use super::ClientError;

/// The largest key file, in bytes.
const MAX_FILE_BYTES: u64 = 64 << 10;

/// Reads the first key of a file with one key per line and returns the authorization header.
///
/// # Errors
///
/// Fails when the file cannot be read or holds no key.
pub(super) fn read_key(path: &Path) -> Result<HeaderValue, ClientError> {
    let refuse = |reason: String| ClientError::KeyFile { path: path.to_owned(), reason };
    let size = std::fs::metadata(path).map_err(|error| refuse(error.to_string()))?.len();
    if size > MAX_FILE_BYTES {
        return Err(refuse(format!("the file has {size} bytes, at most {MAX_FILE_BYTES} allowed")));
    }
    let text = std::fs::read_to_string(path).map_err(|error| refuse(error.to_string()))?;
    let key = text.lines().map(str::trim).find(|line| !line.is_empty() && !line.starts_with('#'));
    let key = key.ok_or_else(|| refuse("the file holds no key".to_owned()))?;
    let mut value = HeaderValue::from_str(&format!("Bearer {key}"))
        .map_err(|_| refuse("the key holds a character that is not allowed".to_owned()))?;
    value.set_sensitive(true);
    Ok(value)
}
