//! Splits the tree into content-addressed blobs that one head record refers to.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::error::{Error, ErrorKind, Result};
use crate::hash::sha256_hex;
use crate::ids::{ChangeId, Revision};

/// Maximum size of a blob in bytes, which is the largest value that the platform's store accepts.
pub const MAX_BLOB_BYTES: usize = 1_000_000;

/// Number of changes that the head lists, so that the outcome of a change whose answer was lost can be found.
pub const MAX_RECENT_CHANGES: usize = 64;

/// Prefix of manifest names that refer to chunks of client blocks rather than to parts of the tree.
pub const CHUNK_PREFIX: &str = "chunk/";

/// The record that decides which configuration is in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// Revision of the configuration.
    pub revision: Revision,
    /// Name of each subtree mapped to the name of its blob.
    pub manifest: BTreeMap<String, String>,
    /// Latest changes, newest last.
    pub recent: Vec<Change>,
    /// Blobs that left the manifest and are not deleted yet, oldest first.
    #[serde(default)]
    pub retired: Vec<String>,
}

/// An accepted configuration change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Unique id, chosen by the instance that accepted the change.
    pub id: ChangeId,
    /// Revision that the change created.
    pub revision: Revision,
    /// Operator who made the change.
    pub by: String,
    /// Path of the tree that was changed.
    pub path: String,
}

impl Head {
    /// Returns the head that follows this one after a change.
    #[must_use]
    pub fn with_change(&self, manifest: BTreeMap<String, String>, mut change: Change) -> Self {
        let revision = Revision(self.revision.0 + 1);
        change.revision = revision;
        let mut recent = self.recent.clone();
        recent.push(change);
        let excess = recent.len().saturating_sub(MAX_RECENT_CHANGES);
        recent.drain(..excess);
        let is_used = |blob: &String| manifest.values().any(|used| used == blob);
        let mut retired: Vec<String> = self.retired.iter().filter(|b| !is_used(b)).cloned().collect();
        retired.extend(self.manifest.values().filter(|b| !is_used(b)).cloned());
        Self { revision, manifest, recent, retired }
    }

    /// Returns a recent change by its id.
    #[must_use]
    pub fn change(&self, id: &ChangeId) -> Option<&Change> {
        self.recent.iter().find(|c| c.id == *id)
    }
}

/// Splits a tree into blobs: one for each service, each organisation and each other top-level name.
///
/// ```
/// use burdock_model::manifest::{join_tree, split_tree};
/// let tree = serde_json::json!({"settings": {}, "services": {"a": {}, "b": {}}});
/// let blobs = split_tree(&tree).unwrap();
/// assert_eq!(blobs.len(), 3);
/// assert_eq!(join_tree(blobs.iter().map(|(n, b)| (n.as_str(), b.as_str()))).unwrap(), tree);
/// ```
///
/// # Errors
/// [`ErrorKind::TooLarge`] when a blob exceeds [`MAX_BLOB_BYTES`].
pub fn split_tree(tree: &Value) -> Result<BTreeMap<String, String>> {
    let mut blobs = BTreeMap::new();
    let empty = Map::new();
    for (name, value) in tree.as_object().unwrap_or(&empty) {
        match (name.as_str(), value) {
            ("services" | "organisations", Value::Object(children)) => {
                for (child, value) in children {
                    insert_blob(&mut blobs, format!("{name}/{child}"), value)?;
                }
            }
            _ => insert_blob(&mut blobs, name.clone(), value)?,
        }
    }
    Ok(blobs)
}

/// Joins a tree from its blobs. Chunks of client blocks are skipped.
///
/// # Errors
/// [`ErrorKind::InvalidTree`] when a blob is not JSON.
pub fn join_tree<'a>(blobs: impl Iterator<Item = (&'a str, &'a str)>) -> Result<Value> {
    let mut tree = Map::new();
    for (name, text) in blobs.filter(|(name, _)| !name.starts_with(CHUNK_PREFIX)) {
        let value: Value = serde_json::from_str(text)
            .map_err(|e| Error::new(ErrorKind::InvalidTree, e.to_string()).at(name))?;
        match name.split_once('/') {
            None => {
                tree.insert(name.to_owned(), value);
            }
            Some((parent, child)) => {
                let parent = tree.entry(parent).or_insert_with(|| Value::Object(Map::new()));
                if let Value::Object(map) = parent {
                    map.insert(child.to_owned(), value);
                }
            }
        }
    }
    Ok(Value::Object(tree))
}

/// Builds the manifest: each blob of a tree under the hash of its content, and the chunks of client blocks
/// that the tree refers to.
#[must_use]
pub fn build_manifest(blobs: &BTreeMap<String, String>, chunks: &[String]) -> BTreeMap<String, String> {
    let tree_entries = blobs.iter().map(|(name, text)| (name.clone(), sha256_hex(text.as_bytes())));
    let chunk_entries = chunks.iter().map(|hash| (format!("{CHUNK_PREFIX}{hash}"), hash.clone()));
    tree_entries.chain(chunk_entries).collect()
}

fn insert_blob(blobs: &mut BTreeMap<String, String>, name: String, value: &Value) -> Result<()> {
    let text = value.to_string();
    if text.len() > MAX_BLOB_BYTES {
        return Err(Error::new(
            ErrorKind::TooLarge,
            format!("{name}: {} bytes exceed the store's limit of {MAX_BLOB_BYTES}", text.len()),
        )
        .hint("split the organisation or service, or remove unused parts"));
    }
    blobs.insert(name, text);
    Ok(())
}
