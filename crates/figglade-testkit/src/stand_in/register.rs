//! The small register that stand-in targets search: deterministic records and a query language.

use std::{collections::HashMap, sync::Arc};

use figglade::{IndexName, IndexVersion, ShardId, shard_of_key, wire::SearchHit};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use xxhash_rust::xxh3::xxh3_64;

/// Names of setts and lavenders in the records.
const NAMES: [&str; 12] = [
    "vinga",
    "sundborn",
    "tiveden",
    "hogland",
    "silver",
    "skagen",
    "tihany",
    "badacsony",
    "hidcote",
    "grosso",
    "provence",
    "munstead",
];

/// Colours in the records.
const COLOURS: [&str; 8] =
    ["indigo", "madder", "woad", "lichen", "violet", "birch", "ochre", "slate"];

/// The most versions of shards kept in memory.
const MAX_CACHED_SHARDS: usize = 256;

/// A query in the language of the register; exactly one field is set.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct RegisterQuery {
    /// Matches records that contain the word.
    text: Option<String>,
    /// Matches every record.
    all: Option<bool>,
    /// Matches the record with the key.
    key: Option<String>,
}

/// One record.
#[derive(Debug)]
struct RegisterRecord {
    key: String,
    text: String,
    body: Box<RawValue>,
}

/// The body of a record as callers see it.
#[derive(Serialize)]
struct RecordBody<'a> {
    key: &'a str,
    text: &'a str,
    index_version: u64,
}

/// Names one shard of one version.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RegisterSlice {
    /// The index.
    pub index: IndexName,
    /// The shard.
    pub shard: ShardId,
    /// The shards of the index.
    pub shard_count: u32,
    /// The version.
    pub version: IndexVersion,
    /// The documents of the shard.
    pub documents: u64,
}

/// Generates the records of shards and searches them.
///
/// The records of an index are numbered from zero and placed by [`shard_of_key`]; a shard of `n`
/// documents holds its first `n`. Every replica of a shard therefore holds the same records.
#[derive(Debug, Default)]
pub struct RegisterData {
    shards: Mutex<HashMap<RegisterSlice, Arc<Vec<RegisterRecord>>>>,
}

impl RegisterData {
    /// Returns the key of the record with this number.
    pub fn record_key(index: &IndexName, number: u64) -> String {
        format!("{index}-{number}")
    }

    /// Returns how many of the first `records` records of an index lie in a shard.
    pub fn count_documents(
        index: &IndexName,
        records: u64,
        shard: ShardId,
        shard_count: u32,
    ) -> u64 {
        (0..records)
            .filter(|number| {
                shard_of_key(Self::record_key(index, *number).as_bytes(), shard_count) == shard
            })
            .count() as u64
    }

    /// Searches the first `documents` records of a shard; returns the best hits first.
    ///
    /// # Errors
    ///
    /// Fails when the query is not one of `{"text": WORD}`, `{"all": true}` and `{"key": KEY}`.
    pub fn search(
        &self,
        slice: &RegisterSlice,
        documents: u64,
        query: &RawValue,
        limit: u32,
    ) -> Result<Vec<SearchHit>, String> {
        let query = parse_query(query)?;
        let records = self.records(slice);
        let mut hits: Vec<(f64, &RegisterRecord)> = records
            .iter()
            .take(documents as usize)
            .filter(|record| query.matches(record))
            .map(|record| (query.score(record), record))
            .collect();
        hits.sort_by(|(a, left), (b, right)| b.total_cmp(a).then_with(|| left.key.cmp(&right.key)));
        hits.truncate(limit as usize);
        Ok(hits.into_iter().map(|(score, record)| record.to_hit(score)).collect())
    }

    /// Returns the records of a shard, generating them at first use.
    fn records(&self, slice: &RegisterSlice) -> Arc<Vec<RegisterRecord>> {
        let mut shards = self.shards.lock();
        if let Some(records) = shards.get(slice) {
            return Arc::clone(records);
        }
        if shards.len() >= MAX_CACHED_SHARDS {
            shards.clear();
        }
        let records = Arc::new(generate_records(slice));
        shards.insert(slice.clone(), Arc::clone(&records));
        records
    }
}

/// Generates the records of a shard in the order of their numbers.
fn generate_records(slice: &RegisterSlice) -> Vec<RegisterRecord> {
    (0..)
        .map(|number| RegisterData::record_key(&slice.index, number))
        .filter(|key| shard_of_key(key.as_bytes(), slice.shard_count) == slice.shard)
        .take(slice.documents as usize)
        .map(|key| RegisterRecord::generate(key, slice.version))
        .collect()
}

impl RegisterRecord {
    /// Generates the record with this key in a version.
    fn generate(key: String, version: IndexVersion) -> Self {
        let hash = xxh3_64(key.as_bytes());
        let name = NAMES[(hash >> 8) as usize % NAMES.len()];
        let colour = COLOURS[(hash >> 24) as usize % COLOURS.len()];
        let text = format!("{name} {colour}");
        let body = RecordBody { key: &key, text: &text, index_version: version.get() };
        let body = serde_json::value::to_raw_value(&body).unwrap_or_default();
        Self { key, text, body }
    }

    /// Builds the hit for this record.
    fn to_hit(&self, score: f64) -> SearchHit {
        SearchHit { id: self.key.clone(), score, body: self.body.clone() }
    }
}

impl RegisterQuery {
    /// Returns whether a record matches.
    fn matches(&self, record: &RegisterRecord) -> bool {
        if let Some(word) = &self.text {
            return record.text.split(' ').any(|part| part == word);
        }
        match &self.key {
            Some(key) => record.key == *key,
            None => self.all == Some(true),
        }
    }

    /// Returns the score of a matching record, from 0 to 1.
    fn score(&self, record: &RegisterRecord) -> f64 {
        if self.key.is_some() {
            return 1.0;
        }
        let hash = xxh3_64(record.key.as_bytes()) >> 11;
        hash as f64 / (1_u64 << 53) as f64
    }
}

/// Reads a query and checks that exactly one field is set.
fn parse_query(query: &RawValue) -> Result<RegisterQuery, String> {
    let query: RegisterQuery =
        serde_json::from_str(query.get()).map_err(|error| format!("query: {error}"))?;
    let fields = [query.text.is_some(), query.all.is_some(), query.key.is_some()];
    match fields.iter().filter(|set| **set).count() {
        1 => Ok(query),
        _ => Err("query: set exactly one of text, all and key".to_owned()),
    }
}
