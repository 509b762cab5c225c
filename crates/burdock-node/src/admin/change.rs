//! Making a change of the tree: checked as a whole, announced, written once, passed on.

use std::sync::Arc;

use burdock_decide::connectivity::CHANGE_TIMEOUT;
use burdock_model::error::{Error, ErrorKind, Result};
use burdock_model::ids::{ChangeId, Revision};
use burdock_model::manifest::Change;
use burdock_model::tree::Tree;
use burdock_model::treepath::{Edit, apply, diff, entity_tag, get};
use burdock_platform::config::{StoredHead, collect_retired, commit, read_head};
use burdock_wire::messages::PeerAddress;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use serde::Serialize;
use serde_json::Value;

use crate::fleet::{install, watch};
use crate::node::Node;

/// Attempts at a change that fits whatever came in between.
const REBASE_ATTEMPTS: usize = 4;

/// A change that an operator asks for.
#[derive(Clone, Debug)]
pub struct ChangeRequest<'a> {
    /// Who asks.
    pub operator: &'a str,
    /// The path in the tree.
    pub path: &'a str,
    /// What to do there.
    pub edit: Edit,
    /// The tag that the value there must have.
    pub if_match: Option<&'a str>,
    /// The change fits whatever another operator changed meanwhile.
    pub rebase: bool,
}

/// A change that was accepted.
#[derive(Clone, Debug, Serialize)]
pub struct Accepted {
    /// Its id.
    pub change: ChangeId,
    /// The revision it made.
    pub revision: Revision,
}

/// One difference that a change would make.
#[derive(Clone, Debug, Serialize)]
pub struct Difference {
    /// The path.
    pub path: String,
    /// The value before.
    pub old: Value,
    /// The value after.
    pub new: Value,
}

/// Makes a change.
///
/// # Errors
/// What is wrong with it, who came first, or what is out of reach. Unless the kind says that the outcome
/// is unknown, nothing was changed.
pub async fn make_change(node: &Arc<Node>, req: &ChangeRequest<'_>) -> Result<Accepted> {
    let mut attempt = 1;
    loop {
        match try_make(node, req).await {
            Err(e) if e.kind == ErrorKind::Conflict && req.rebase && attempt < REBASE_ATTEMPTS => {
                attempt += 1
            }
            result => return result,
        }
    }
}

/// The differences that a change would make.
///
/// # Errors
/// As [`make_change`]; nothing is changed in any case.
pub async fn preview_change(node: &Arc<Node>, req: &ChangeRequest<'_>) -> Result<Vec<Difference>> {
    let (_, old) = base(node).await?;
    let new = edited(&old, req)?;
    let differences = diff(&old, &new).into_iter();
    Ok(differences.map(|(path, old, new)| Difference { path, old, new }).collect())
}

async fn try_make(node: &Arc<Node>, req: &ChangeRequest<'_>) -> Result<Accepted> {
    check_contact(node)?;
    let (stored, old) = base(node).await?;
    check_tag(&stored, &old, req)?;
    let new = edited(&old, req)?;
    let id = ChangeId::new(&format!("{:016x}", rand::random::<u64>()))?;
    let announced = node.clock.now();
    let result = announce(node, &id).await;
    if let Err(e) = result {
        withdraw(node, &id).await;
        return Err(e);
    }
    if node.clock.now().since(announced) >= CHANGE_TIMEOUT / 2 {
        withdraw(node, &id).await;
        return Err(Error::new(
            ErrorKind::Isolated,
            "announcing the change took too long; nothing was changed",
        ));
    }
    let change = Change {
        id: id.clone(),
        revision: Revision(0),
        by: req.operator.to_owned(),
        path: req.path.to_owned(),
    };
    let result = commit(&node.store, &stored, &new, change).await;
    // A change whose outcome is unknown stays announced: it may be in the store.
    if result.as_ref().is_err_and(|e| e.kind != ErrorKind::ChangeUnknown) {
        withdraw(node, &id).await;
    }
    let head = result?;
    let revision = head.head.revision;
    log::info!("audit: {} changed `{}` (change {id}, revision {revision})", req.operator, req.path);
    install::install_stored(node, head).await?;
    watch::tell_fleet(node, revision).await;
    collect_in_background(node);
    Ok(Accepted { change: id, revision })
}

