//! Validation of ranges and of values that depend on each other.

use std::{collections::BTreeSet, fmt::Display, net::SocketAddr, ops::RangeInclusive};

use super::{InstanceSettings, ListenSettings, Role, SettingsError, SettingsProblem};

/// The maximum number of members of the initial control group.
pub const MAX_CONTROL_MEMBERS: usize = 7;

/// The maximum number of seeds.
const MAX_SEEDS: usize = 64;

/// The allowed values of the body limits, in bytes.
const BODY_BYTES: RangeInclusive<usize> = 1 << 10..=64 << 20;

/// The allowed memory, in MiB.
const MEMORY_MB: RangeInclusive<u64> = 16..=1 << 20;

/// The allowed number of file descriptors.
const MAX_FILES: RangeInclusive<u32> = 64..=1 << 20;

/// The allowed number of worker threads.
const WORKER_THREADS: RangeInclusive<usize> = 1..=256;

/// The allowed number of events in memory.
const TIMELINE_EVENTS: RangeInclusive<usize> = 16..=1 << 20;

/// The allowed rotation size of the time line files, in bytes.
const TIMELINE_FILE_BYTES: RangeInclusive<u64> = 64 << 10..=1 << 30;

impl InstanceSettings {
    /// Checks the ranges of the values and that they are consistent.
    ///
    /// # Errors
    ///
    /// Fails with the name of the first key with an invalid value and the allowed values.
    pub fn check(&self) -> Result<(), SettingsError> {
        self.check_addresses()?;
        self.check_control()?;
        self.check_open_roles()?;
        self.check_limits()?;
        Ok(())
    }

    /// Checks the listening addresses and the seeds.
    fn check_addresses(&self) -> Result<(), SettingsProblem> {
        let ListenSettings { http, peer, advertise_peer } = self.listen;
        if let Some(address) = advertise_peer {
            check_connectable("listen.advertise_peer", address)?;
        } else if peer.ip().is_unspecified() {
            let allowed = "an address that other instances can reach, or one in advertise_peer";
            return Err(invalid_value("listen.peer", quote(peer), allowed));
        }
        if http == peer && http.port() != 0 {
            let allowed = "an address other than listen.http";
            return Err(invalid_value("listen.peer", quote(peer), allowed));
        }
        if self.peers.seeds.len() > MAX_SEEDS {
            let value = format!("{} addresses", self.peers.seeds.len());
            return Err(invalid_value("peers.seeds", value, format!("at most {MAX_SEEDS}")));
        }
        let named = self.peers.seeds.iter().enumerate();
        named
            .map(|(position, seed)| (format!("peers.seeds[{position}]"), *seed))
            .try_for_each(|(key, seed)| check_connectable(&key, seed))
    }

    /// Checks the initial control group and that a member has a data folder.
    fn check_control(&self) -> Result<(), SettingsProblem> {
        let members = &self.control.members;
        if members.len() > MAX_CONTROL_MEMBERS {
            let value = format!("{} members", members.len());
            let allowed = format!("at most {MAX_CONTROL_MEMBERS}");
            return Err(invalid_value("control.members", value, allowed));
        }
        let mut ids = BTreeSet::new();
        let mut addresses = BTreeSet::new();
        for (position, member) in members.iter().enumerate() {
            let key = |name: &str| format!("control.members[{position}].{name}");
            if !ids.insert(&member.id) {
                return Err(invalid_value(key("id"), quote(&member.id), "an id listed once"));
            }
            if !addresses.insert(member.peer) {
                let allowed = "an address listed once";
                return Err(invalid_value(key("peer"), quote(member.peer), allowed));
            }
            check_connectable(&key("peer"), member.peer)?;
        }
        if ids.contains(&self.instance.id) && self.instance.data_dir.is_none() {
            return Err(SettingsProblem::MissingKey {
                key: "instance.data_dir".to_owned(),
                allowed: "the path of a folder, because control.members lists this instance"
                    .to_owned(),
            });
        }
        Ok(())
    }

    /// Checks that the listener of a role without a key file is bound to loopback.
    fn check_open_roles(&self) -> Result<(), SettingsProblem> {
        for role in Role::ALL {
            let (key, address) = match role {
                Role::Caller | Role::Target | Role::Operator => ("listen.http", self.listen.http),
                Role::Peer => ("listen.peer", self.listen.peer),
            };
            if self.keys.file_of(role).is_none() && !address.ip().is_loopback() {
                let allowed = format!("a loopback address, or a file of keys in keys.{role}");
                return Err(invalid_value(key, quote(address), allowed));
            }
        }
        Ok(())
    }

    /// Checks the ranges of the limits.
    fn check_limits(&self) -> Result<(), SettingsProblem> {
        let limits = &self.limits;
        check_range("limits.max_body_bytes", limits.max_body_bytes, BODY_BYTES)?;
        check_range("limits.max_answer_bytes", limits.max_answer_bytes, BODY_BYTES)?;
        check_range("limits.memory_mb", limits.memory_mb, MEMORY_MB)?;
        if let Some(files) = limits.max_files {
            check_range("limits.max_files", files, MAX_FILES)?;
        }
        check_range("limits.worker_threads", limits.worker_threads, WORKER_THREADS)?;
        check_range("limits.timeline_events", limits.timeline_events, TIMELINE_EVENTS)?;
        check_range("limits.timeline_file_bytes", limits.timeline_file_bytes, TIMELINE_FILE_BYTES)
    }
}

/// Checks that `address` has a specific IP address and a nonzero port.
fn check_connectable(key: &str, address: SocketAddr) -> Result<(), SettingsProblem> {
    if address.ip().is_unspecified() || address.port() == 0 {
        let allowed = "IP:PORT with an address and a port that can be connected to";
        return Err(invalid_value(key, quote(address), allowed));
    }
    Ok(())
}

/// Checks that a number is within the allowed range.
fn check_range<T: Copy + Display + PartialOrd>(
    key: &str,
    value: T,
    allowed: RangeInclusive<T>,
) -> Result<(), SettingsProblem> {
    if allowed.contains(&value) {
        return Ok(());
    }
    let allowed = format!("{} to {}", allowed.start(), allowed.end());
    Err(invalid_value(key, value.to_string(), allowed))
}

/// Builds the problem for an invalid value.
fn invalid_value(
    key: impl Into<String>,
    value: impl Into<String>,
    allowed: impl Into<String>,
) -> SettingsProblem {
    SettingsProblem::BadValue { key: key.into(), value: value.into(), allowed: allowed.into() }
}

/// Formats a value as a TOML string.
fn quote(value: impl Display) -> String {
    format!("\"{value}\"")
}
