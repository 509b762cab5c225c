//! Installing a configuration revision at this instance.

use std::collections::BTreeMap;
use std::sync::Arc;

use burdock_model::error::{Error, ErrorKind, Result};
use burdock_model::ids::{InstanceId, Revision};
use burdock_model::manifest::{CHUNK_PREFIX, Head, join_tree};
use burdock_model::snapshot::Snapshot;
use burdock_model::tree::Tree;
use burdock_platform::config::{StoredHead, read_blob, read_head, verify_blob};
use burdock_wire::messages::{Configuration, PeerAddress};
use parking_lot::Mutex;
use serde_json::Value;
use tokio::sync::Semaphore;

use crate::active_config::ActiveConfig;
use crate::limits::records;
use crate::node::{Node, Phase};
use crate::observe::counters::Counter;

/// Maximum number of blobs requested from another instance in one call.
const BLOBS_PER_CALL: usize = 8;

/// The head and blobs that this instance has in force and serves to other instances.
#[derive(Debug)]
pub struct ConfigState {
    installed: Mutex<InstalledConfig>,
    install_permit: Semaphore,
}

#[derive(Clone, Debug, Default)]
struct InstalledConfig {
    stored: StoredHead,
    blobs: BTreeMap<String, Arc<str>>,
}

impl Default for ConfigState {
    fn default() -> Self {
        Self { installed: Mutex::default(), install_permit: Semaphore::new(1) }
    }
}

impl ConfigState {
    /// Returns the head in force.
    #[must_use]
    pub fn head(&self) -> StoredHead {
        self.installed.lock().stored.clone()
    }

    /// Joins the tree in force, in the form that operators wrote.
    ///
    /// # Errors
    /// [`ErrorKind::InvalidTree`] if a blob is not valid JSON.
    pub fn tree(&self) -> Result<Value> {
        let installed = self.installed.lock();
        let text = |hash: &String| installed.blobs.get(hash).map(AsRef::as_ref).unwrap_or_default();
        join_tree(installed.stored.head.manifest.iter().map(|(name, hash)| (name.as_str(), text(hash))))
    }

    /// Returns the head, with those of the named blobs that are available here.
    #[must_use]
    pub fn configuration(&self, names: &[String]) -> Configuration {
        let installed = self.installed.lock();
        if installed.stored.version == 0 {
            return Configuration::default();
        }
        let blob = |name: &String| Some((name.clone(), installed.blobs.get(name)?.as_ref().to_owned()));
        Configuration {
            head: serde_json::to_string(&installed.stored.head).unwrap_or_default(),
            head_version: installed.stored.version,
            blobs: names.iter().filter_map(blob).collect(),
        }
    }
}

/// Installs at least the given revision. Reads it from the instance `from`, or from the store if there is
/// none or it does not provide the configuration.
///
/// # Errors
/// If neither provides the configuration, or it can't be resolved. The revision in force stays in force then.
pub async fn install_revision(
    node: &Arc<Node>,
    revision: Revision,
    from: Option<&PeerAddress>,
) -> Result<()> {
    let is_installed = |node: &Node| node.active_config.load().snapshot.revision >= revision;
    if is_installed(node) {
        return Ok(());
    }
    let _permit = node.config.install_permit.acquire().await;
    if is_installed(node) {
        return Ok(());
    }
    let result = fetch_and_install(node, from).await;
    if let Err(e) = &result {
        node.counters.add(Counter::InstallsFailed);
        log::warn!("revision {revision} not installed, the one in force stays: {e}");
    }
    result
}

/// Installs at least the given revision, as [`install_revision`] does, from an instance given by its id.
pub async fn install_revision_from(node: &Arc<Node>, revision: Revision, id: &InstanceId) {
    let peer = node.fleet.peer_address(id).map(|address| PeerAddress { id: id.clone(), address });
    // `install_revision` logs and counts a failure; the next gossip round tries again.
    let _logged = install_revision(node, revision, peer.as_ref()).await;
}

