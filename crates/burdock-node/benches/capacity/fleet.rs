//! Costs of the exchange between instances.

use std::sync::Arc;
use std::time::{Duration, Instant};

use burdock_decide::membership::{
    HeartbeatSource, MAX_DIGEST_HEARTBEATS, Member, build_digest, id_hash, record_heartbeat,
    select_gossip_partners, watcher_digest_limit,
};
use burdock_decide::time::Time;
use burdock_model::fleet::Heartbeat;
use burdock_model::ids::{Incarnation, InstanceId, InstanceIncarnation, RegionName, Revision, ZoneName};
use burdock_node::fleet::{Entry, FleetView, exchange};
use burdock_node::node::{Node, NodeParts};
use burdock_node::peers::{handlers, hello};
use burdock_node::settings::InstanceSettings;
use burdock_platform::http::HttpStore;
use burdock_platform::store::ListedInstance;
use burdock_wire::client::PeerClient;
use burdock_wire::messages::PeerAddress;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const REGIONS: usize = 4;
const ZONES: usize = 11;
const SEED: u64 = 21;

/// Costs of one exchange in a fleet of some size.
pub struct ExchangeCosts {
    /// Processor time to compose a message.
    pub compose_us: f64,
    /// Processor time to take a message in.
    pub absorb_us: f64,
    /// Bytes of a full message.
    pub message_bytes: f64,
    /// Bytes of a message between a watcher and its zone.
    pub watcher_message_bytes: f64,
    /// Processor time of a whole call over loopback, both ends together.
    pub call_cpu_us: f64,
}

/// Measures one size.
pub fn exchange_costs(members: usize) -> ExchangeCosts {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let (asker, answerer) = (node("i0"), node("i1"));
        for node in [&asker, &answerer] {
            fill(node, members);
        }
        let full = exchange::compose(&asker, MAX_DIGEST_HEARTBEATS);
        let light = exchange::compose(&asker, watcher_digest_limit(members));
        ExchangeCosts {
            compose_us: time_us(500, || drop(exchange::compose(&asker, MAX_DIGEST_HEARTBEATS))),
            absorb_us: time_us(500, || {
                let now = answerer.clock.now();
                exchange::absorb(&answerer, &full, HeartbeatSource::Push(now));
            }),
            message_bytes: burdock_wire::messages::encoded_bytes(&full) as f64,
            watcher_message_bytes: burdock_wire::messages::encoded_bytes(&light) as f64,
            call_cpu_us: call_cpu_us(&asker, &answerer).await,
        }
    })
}

async fn call_cpu_us(asker: &Arc<Node>, answerer: &Arc<Node>) -> f64 {
    const CALLS: u32 = 4000;
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let server =
        tokio::spawn(burdock_wire::server::serve(listener, answerer.peers.clone(), handlers(answerer)));
    let peer = PeerAddress { id: answerer.incarnation.instance.clone(), address };
    let call = async || {
        let exchange = exchange::compose(asker, MAX_DIGEST_HEARTBEATS);
        let answer = asker.peers.exchange(&peer, exchange).await.expect("an answer");
        exchange::absorb(asker, &answer, HeartbeatSource::Push(asker.clock.now()));
    };
    call().await;
    let before = cpu_seconds();
    for _ in 0..CALLS {
        call().await;
    }
    let used = cpu_seconds() - before;
    server.abort();
    used * 1e6 / f64::from(CALLS)
}

/// How old the median heartbeat is that an instance knows from answers, in a fleet that exchanges in rounds.
///
/// Runs the node's own choice of partners and digests over all members at once. Each round is a second.
pub fn staleness_seconds(count: usize) -> f64 {
    const ROUNDS: u64 = 40;
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut tables: Vec<Vec<Member>> =
        (0..count).map(|own| (0..count).map(|ix| member(ix, own)).collect()).collect();
    for round in 1..=ROUNDS {
        let now = Time::from_millis(round * 1000);
        for (own, table) in tables.iter_mut().enumerate() {
            table[own].heartbeat = u32::try_from(round).expect("few rounds");
            table[own].heartbeat_at = now;
        }
        for own in 0..count {
            exchange_round(&mut tables, own, now, &mut rng);
        }
    }
    let end = Time::from_millis(ROUNDS * 1000);
    let median = |table: &Vec<Member>| {
        let mut ages: Vec<Duration> =
            table.iter().map(|m| end.since(m.confirmed_at.unwrap_or_default())).collect();
        ages.sort_unstable();
        ages[ages.len() / 2].as_secs_f64()
    };
    let mut medians: Vec<f64> = tables.iter().map(median).collect();
    medians.sort_unstable_by(f64::total_cmp);
    // The worst-served instance counts.
    medians[medians.len() - 1]
}

