//! Reads and edits the settings tree at a path, as JSON values.

use serde_json::{Map, Value};

use crate::error::{Error, ErrorKind, Result};
use crate::hash::sha256_hex;

/// Change to make at a path of the tree.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Edit {
    /// Replaces the value.
    Put(Value),
    /// Merges a patch into the value (RFC 7396).
    Merge(Value),
    /// Removes the value.
    Delete,
}

/// Returns the value at a path of `/`-separated names.
///
/// ```
/// use burdock_model::treepath::get;
/// let tree = serde_json::json!({"settings": {"rate": "1/s"}});
/// assert_eq!(get(&tree, "settings/rate").unwrap(), "1/s");
/// assert!(get(&tree, "settings/burst").is_err());
/// ```
///
/// # Errors
/// [`ErrorKind::NoSuchPath`] when the path does not exist.
pub fn get<'a>(tree: &'a Value, path: &str) -> Result<&'a Value> {
    segments(path).try_fold(tree, |node, name| node.get(name)).ok_or_else(|| no_such_path(path))
}

/// Returns the entity tag of a value. Equal values have equal tags.
#[must_use]
pub fn entity_tag(value: &Value) -> String {
    sha256_hex(value.to_string().as_bytes())[..16].to_owned()
}

/// Returns a copy of the tree with one edit applied.
///
/// ```
/// use burdock_model::treepath::{apply, Edit};
/// let tree = serde_json::json!({"settings": {"rate": "1/s", "burst": 2}});
/// let merged = apply(&tree, "settings", &Edit::Merge(serde_json::json!({"burst": null}))).unwrap();
/// assert_eq!(merged, serde_json::json!({"settings": {"rate": "1/s"}}));
/// ```
///
/// # Errors
/// [`ErrorKind::NoSuchPath`] when the path to delete does not exist, [`ErrorKind::InvalidTree`] when the
/// path passes through a value that is not an object.
pub fn apply(tree: &Value, path: &str, edit: &Edit) -> Result<Value> {
    let mut tree = tree.clone();
    let names: Vec<&str> = segments(path).collect();
    let Some((last, parents)) = names.split_last() else {
        return Ok(match edit {
            Edit::Put(value) => value.clone(),
            Edit::Merge(patch) => {
                merge(&mut tree, patch);
                tree
            }
            Edit::Delete => Value::Object(Map::new()),
        });
    };
    if matches!(edit, Edit::Delete) {
        get(&tree, path)?;
    }
    let mut node = &mut tree;
    for name in parents {
        node = child(node, name, path)?;
    }
    match edit {
        Edit::Put(value) => *child(node, last, path)? = value.clone(),
        Edit::Merge(patch) => merge(child(node, last, path)?, patch),
        Edit::Delete => {
            node.as_object_mut().map(|map| map.remove(*last));
        }
    }
    Ok(tree)
}

/// Returns the paths at which two trees differ, with the old and the new value.
#[must_use]
pub fn diff(old: &Value, new: &Value) -> Vec<(String, Value, Value)> {
    let mut differences = Vec::new();
    diff_into(old, new, String::new(), &mut differences);
    differences
}

fn diff_into(old: &Value, new: &Value, path: String, differences: &mut Vec<(String, Value, Value)>) {
    let (Value::Object(a), Value::Object(b)) = (old, new) else {
        if old != new {
            differences.push((path, old.clone(), new.clone()));
        }
        return;
    };
    let names: std::collections::BTreeSet<&String> = a.keys().chain(b.keys()).collect();
    for name in names {
        let child_path = if path.is_empty() { name.clone() } else { format!("{path}/{name}") };
        let absent = Value::Null;
        diff_into(a.get(name).unwrap_or(&absent), b.get(name).unwrap_or(&absent), child_path, differences);
    }
}

fn segments(path: &str) -> impl Iterator<Item = &str> {
    path.split('/').filter(|s| !s.is_empty())
}

fn child<'a>(node: &'a mut Value, name: &str, path: &str) -> Result<&'a mut Value> {
    if node.is_null() {
        *node = Value::Object(Map::new());
    }
    let Value::Object(map) = node else {
        return Err(Error::new(
            ErrorKind::InvalidTree,
            format!("`{path}` passes through a value that is not an object"),
        ));
    };
    Ok(map.entry(name).or_insert(Value::Null))
}

fn merge(target: &mut Value, patch: &Value) {
    let Value::Object(patch) = patch else {
        *target = patch.clone();
        return;
    };
    if !target.is_object() {
        *target = Value::Object(Map::new());
    }
    if let Value::Object(map) = target {
        for (name, value) in patch {
            if value.is_null() {
                map.remove(name);
            } else {
                merge(map.entry(name).or_insert(Value::Null), value);
            }
        }
    }
}

fn no_such_path(path: &str) -> Error {
    Error::new(ErrorKind::NoSuchPath, format!("nothing at `{path}`")).hint("`burdockctl get` shows the tree")
}
