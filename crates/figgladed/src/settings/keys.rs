//! Authentication keys of callers, targets, operators and peers, read from files.

use std::{fmt, path::Path};

use subtle::{Choice, ConstantTimeEq};

use super::{
    InstanceSettings, KeySettings, Role, SettingsError, SettingsProblem, parse::read_bounded,
};

/// The maximum number of keys in one file.
pub const MAX_KEYS_PER_FILE: usize = 64;

/// The minimum length of a key, in bytes.
pub const MIN_KEY_BYTES: usize = 16;

/// The maximum length of a key, in bytes.
pub const MAX_KEY_BYTES: usize = 512;

/// The maximum size of a key file, in bytes.
const MAX_KEY_FILE_BYTES: u64 = 64 << 10;

/// The key derivation context of peer links, so that a link key differs from keys derived from the
/// same text for other uses.
const PEER_KEY_CONTEXT: &str = "figglade 2026 peer link key";

/// The keys of one role; `Debug` shows only their number.
#[derive(Clone)]
pub struct KeySet {
    /// The keys in the order of the file.
    keys: Vec<StoredKey>,
}

/// One key, stored only as digests.
#[derive(Clone)]
struct StoredKey {
    /// Compared with the digest of the key in a request.
    digest: blake3::Hash,
    /// Authenticates the handshake of peer links.
    link_key: [u8; 32],
}

impl StoredKey {
    /// Derives the stored digests from the text of a key.
    fn from_text(key: &[u8]) -> Self {
        Self { digest: blake3::hash(key), link_key: blake3::derive_key(PEER_KEY_CONTEXT, key) }
    }
}

impl KeySet {
    /// Reads keys from text with one key a line; blank lines and lines that start with `#` are
    /// ignored.
    ///
    /// # Errors
    ///
    /// Fails when a key is too short or too long, or when there are no keys or too many. The message
    /// names the line and the allowed values and never contains the key.
    pub fn from_text(text: &str) -> Result<Self, String> {
        let mut keys = Vec::new();
        for (position, line) in text.lines().enumerate() {
            let key = line.trim();
            if key.is_empty() || key.starts_with('#') {
                continue;
            }
            if !(MIN_KEY_BYTES..=MAX_KEY_BYTES).contains(&key.len()) {
                return Err(format!(
                    "line {}: key has {} bytes, expected {MIN_KEY_BYTES} to {MAX_KEY_BYTES}",
                    position + 1,
                    key.len()
                ));
            }
            keys.push(StoredKey::from_text(key.as_bytes()));
        }
        if !(1..=MAX_KEYS_PER_FILE).contains(&keys.len()) {
            return Err(format!("holds {} keys, expected 1 to {MAX_KEYS_PER_FILE}", keys.len()));
        }
        Ok(Self { keys })
    }

    /// Returns whether `key` is in the set, in constant time regardless of which key matches.
    pub fn accepts(&self, key: &[u8]) -> bool {
        let digest = blake3::hash(key);
        let equal = |stored: &StoredKey| stored.digest.as_bytes().ct_eq(digest.as_bytes());
        let found = self.keys.iter().fold(Choice::from(0), |found, stored| found | equal(stored));
        found.into()
    }

    /// Returns the keys that authenticate handshakes of peer links, in the order of the file.
    pub(crate) fn link_keys(&self) -> impl Iterator<Item = &[u8; 32]> {
        self.keys.iter().map(|stored| &stored.link_key)
    }
}

impl fmt::Debug for KeySet {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "KeySet({} keys)", self.keys.len())
    }
}

/// The keys of every role that has a key file.
#[derive(Clone, Debug, Default)]
pub struct LoadedKeys {
    /// The keys of callers; `None` leaves the role open.
    pub caller: Option<KeySet>,
    /// The keys of targets; `None` leaves the role open.
    pub target: Option<KeySet>,
    /// The keys of operators; `None` leaves the role open.
    pub operator: Option<KeySet>,
    /// The keys of other instances; `None` leaves the role open.
    pub peer: Option<KeySet>,
}

impl LoadedKeys {
    /// Reads the key files that `settings` name.
    ///
    /// # Errors
    ///
    /// Fails with the setting, the file and the reason when a file cannot be used.
    pub fn load(settings: &InstanceSettings) -> Result<Self, SettingsError> {
        let load = |role| load_key_set(&settings.keys, role);
        Ok(Self {
            caller: load(Role::Caller)?,
            target: load(Role::Target)?,
            operator: load(Role::Operator)?,
            peer: load(Role::Peer)?,
        })
    }

    /// Returns the keys of `role`, or `None` when the role is open.
    pub fn key_set(&self, role: Role) -> Option<&KeySet> {
        match role {
            Role::Caller => self.caller.as_ref(),
            Role::Target => self.target.as_ref(),
            Role::Operator => self.operator.as_ref(),
            Role::Peer => self.peer.as_ref(),
        }
    }

    /// Returns whether a request with `key` may act as `role`.
    pub fn authorizes(&self, role: Role, key: Option<&[u8]>) -> bool {
        match (self.key_set(role), key) {
            (None, _) => true,
            (Some(keys), Some(key)) => keys.accepts(key),
            (Some(_), None) => false,
        }
    }
}

/// Reads the key file of one role.
fn load_key_set(settings: &KeySettings, role: Role) -> Result<Option<KeySet>, SettingsError> {
    let Some(file) = settings.file_of(role) else { return Ok(None) };
    let keys = read_key_file(file).map_err(|reason| SettingsProblem::BadKeyFile {
        key: format!("keys.{role}"),
        file: file.clone(),
        reason,
    })?;
    Ok(Some(keys))
}

/// Reads one key file.
fn read_key_file(file: &Path) -> Result<KeySet, String> {
    let text = read_bounded(file, MAX_KEY_FILE_BYTES).map_err(|problem| problem.to_string())?;
    KeySet::from_text(&text)
}