fn exchange_round(tables: &mut [Vec<Member>], own: usize, now: Time, rng: &mut StdRng) {
    let count = tables.len();
    let chosen =
        select_gossip_partners(&tables[own][own].id, &tables[own][own].zone, &tables[own], rng.random());
    let number = |m: &&Member| m.id.as_str()[1..].parse::<usize>().expect("a number");
    let light: Vec<(usize, usize)> =
        chosen.watchers.iter().map(|m| (number(m), watcher_digest_limit(count))).collect();
    let full: Vec<(usize, usize)> =
        chosen.others.iter().map(|m| (number(m), MAX_DIGEST_HEARTBEATS)).collect();
    for (other, limit) in light.into_iter().chain(full) {
        let told = build_digest(&tables[own], limit, rng.random(), now);
        take(&mut tables[other], &told, HeartbeatSource::Push(now));
        let answer = build_digest(&tables[other], limit, rng.random(), now);
        take(&mut tables[own], &answer, HeartbeatSource::Reply(now));
    }
}

fn take(table: &mut [Member], beats: &[Heartbeat], source: HeartbeatSource) {
    let by_hash: std::collections::HashMap<u32, usize> =
        beats.iter().enumerate().map(|(ix, b)| (b.id_hash, ix)).collect();
    for member in table {
        if let Some(ix) = by_hash.get(&id_hash(&member.id)) {
            record_heartbeat(member, &beats[*ix], source);
        }
    }
}

fn member(ix: usize, own: usize) -> Member {
    Member {
        id: InstanceId::new(&format!("i{ix}")).expect("a name"),
        region: region(ix),
        zone: zone(ix),
        incarnation: Incarnation(u32::from(ix == own)),
        heartbeat: 0,
        heartbeat_at: Time(0),
        incarnation_seen_at: Time(0),
        confirmed_at: None,
        revision: Revision(1),
        leaving: false,
        listed: true,
        change_pending: false,
    }
}

/// A fleet of some size as requests see it.
pub fn view(members: usize) -> FleetView {
    let entry = |ix: usize| Entry {
        life: InstanceIncarnation {
            instance: InstanceId::new(&format!("i{ix}")).expect("a name"),
            incarnation: Incarnation(1),
        },
        region: region(ix),
        zone: zone(ix),
        address: "127.0.0.1:1".parse().expect("an address"),
        peer_address: "127.0.0.1:2".parse().expect("an address"),
        member_state: burdock_decide::membership::MemberState::Alive,
        load_per_mille: 100,
        revision: Revision(1),
    };
    FleetView { entries: (0..members).map(entry).collect() }
}

fn fill(node: &Arc<Node>, members: usize) {
    let listed = |ix: usize| ListedInstance {
        id: format!("i{ix}"),
        address: "127.0.0.1:1".parse().expect("an address"),
        peer_address: "127.0.0.1:2".parse().expect("an address"),
        region: region(ix).to_string(),
        zone: zone(ix).to_string(),
        leaving: false,
    };
    let now = node.clock.now();
    node.fleet.take_list(&(0..members).map(listed).collect::<Vec<_>>(), now);
    let beat = |ix: usize| Heartbeat {
        id_hash: id_hash(&InstanceId::new(&format!("i{ix}")).expect("a name")),
        incarnation: Incarnation(1),
        heartbeat: 1,
        leaving: false,
        change_pending: false,
        age_ms: 0,
        revision: Revision(1),
    };
    node.fleet.observe(&(0..members).map(beat).collect::<Vec<_>>(), HeartbeatSource::Push(now), now);
}

fn node(id: &str) -> Arc<Node> {
    let settings = serde_json::json!({
        "instance": id, "region": "region-0", "zone": "zone-0",
        "listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "admin": "127.0.0.1:0"},
        "store": {"address": "127.0.0.1:9"}, "operators": {"bench": "0123456789abcdef"},
    });
    let settings = InstanceSettings::parse(&settings.to_string()).expect("good settings");
    let (store, store_calls) = HttpStore::new(settings.store.address).build();
    let incarnation = Incarnation(1);
    let life = InstanceIncarnation { instance: settings.instance.clone(), incarnation };
    let first = burdock_wire::messages::Hello {
        incarnation: life,
        region: settings.region.clone(),
        zone: settings.zone.clone(),
    };
    let peers = PeerClient::start(first, 1).expect("a thread");
    let node = Arc::new(Node::new(NodeParts { settings, incarnation, store, store_calls, peers }));
    assert_eq!(hello(&node).incarnation, node.incarnation);
    node
}

fn region(ix: usize) -> RegionName {
    RegionName::new(&format!("region-{}", ix % REGIONS)).expect("a name")
}

fn zone(ix: usize) -> ZoneName {
    ZoneName::new(&format!("zone-{}", ix % ZONES)).expect("a name")
}

fn time_us(rounds: u32, mut f: impl FnMut()) -> f64 {
    let began = Instant::now();
    for _ in 0..rounds {
        f();
    }
    began.elapsed().as_secs_f64() * 1e6 / f64::from(rounds)
}

fn cpu_seconds() -> f64 {
    const TICKS_PER_SECOND: f64 = 100.0;
    let stat = std::fs::read_to_string("/proc/self/stat").expect("the system tells");
    let fields = stat.rsplit_once(')').expect("a name").1;
    fields.split_whitespace().skip(11).take(2).map(|f| f.parse::<f64>().expect("ticks")).sum::<f64>()
        / TICKS_PER_SECOND
}
