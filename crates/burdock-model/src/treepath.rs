//! Reading and changing the tree at a path, as JSON values.

use serde_json::{Map, Value};

use crate::error::{Error, ErrorKind, Result};
use crate::hash::sha256_hex;

/// One change at a path of the tree.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Edit {
    /// Replaces what is there.
    Put(Value),
    /// Merges into what is there (RFC 7396).
    Merge(Value),
    /// Removes what is there.
    Delete,
}

/// The value at a path of `/`-separated names.
///
/// ```
/// use burdock_model::treepath::get;
/// let tree = serde_json::json!({"settings": {"rate": "1/s"}});
/// assert_eq!(get(&tree, "settings/rate").unwrap(), "1/s");
/// assert!(get(&tree, "settings/burst").is_err());
/// ```
///
/// # Errors
/// [`ErrorKind::NoSuchPath`] when nothing is there.
pub fn get<'a>(tree: &'a Value, path: &str) -> Result<&'a Value> {
    segments(path).try_fold(tree, |node, name| node.get(name)).ok_or_else(|| no_such(path))
}

/// The tag of the value at a path: it changes with the value only.
#[must_use]
pub fn entity_tag(value: &Value) -> String {
    sha256_hex(value.to_string().as_bytes())[..16].to_owned()
}

/// A tree with one edit made.
///
/// ```
/// use burdock_model::treepath::{apply, Edit};
/// let tree = serde_json::json!({"settings": {"rate": "1/s", "burst": 2}});
/// let merged = apply(&tree, "settings", &Edit::Merge(serde_json::json!({"burst": null}))).unwrap();
/// assert_eq!(merged, serde_json::json!({"settings": {"rate": "1/s"}}));
/// ```
///
/// # Errors
/// [`ErrorKind::NoSuchPath`] when there is nothing to delete, [`ErrorKind::InvalidTree`] when the
/// path leads through something that has no children.
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

/// The paths at which two trees differ, with the old and the new value.
#[must_use]
pub fn diff(old: &Value, new: &Value) -> Vec<(String, Value, Value)> {
    let mut found = Vec::new();
    diff_into(old, new, String::new(), &mut found);
    found
}

fn diff_into(old: &Value, new: &Value, path: String, found: &mut Vec<(String, Value, Value)>) {
    let (Value::Object(a), Value::Object(b)) = (old, new) else {
        if old != new {
            found.push((path, old.clone(), new.clone()));
        }
        return;
    };
    let names: std::collections::BTreeSet<&String> = a.keys().chain(b.keys()).collect();
    for name in names {
        let below = if path.is_empty() { name.clone() } else { format!("{path}/{name}") };
        let none = Value::Null;
        diff_into(a.get(name).unwrap_or(&none), b.get(name).unwrap_or(&none), below, found);
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
            format!("`{path}` leads through a value without children"),
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

fn no_such(path: &str) -> Error {
    Error::new(ErrorKind::NoSuchPath, format!("nothing at `{path}`"))
        .hint("`burdockctl get` shows what is there")
}
