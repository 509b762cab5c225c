//! Measures the cost of gossip exchanges between instances.

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
use burdock_platform::http::HttpStoreBuilder;
use burdock_platform::store::ListedInstance;
use burdock_wire::client::PeerClient;
use burdock_wire::messages::PeerAddress;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const REGIONS: usize = 4;
const ZONES: usize = 11;
const SEED: u64 = 21;

/// Cost of one exchange in a fleet of a given size.
pub struct ExchangeCosts {
    /// Time to compose a full message, in microseconds.
    pub compose_us: f64,
    /// Time to apply a received full message, in microseconds.
    pub apply_us: f64,
    /// Encoded size of a full message.
    pub message_bytes: f64,
    /// Encoded size of a message between a watcher and its zone.
    pub watcher_message_bytes: f64,
    /// CPU time of a whole call over loopback, both ends together, in microseconds.
    pub call_cpu_us: f64,
}

/// Measures an exchange between two instances of a fleet with `members` instances.
pub fn measure_exchange_costs(members: usize) -> ExchangeCosts {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let (sender, receiver) = (node("i0"), node("i1"));
        for node in [&sender, &receiver] {
            add_members(node, members);
        }
        let full_message = exchange::build_exchange(&sender, MAX_DIGEST_HEARTBEATS);
        let watcher_message = exchange::build_exchange(&sender, watcher_digest_limit(members));
        ExchangeCosts {
            compose_us: mean_time_us(500, || drop(exchange::build_exchange(&sender, MAX_DIGEST_HEARTBEATS))),
            apply_us: mean_time_us(500, || {
                let now = receiver.clock.now();
                exchange::merge_exchange(&receiver, &full_message, HeartbeatSource::Push(now));
            }),
            message_bytes: burdock_wire::messages::encoded_bytes(&full_message) as f64,
            watcher_message_bytes: burdock_wire::messages::encoded_bytes(&watcher_message) as f64,
            call_cpu_us: measure_call_cpu_us(&sender, &receiver).await,
        }
    })
}

async fn measure_call_cpu_us(sender: &Arc<Node>, receiver: &Arc<Node>) -> f64 {
    const CALLS: u32 = 4000;
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let server =
        tokio::spawn(burdock_wire::server::serve(listener, receiver.peers.clone(), handlers(receiver)));
    let peer = PeerAddress { id: receiver.incarnation.instance.clone(), address };
    let call = async || {
        let message = exchange::build_exchange(sender, MAX_DIGEST_HEARTBEATS);
        let reply = sender.peers.exchange(&peer, message).await.expect("an answer");
        exchange::merge_exchange(sender, &reply, HeartbeatSource::Push(sender.clock.now()));
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

/// Simulates gossip rounds of one second and returns the age of the median heartbeat that an instance
/// confirmed by replies, in seconds, for the instance where it is highest.
///
/// Uses the instances' own choice of partners and of digests.
pub fn worst_median_heartbeat_age_seconds(count: usize) -> f64 {
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
            run_gossip_round(&mut tables, own, now, &mut rng);
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
    // The instance with the oldest median decides.
    medians[medians.len() - 1]
}

fn run_gossip_round(tables: &mut [Vec<Member>], own: usize, now: Time, rng: &mut StdRng) {
    let count = tables.len();
    let partners =
        select_gossip_partners(&tables[own][own].id, &tables[own][own].zone, &tables[own], rng.random());
    let member_index = |m: &&Member| m.id.as_str()[1..].parse::<usize>().expect("a number");
    let watcher_targets: Vec<(usize, usize)> =
        partners.watchers.iter().map(|m| (member_index(m), watcher_digest_limit(count))).collect();
    let full_targets: Vec<(usize, usize)> =
        partners.others.iter().map(|m| (member_index(m), MAX_DIGEST_HEARTBEATS)).collect();
    for (other, limit) in watcher_targets.into_iter().chain(full_targets) {
        let request_digest = build_digest(&tables[own], limit, rng.random(), now);
        record_heartbeats(&mut tables[other], &request_digest, HeartbeatSource::Push(now));
        let reply_digest = build_digest(&tables[other], limit, rng.random(), now);
        record_heartbeats(&mut tables[own], &reply_digest, HeartbeatSource::Reply(now));
    }
}

fn record_heartbeats(table: &mut [Member], heartbeats: &[Heartbeat], source: HeartbeatSource) {
    let by_hash: std::collections::HashMap<u32, usize> =
        heartbeats.iter().enumerate().map(|(ix, heartbeat)| (heartbeat.id_hash, ix)).collect();
    for member in table {
        if let Some(ix) = by_hash.get(&id_hash(&member.id)) {
            record_heartbeat(member, &heartbeats[*ix], source);
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

/// Builds the view of a fleet that request handling reads.
pub fn fleet_view(members: usize) -> FleetView {
    let entry = |ix: usize| Entry {
        incarnation: InstanceIncarnation {
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

fn add_members(node: &Arc<Node>, members: usize) {
    let listed_instance = |ix: usize| ListedInstance {
        id: format!("i{ix}"),
        address: "127.0.0.1:1".parse().expect("an address"),
        peer_address: "127.0.0.1:2".parse().expect("an address"),
        region: region(ix).to_string(),
        zone: zone(ix).to_string(),
        leaving: false,
    };
    let now = node.clock.now();
    node.fleet.apply_instance_list(&(0..members).map(listed_instance).collect::<Vec<_>>(), now);
    let heartbeat = |ix: usize| Heartbeat {
        id_hash: id_hash(&InstanceId::new(&format!("i{ix}")).expect("a name")),
        incarnation: Incarnation(1),
        heartbeat: 1,
        leaving: false,
        change_pending: false,
        age_ms: 0,
        revision: Revision(1),
    };
    node.fleet.record_heartbeats(
        &(0..members).map(heartbeat).collect::<Vec<_>>(),
        HeartbeatSource::Push(now),
        now,
    );
}

fn node(id: &str) -> Arc<Node> {
    let settings = serde_json::json!({
        "instance": id, "region": "region-0", "zone": "zone-0",
        "listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "admin": "127.0.0.1:0"},
        "store": {"address": "127.0.0.1:9"}, "operators": {"bench": "0123456789abcdef"},
    });
    let settings = InstanceSettings::parse(&settings.to_string()).expect("good settings");
    let (store, store_calls) = HttpStoreBuilder::new(settings.store.address).build();
    let incarnation = Incarnation(1);
    let instance_incarnation = InstanceIncarnation { instance: settings.instance.clone(), incarnation };
    let own_hello = burdock_wire::messages::Hello {
        incarnation: instance_incarnation,
        region: settings.region.clone(),
        zone: settings.zone.clone(),
    };
    let peers = PeerClient::start(own_hello, 1).expect("a thread");
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

fn mean_time_us(rounds: u32, mut f: impl FnMut()) -> f64 {
    let started_at = Instant::now();
    for _ in 0..rounds {
        f();
    }
    started_at.elapsed().as_secs_f64() * 1e6 / f64::from(rounds)
}

fn cpu_seconds() -> f64 {
    const TICKS_PER_SECOND: f64 = 100.0;
    let stat = std::fs::read_to_string("/proc/self/stat").expect("procfs is readable");
    let fields = stat.rsplit_once(')').expect("the name of the process").1;
    fields.split_whitespace().skip(11).take(2).map(|f| f.parse::<f64>().expect("ticks")).sum::<f64>()
        / TICKS_PER_SECOND
}