fn check_contact(node: &Node) -> Result<()> {
    if node.fleet.may_take_over(node.clock.now()) {
        return Ok(());
    }
    Err(Error::new(
        ErrorKind::Isolated,
        "this instance is not in contact with the store and most other instances",
    )
    .hint("ask an instance that is, see `burdockctl status`; nothing was changed"))
}

async fn base(node: &Arc<Node>) -> Result<(StoredHead, Value)> {
    let stored = read_head(&node.store).await?;
    install::install_stored(node, stored.clone()).await?;
    let tree = node.config.tree()?;
    Ok((stored, tree))
}

fn check_tag(stored: &StoredHead, tree: &Value, req: &ChangeRequest<'_>) -> Result<()> {
    let Some(wanted) = req.if_match else {
        return Ok(());
    };
    let present = get(tree, req.path).map(entity_tag).unwrap_or_default();
    if present == wanted.trim_matches('"') {
        return Ok(());
    }
    let overlaps = |c: &&Change| c.path.starts_with(req.path) || req.path.starts_with(&c.path);
    let other = stored.head.recent.iter().rev().find(overlaps);
    let by = other.map_or_else(String::new, |c| format!(": {} changed `{}` (change {})", c.by, c.path, c.id));
    Err(Error::new(ErrorKind::PreconditionFailed, format!("`{}` has another tag now{by}", req.path))
        .hint("read it again and repeat the change"))
}

fn edited(tree: &Value, req: &ChangeRequest<'_>) -> Result<Value> {
    let new = apply(tree, req.path, &req.edit)?;
    Tree::from_value(&new)?;
    Ok(new)
}

// More than half of all known instances, this one included, must promise before the write. Any majority
// that works on without the store then has one among it that knows of the change.
async fn announce(node: &Arc<Node>, id: &ChangeId) -> Result<()> {
    let view = node.fleet.view();
    let others: Vec<_> = view.entries.iter().filter(|e| e.life != node.incarnation).collect();
    let mut promises: FuturesUnordered<_> = others
        .iter()
        .map(|entry| {
            let peer = PeerAddress { id: entry.life.instance.clone(), address: entry.peer_address };
            async move { node.peers.announce_change(&peer, id.to_string()).await }
        })
        .collect();
    node.fleet.promise_change(id, node.clock.now());
    let known = view.entries.len();
    let mut promised = 1;
    while promised * 2 <= known {
        match promises.next().await {
            Some(Ok(true)) => promised += 1,
            Some(_) => {}
            None => {
                let detail = format!("only {promised} of {known} instances could be told of the change");
                return Err(
                    Error::new(ErrorKind::Isolated, detail).hint("nothing was changed; try another instance")
                );
            }
        }
    }
    Ok(())
}

// Who misses this finds the promise void when the store's state is known from late enough.
async fn withdraw(node: &Arc<Node>, id: &ChangeId) {
    node.fleet.settle_changes(|known| known == id, node.clock.now());
    let view = node.fleet.view();
    let tell = view.entries.iter().filter(|e| e.life != node.incarnation).map(|entry| {
        let peer = PeerAddress { id: entry.life.instance.clone(), address: entry.peer_address };
        async move { node.peers.withdraw_change(&peer, id.to_string()).await }
    });
    let _missed = futures::future::join_all(tell).await;
}

fn collect_in_background(node: &Arc<Node>) {
    let store = node.store.clone();
    tokio::spawn(async move {
        // A clean-up that fails is made up for after a later change.
        let _later = collect_retired(&store).await;
    });
}
