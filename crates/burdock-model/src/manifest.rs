//! How the tree is cut into content-addressed blobs under one head.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::error::{Error, ErrorKind, Result};
use crate::hash::sha256_hex;
use crate::ids::{ChangeId, Revision};

/// The largest blob, in bytes: what the platform's store holds in one value.
pub const MAX_BLOB_BYTES: usize = 1_000_000;

/// Changes that the head remembers, so that a lost answer can be settled.
pub const MAX_RECENT_CHANGES: usize = 64;

/// Names in a manifest that stand for chunks of client blocks rather than for parts of the tree.
pub const CHUNK_PREFIX: &str = "chunk/";

/// The one record that decides which configuration is in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// The revision.
    pub revision: Revision,
    /// Subtree name to the name of its blob.
    pub manifest: BTreeMap<String, String>,
    /// The latest changes, newest last.
    pub recent: Vec<Change>,
    /// Blobs that are no longer in the manifest and not yet deleted, oldest first.
    #[serde(default)]
    pub retired: Vec<String>,
}

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Its id, chosen by the instance that took it.
    pub id: ChangeId,
    /// The revision it made.
    pub revision: Revision,
    /// Who made it.
    pub by: String,
    /// The path it changed.
    pub path: String,
}

impl Head {
    /// The head that follows this one with a change.
    #[must_use]
    pub fn with_change(&self, manifest: BTreeMap<String, String>, mut change: Change) -> Self {
        let revision = Revision(self.revision.0 + 1);
        change.revision = revision;
        let mut recent = self.recent.clone();
        recent.push(change);
        let extra = recent.len().saturating_sub(MAX_RECENT_CHANGES);
        recent.drain(..extra);
        let is_used = |blob: &String| manifest.values().any(|used| used == blob);
        let mut retired: Vec<String> = self.retired.iter().filter(|b| !is_used(b)).cloned().collect();
        retired.extend(self.manifest.values().filter(|b| !is_used(b)).cloned());
        Self { revision, manifest, recent, retired }
    }

    /// A change that this head remembers.
    #[must_use]
    pub fn change(&self, id: &ChangeId) -> Option<&Change> {
        self.recent.iter().find(|c| c.id == *id)
    }
}

/// Cuts a tree into blobs: one for each service and organisation, one for each other top name.
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
/// [`ErrorKind::TooLarge`] when a blob passes [`MAX_BLOB_BYTES`].
pub fn split_tree(tree: &Value) -> Result<BTreeMap<String, String>> {
    let mut blobs = BTreeMap::new();
    let empty = Map::new();
    for (name, value) in tree.as_object().unwrap_or(&empty) {
        match (name.as_str(), value) {
            ("services" | "organisations", Value::Object(children)) => {
                for (child, value) in children {
                    insert(&mut blobs, format!("{name}/{child}"), value)?;
                }
            }
            _ => insert(&mut blobs, name.clone(), value)?,
        }
    }
    Ok(blobs)
}

/// Puts a tree together from its blobs.
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

/// Names each blob of a tree by its content, and lists the chunks of client blocks that the tree names.
#[must_use]
pub fn build_manifest(blobs: &BTreeMap<String, String>, chunks: &[String]) -> BTreeMap<String, String> {
    let of_tree = blobs.iter().map(|(name, text)| (name.clone(), sha256_hex(text.as_bytes())));
    let of_chunks = chunks.iter().map(|hash| (format!("{CHUNK_PREFIX}{hash}"), hash.clone()));
    of_tree.chain(of_chunks).collect()
}

fn insert(blobs: &mut BTreeMap<String, String>, name: String, value: &Value) -> Result<()> {
    let text = value.to_string();
    if text.len() > MAX_BLOB_BYTES {
        return Err(Error::new(
            ErrorKind::TooLarge,
            format!("{name}: {} bytes, over the store's {MAX_BLOB_BYTES}", text.len()),
        )
        .hint("split the organisation or service, or remove what it does not need"));
    }
    blobs.insert(name, text);
    Ok(())
}
