//! Putting a configuration in force at this instance.

use std::collections::BTreeMap;
use std::sync::Arc;

use burdock_model::error::{Error, ErrorKind, Result};
use burdock_model::ids::{InstanceId, Revision};
use burdock_model::manifest::{CHUNK_PREFIX, Head, join_tree};
use burdock_model::snapshot::Snapshot;
use burdock_model::tree::Tree;
use burdock_platform::config::{StoredHead, check_blob, read_blob, read_head};
use burdock_wire::messages::{Configuration, PeerAddress};
use parking_lot::Mutex;
use serde_json::Value;
use tokio::sync::Semaphore;

use crate::active_config::ActiveConfig;
use crate::limits::records;
use crate::node::{Node, Phase};
use crate::observe::counters::Counter;

/// Blobs asked of another instance in one call.
const BLOBS_PER_CALL: usize = 8;

/// The head and blobs that this instance has in force and can pass on.
#[derive(Debug)]
pub struct ConfigState {
    held: Mutex<Held>,
    one_at_a_time: Semaphore,
}

#[derive(Clone, Debug, Default)]
struct Held {
    stored: StoredHead,
    blobs: BTreeMap<String, Arc<str>>,
}

impl Default for ConfigState {
    fn default() -> Self {
        Self { held: Mutex::default(), one_at_a_time: Semaphore::new(1) }
    }
}

impl ConfigState {
    /// The head in force.
    #[must_use]
    pub fn head(&self) -> StoredHead {
        self.held.lock().stored.clone()
    }

    /// The tree in force as operators wrote it.
    ///
    /// # Errors
    /// [`ErrorKind::InvalidTree`] when a blob is not JSON.
    pub fn tree(&self) -> Result<Value> {
        let held = self.held.lock();
        let text = |hash: &String| held.blobs.get(hash).map(AsRef::as_ref).unwrap_or_default();
        join_tree(held.stored.head.manifest.iter().map(|(name, hash)| (name.as_str(), text(hash))))
    }

    /// The head, with those of the named blobs that are held.
    #[must_use]
    pub fn configuration(&self, names: &[String]) -> Configuration {
        let held = self.held.lock();
        if held.stored.version == 0 {
            return Configuration::default();
        }
        let blob = |name: &String| Some((name.clone(), held.blobs.get(name)?.as_ref().to_owned()));
        Configuration {
            head: serde_json::to_string(&held.stored.head).unwrap_or_default(),
            head_version: held.stored.version,
            blobs: names.iter().filter_map(blob).collect(),
        }
    }
}

/// Brings this instance to a revision that another instance has in force. Without `from`, or where that
/// one can't give it, the store is read.
///
/// # Errors
/// When neither gives the configuration, or it can't be resolved. The one in force stays.
pub async fn reach(node: &Arc<Node>, revision: Revision, from: Option<&PeerAddress>) -> Result<()> {
    let has = |node: &Node| node.active_config.load().snapshot.revision >= revision;
    if has(node) {
        return Ok(());
    }
    let _one = node.config.one_at_a_time.acquire().await;
    if has(node) {
        return Ok(());
    }
    let result = fetch_and_install(node, from).await;
    if let Err(e) = &result {
        node.counters.add(Counter::InstallsFailed);
        log::warn!("revision {revision} not installed: {e}");
    }
    result
}

/// As [`reach`], from an instance known by its id.
pub async fn reach_from(node: &Arc<Node>, revision: Revision, id: &InstanceId) {
    let peer = node.fleet.peer_address(id).map(|address| PeerAddress { id: id.clone(), address });
    // A failure is logged and counted by `reach`; the next round tries again.
    let _logged = reach(node, revision, peer.as_ref()).await;
}

/// Installs a head that was read from the store, if it is newer.
///
/// # Errors
/// As [`reach`].
pub async fn install_stored(node: &Arc<Node>, stored: StoredHead) -> Result<()> {
    let _one = node.config.one_at_a_time.acquire().await;
    if stored.version == 0 || stored.head.revision <= node.active_config.load().snapshot.revision {
        note_version(node, &stored);
        return Ok(());
    }
    let result = complete(node, stored, None).await;
    if result.is_err() {
        node.counters.add(Counter::InstallsFailed);
    }
    result
}