/// Installs a head that was read from the store if it is newer than the one in force.
///
/// # Errors
/// As for [`install_revision`].
pub async fn install_stored(node: &Arc<Node>, stored: StoredHead) -> Result<()> {
    let _permit = node.config.install_permit.acquire().await;
    if stored.version == 0 || stored.head.revision <= node.active_config.load().snapshot.revision {
        update_version(node, &stored);
        return Ok(());
    }
    let result = install_head(node, stored, None).await;
    if result.is_err() {
        node.counters.add(Counter::InstallsFailed);
    }
    result
}

// Removing unused blobs writes the head again without a new revision.
fn update_version(node: &Node, stored: &StoredHead) {
    let mut installed = node.config.installed.lock();
    if stored.head.revision == installed.stored.head.revision && stored.version > installed.stored.version {
        installed.stored = stored.clone();
    }
}

async fn fetch_and_install(node: &Arc<Node>, from: Option<&PeerAddress>) -> Result<()> {
    if let Some(peer) = from {
        let received = node.peers.fetch_configuration(peer, Vec::new()).await;
        if let Some(stored) = received.ok().and_then(|cfg| parse_head(&cfg)) {
            return install_head(node, stored, Some(peer)).await;
        }
    }
    let stored = read_head(&node.store).await?;
    install_head(node, stored, None).await
}

fn parse_head(cfg: &Configuration) -> Option<StoredHead> {
    let head: Head = serde_json::from_str(&cfg.head).ok()?;
    Some(StoredHead { head, version: cfg.head_version })
}

async fn install_head(node: &Arc<Node>, stored: StoredHead, from: Option<&PeerAddress>) -> Result<()> {
    let blobs = collect_blobs(node, &stored.head, from).await?;
    let (head, texts) = (stored.head.clone(), blobs.clone());
    let old = node.active_config.load_full();
    let resolve = move || resolve(&head, &texts, &old.snapshot);
    let snapshot = tokio::task::spawn_blocking(resolve).await;
    let snapshot = snapshot.map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))??;
    activate(node, stored, blobs, snapshot);
    Ok(())
}

fn activate(node: &Arc<Node>, stored: StoredHead, blobs: BTreeMap<String, Arc<str>>, snapshot: Snapshot) {
    let before = node.active_config.load_full();
    if snapshot.revision <= before.snapshot.revision {
        return;
    }
    let revision = snapshot.revision;
    let now = node.clock.now();
    node.active_config.store(Arc::new(ActiveConfig::after(&before, snapshot, &node.settings.region, now)));
    node.fleet.remove_settled_changes(|id| stored.head.change(id).is_some(), now);
    *node.config.installed.lock() = InstalledConfig { stored, blobs };
    records::apply_allotments(node);
    node.revision_tx.send_replace(revision);
    node.counters.add(Counter::Installs);
    node.advance(Phase::Ready);
    log::info!("revision {revision} in force");
    super::watch::notify_zone(node, revision);
}

async fn collect_blobs(
    node: &Arc<Node>,
    head: &Head,
    from: Option<&PeerAddress>,
) -> Result<BTreeMap<String, Arc<str>>> {
    let mut blobs = node.config.installed.lock().blobs.clone();
    blobs.retain(|hash, _| head.manifest.values().any(|used| used == hash));
    let missing = |blobs: &BTreeMap<String, Arc<str>>| {
        head.manifest.values().filter(|hash| !blobs.contains_key(*hash)).cloned().collect::<Vec<_>>()
    };
    if let Some(peer) = from {
        for batch in missing(&blobs).chunks(BLOBS_PER_CALL) {
            let received = node.peers.fetch_configuration(peer, batch.to_vec()).await.unwrap_or_default();
            for (hash, text) in received.blobs {
                verify_blob(&hash, &text)?;
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
