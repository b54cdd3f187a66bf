//! The scope of an exception.

use std::{collections::BTreeMap, str::FromStr};

use derive_more::{Display, Error};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::{IdError, IndexName, InstanceId, TargetId, ZoneName};

/// The scope of an exception; its text form is `KIND:NAME`.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FleetScope {
    /// One availability zone.
    #[display("availability_zone:{_0}")]
    Zone(ZoneName),
    /// One instance.
    #[display("instance:{_0}")]
    Instance(InstanceId),
    /// One index.
    #[display("index:{_0}")]
    Index(IndexName),
    /// One target.
    #[display("target:{_0}")]
    Target(TargetId),
}

/// The reason why a scope was refused.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ScopeError {
    /// The text does not start with a known kind.
    #[display("must be index:NAME, target:NAME, availability_zone:NAME or instance:NAME")]
    UnknownKind,
    /// The name is not a valid identifier.
    #[display("name {_0}")]
    BadName(IdError),
}

impl FleetScope {
    /// Builds a scope from its kind and name.
    ///
    /// # Errors
    ///
    /// Fails if the kind is unknown or the name is not a valid identifier.
    pub fn from_parts(kind: &str, name: &str) -> Result<Self, ScopeError> {
        let scope = match kind {
            "index" => name.parse().map(Self::Index),
            "target" => name.parse().map(Self::Target),
            "availability_zone" => name.parse().map(Self::Zone),
            "instance" => name.parse().map(Self::Instance),
            _ => return Err(ScopeError::UnknownKind),
        };
        scope.map_err(ScopeError::BadName)
    }
}

impl FromStr for FleetScope {
    type Err = ScopeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (kind, name) = text.split_once(':').ok_or(ScopeError::UnknownKind)?;
        Self::from_parts(kind, name)
    }
}

impl Serialize for FleetScope {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

/// The two accepted forms of a scope.
#[derive(Deserialize)]
#[serde(untagged)]
enum ScopeForm {
    Text(String),
    Object(BTreeMap<String, String>),
}

impl<'de> Deserialize<'de> for FleetScope {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let form = ScopeForm::deserialize(deserializer)
            .map_err(|_| serde::de::Error::custom(ScopeError::UnknownKind))?;
        let scope = match form {
            ScopeForm::Text(text) => text.parse(),
            ScopeForm::Object(object) => parse_object(&object),
        };
        scope.map_err(serde::de::Error::custom)
    }
}

/// Parses the form `{"index": "NAME"}`.
fn parse_object(object: &BTreeMap<String, String>) -> Result<FleetScope, ScopeError> {
    let mut pairs = object.iter();
    match (pairs.next(), pairs.next()) {
        (Some((kind, name)), None) => FleetScope::from_parts(kind, name),
        _ => Err(ScopeError::UnknownKind),
    }
}