// A clean-up of blobs changes the head without a new revision.
fn note_version(node: &Node, stored: &StoredHead) {
    let mut held = node.config.held.lock();
    if stored.head.revision == held.stored.head.revision && stored.version > held.stored.version {
        held.stored = stored.clone();
    }
}

async fn fetch_and_install(node: &Arc<Node>, from: Option<&PeerAddress>) -> Result<()> {
    if let Some(peer) = from {
        let told = node.peers.fetch_configuration(peer, Vec::new()).await;
        if let Some(stored) = told.ok().and_then(|cfg| parse_head(&cfg)) {
            return complete(node, stored, Some(peer)).await;
        }
    }
    let stored = read_head(&node.store).await?;
    complete(node, stored, None).await
}

fn parse_head(cfg: &Configuration) -> Option<StoredHead> {
    let head: Head = serde_json::from_str(&cfg.head).ok()?;
    Some(StoredHead { head, version: cfg.head_version })
}

async fn complete(node: &Arc<Node>, stored: StoredHead, from: Option<&PeerAddress>) -> Result<()> {
    let blobs = gather_blobs(node, &stored.head, from).await?;
    let (head, texts) = (stored.head.clone(), blobs.clone());
    let old = node.active_config.load_full();
    let resolve = move || resolve(&head, &texts, &old.snapshot);
    let snapshot = tokio::task::spawn_blocking(resolve).await;
    let snapshot = snapshot.map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))??;
    put_in_force(node, stored, blobs, snapshot);
    Ok(())
}

fn put_in_force(node: &Arc<Node>, stored: StoredHead, blobs: BTreeMap<String, Arc<str>>, snapshot: Snapshot) {
    let before = node.active_config.load_full();
    if snapshot.revision <= before.snapshot.revision {
        return;
    }
    let revision = snapshot.revision;
    let now = node.clock.now();
    node.active_config.store(Arc::new(ActiveConfig::after(&before, snapshot, &node.settings.region, now)));
    node.fleet.settle_changes(|id| stored.head.change(id).is_some(), now);
    *node.config.held.lock() = Held { stored, blobs };
    records::apply(node);
    node.revision_tx.send_replace(revision);
    node.counters.add(Counter::Installs);
    node.advance(Phase::Ready);
    log::info!("revision {revision} in force");
    super::watch::pass_on(node, revision);
}

async fn gather_blobs(
    node: &Arc<Node>,
    head: &Head,
    from: Option<&PeerAddress>,
) -> Result<BTreeMap<String, Arc<str>>> {
    let mut blobs = node.config.held.lock().blobs.clone();
    blobs.retain(|hash, _| head.manifest.values().any(|used| used == hash));
    let missing = |blobs: &BTreeMap<String, Arc<str>>| {
        head.manifest.values().filter(|hash| !blobs.contains_key(*hash)).cloned().collect::<Vec<_>>()
    };
    if let Some(peer) = from {
        for batch in missing(&blobs).chunks(BLOBS_PER_CALL) {
            let told = node.peers.fetch_configuration(peer, batch.to_vec()).await.unwrap_or_default();
            for (hash, text) in told.blobs {
                check_blob(&hash, &text)?;
                blobs.insert(hash, text.into());
            }
        }
    }
    for hash in missing(&blobs) {
        let text = read_blob(&node.store, &hash).await?;
        blobs.insert(hash, text.into());
    }
    Ok(blobs)
}

fn resolve(head: &Head, blobs: &BTreeMap<String, Arc<str>>, old: &Snapshot) -> Result<Snapshot> {
    let text = |hash: &String| blobs.get(hash).map(AsRef::as_ref).unwrap_or_default();
    let value = join_tree(head.manifest.iter().map(|(name, hash)| (name.as_str(), text(hash))))?;
    let tree = Tree::from_value(&value)?;
    let blocks = if tree.blocks == old.tree.blocks {
        Arc::clone(&old.blocks)
    } else {
        let chunks = head.manifest.iter().filter(|(name, _)| name.starts_with(CHUNK_PREFIX));
        Arc::new(crate::admin::blocks::parse_chunks(chunks.map(|(_, hash)| text(hash)))?)
    };
    Snapshot::new(head.revision, tree, blocks)
}
