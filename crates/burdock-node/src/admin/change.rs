//! Changes of the tree: each is validated, announced to a majority, committed to the store and distributed.

use std::sync::Arc;

use burdock_decide::connectivity::CHANGE_TIMEOUT;
use burdock_model::error::{Error, ErrorKind, Result};
use burdock_model::ids::{ChangeId, Revision};
use burdock_model::manifest::Change;
use burdock_model::tree::Tree;
use burdock_model::treepath::{Edit, apply, diff, entity_tag, get};
use burdock_platform::config::{StoredHead, commit_tree, delete_retired_blobs, read_head};
use burdock_wire::messages::PeerAddress;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use serde::Serialize;
use serde_json::Value;

use crate::fleet::{install, watch};
use crate::node::Node;

/// Maximum number of attempts at a change that may be rebased on concurrent ones.
const MAX_REBASE_ATTEMPTS: usize = 4;

/// A change of the tree that an operator requests.
#[derive(Clone, Debug)]
pub struct ChangeRequest<'a> {
    /// Name of the operator.
    pub operator: &'a str,
    /// Path in the tree.
    pub path: &'a str,
    /// Edit to apply at the path.
    pub edit: Edit,
    /// Entity tag that the present value must have.
    pub if_match: Option<&'a str>,
    /// Whether the change is tried again on top of a concurrent change by another operator.
    pub rebase: bool,
}

/// An accepted change.
#[derive(Clone, Debug, Serialize)]
pub struct Accepted {
    /// Id of the change.
    pub change: ChangeId,
    /// Revision that the change created.
    pub revision: Revision,
}

/// One difference between the tree before and after a change.
#[derive(Clone, Debug, Serialize)]
pub struct Difference {
    /// Path of the value.
    pub path: String,
    /// Value before the change.
    pub old: Value,
    /// Value after the change.
    pub new: Value,
}

/// Makes a change of the tree.
///
/// # Errors
/// Those of validation, of a conflict with another change, and of contact with the store and other instances.
/// Nothing was changed unless the kind is [`ErrorKind::ChangeUnknown`].
pub async fn make_change(node: &Arc<Node>, req: &ChangeRequest<'_>) -> Result<Accepted> {
    let mut attempt = 1;
    loop {
        match try_make(node, req).await {
            Err(e) if e.kind == ErrorKind::Conflict && req.rebase && attempt < MAX_REBASE_ATTEMPTS => {
                attempt += 1
            }
            result => return result,
        }
    }
}

/// Returns the differences that a change would make.
///
/// # Errors
/// Those of validation and of contact with the store.
pub async fn preview_change(node: &Arc<Node>, req: &ChangeRequest<'_>) -> Result<Vec<Difference>> {
    let (_, old) = install_newest_tree(node).await?;
    let new = apply_edit(&old, req)?;
    let differences = diff(&old, &new).into_iter();
    Ok(differences.map(|(path, old, new)| Difference { path, old, new }).collect())
}

async fn try_make(node: &Arc<Node>, req: &ChangeRequest<'_>) -> Result<Accepted> {
    check_contact(node)?;
    let (stored, old) = install_newest_tree(node).await?;
    check_tag(&stored, &old, req)?;
    let new = apply_edit(&old, req)?;
    let id = ChangeId::new(&format!("{:016x}", rand::random::<u64>()))?;
    let announced_at = node.clock.now();
    let result = announce(node, &id).await;
    if let Err(e) = result {
        withdraw(node, &id).await;
        return Err(e);
    }
    if node.clock.now().since(announced_at) >= CHANGE_TIMEOUT / 2 {
        withdraw(node, &id).await;
        return Err(Error::new(
            ErrorKind::Isolated,
            "announcing the change to other instances took too long; nothing was changed",
        ));
    }
    let change = Change {
        id: id.clone(),
        revision: Revision(0),
        by: req.operator.to_owned(),
        path: req.path.to_owned(),
    };
    let result = commit_tree(&node.store, &stored, &new, change).await;
    // A change whose outcome is unknown stays announced, since it may be in the store.
    if result.as_ref().is_err_and(|e| e.kind != ErrorKind::ChangeUnknown) {
        withdraw(node, &id).await;
    }
    let head = result?;
    let revision = head.head.revision;
    log::info!("audit: {} changed `{}` (change {id}, revision {revision})", req.operator, req.path);
    install::install_stored(node, head).await?;
    watch::notify_fleet(node, revision).await;
    collect_in_background(node);
    Ok(Accepted { change: id, revision })
}

fn check_contact(node: &Node) -> Result<()> {
    if node.fleet.may_take_over(node.clock.now()) {
        return Ok(());
    }
    Err(Error::new(
        ErrorKind::Isolated,
        "this instance is not in contact with the store and with most other instances; nothing was changed",
    )
    .hint("use an instance that is; see `burdockctl status`"))
}

async fn install_newest_tree(node: &Arc<Node>) -> Result<(StoredHead, Value)> {
    let stored = read_head(&node.store).await?;
    install::install_stored(node, stored.clone()).await?;
    let tree = node.config.tree()?;
    Ok((stored, tree))
}

fn check_tag(stored: &StoredHead, tree: &Value, req: &ChangeRequest<'_>) -> Result<()> {
    let Some(expected) = req.if_match else {
        return Ok(());
    };
    let present = get(tree, req.path).map(entity_tag).unwrap_or_default();
    if present == expected.trim_matches('"') {
        return Ok(());
    }
    let overlaps = |c: &&Change| c.path.starts_with(req.path) || req.path.starts_with(&c.path);
    let conflicting = stored.head.recent.iter().rev().find(overlaps);
    let by = conflicting
        .map_or_else(String::new, |c| format!(": {} changed `{}` (change {})", c.by, c.path, c.id));
    Err(Error::new(
        ErrorKind::PreconditionFailed,
        format!("the entity tag of `{}` does not match{by}", req.path),
    )
    .hint("read the value again and repeat the change"))
}

fn apply_edit(tree: &Value, req: &ChangeRequest<'_>) -> Result<Value> {
    let new = apply(tree, req.path, &req.edit)?;
    Tree::from_value(&new)?;
    Ok(new)
}

// More than half of all known instances, this one included, must acknowledge the change before it is written.
// Any majority that goes on without the store then has a member that knows of the change.
async fn announce(node: &Arc<Node>, id: &ChangeId) -> Result<()> {
    let view = node.fleet.view();
    let others: Vec<_> = view.entries.iter().filter(|e| e.incarnation != node.incarnation).collect();
    let mut replies: FuturesUnordered<_> = others
        .iter()
        .map(|entry| {
            let peer = PeerAddress { id: entry.incarnation.instance.clone(), address: entry.peer_address };
            async move { node.peers.announce_change(&peer, id.to_string()).await }
        })
        .collect();
    node.fleet.track_change(id, node.clock.now());
    let known = view.entries.len();
    let mut acknowledged = 1;
    while acknowledged * 2 <= known {
        match replies.next().await {
            Some(Ok(true)) => acknowledged += 1,
            Some(_) => {}
            None => {
                let detail = format!("only {acknowledged} of {known} instances acknowledged the change");
                return Err(
                    Error::new(ErrorKind::Isolated, detail).hint("nothing was changed; try another instance")
                );
            }
        }
    }
    Ok(())
}

// An instance that misses the withdrawal discards the announced change once it knows a state of the store
// that is recent enough to contain it.
async fn withdraw(node: &Arc<Node>, id: &ChangeId) {
    node.fleet.remove_settled_changes(|known| known == id, node.clock.now());
    let view = node.fleet.view();
    let calls = view.entries.iter().filter(|e| e.incarnation != node.incarnation).map(|entry| {
        let peer = PeerAddress { id: entry.incarnation.instance.clone(), address: entry.peer_address };
        async move { node.peers.withdraw_change(&peer, id.to_string()).await }
    });
    let _replies = futures::future::join_all(calls).await;
}

fn collect_in_background(node: &Arc<Node>) {
    let store = node.store.clone();
    tokio::spawn(async move {
        // If this fails, the clean-up after a later change collects the same blobs.
        let _result = delete_retired_blobs(&store).await;
    });
}
