//! Calls over a real session: messages round-trip, and failures and malformed input are contained.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use burdock_model::error::{Error, ErrorKind};
use burdock_model::fleet::{BackendLoad, Heartbeat};
use burdock_model::ids::{
    BackendId, Incarnation, InstanceId, InstanceIncarnation, RegionName, Revision, ZoneName,
};
use burdock_wire::client::PeerClient;
use burdock_wire::messages::{BufferedResponse, Exchange, Hello, Loan, PeerAddress, RelayedRequest};
use burdock_wire::server::{Handlers, serve};
use futures::FutureExt;
use googletest::prelude::*;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

fn incarnation(name: &str) -> InstanceIncarnation {
    InstanceIncarnation { instance: InstanceId::new(name).unwrap(), incarnation: Incarnation(7) }
}

fn hello(name: &str) -> Hello {
    Hello {
        incarnation: incarnation(name),
        region: RegionName::new("riga").unwrap(),
        zone: ZoneName::new("riga-a").unwrap(),
    }
}

fn exchange(revision: u64) -> Exchange {
    let heartbeat = |n: u32| Heartbeat {
        id_hash: n,
        incarnation: Incarnation(n),
        heartbeat: n,
        leaving: n.is_multiple_of(2),
        change_pending: n.is_multiple_of(3),
        age_ms: n * 10,
        revision: Revision(revision.saturating_sub(u64::from(n))),
    };
    Exchange {
        sender: incarnation("a"),
        heartbeats: (0..20).map(heartbeat).collect(),
        revision: Revision(revision),
        store_age_ms: Some(40),
        shares_digest: 9,
        load_per_mille: 300,
        backend_loads: vec![BackendLoad {
            id: BackendId::new("v1").unwrap(),
            accepting: true,
            in_flight: 3,
            age_ms: 8,
        }],
        strikes: Vec::new(),
        successions: Vec::new(),
        splits: Vec::new(),
    }
}

fn handlers() -> Handlers {
    Handlers {
        exchange: Arc::new(|message| std::future::ready(Ok(message)).boxed()),
        borrow_tokens: Arc::new(|(_, wanted)| {
            let loan = Loan { granted: wanted, remaining: 1, is_refused: false };
            async move {
                // A request for 9 tokens is answered late.
                tokio::time::sleep(Duration::from_millis(if wanted == 9 { 500 } else { 0 })).await;
                Ok(loan)
            }
            .boxed()
        }),
        relay: Arc::new(|req: RelayedRequest| {
            let result = match req.method.as_str() {
                "POST" => Ok(BufferedResponse { status: 200, headers: req.headers, body: req.body }),
                _ => Err(Error::new(ErrorKind::OverRate, "too many")),
            };
            std::future::ready(result).boxed()
        }),
        ..Handlers::reject_all(hello("b"))
    }
}

async fn start_server() -> (PeerClient, PeerAddress) {
    let peers = PeerClient::start(hello("a"), 1).unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(serve(listener, peers.clone(), handlers()));
    (peers, PeerAddress { id: InstanceId::new("b").unwrap(), address })
}

#[gtest]
#[tokio::test]
async fn exchange_message_round_trips_unchanged() {
    let (peers, peer) = start_server().await;
    for revision in [0, 5, 16_383, 16_384, 40_000, u64::from(u32::MAX)] {
        let sent = exchange(revision);
        expect_that!(peers.exchange(&peer, sent.clone()).await.unwrap(), eq(&sent));
    }
}

#[gtest]
#[tokio::test]
async fn relayed_request_returns_the_response_or_the_refusal() {
    let (peers, peer) = start_server().await;
    let req = RelayedRequest {
        organisation: "o".to_owned(),
        method: "POST".to_owned(),
        target: "/valves/7".to_owned(),
        host: String::new(),
        headers: vec![("x".to_owned(), vec![0xff, 1])],
        body: vec![7; 100_000],
        idempotency_key: "k".to_owned(),
        remaining_ms: 1000,
        traceparent: String::new(),
        request_id: "r".to_owned(),
        owner: incarnation("b"),
    };
    let timeout = Duration::from_secs(5);
    let response = peers.relay(&peer, req.clone(), timeout).await.unwrap().unwrap();
    expect_that!(response.body.len(), eq(100_000));
    let refused =
        peers.relay(&peer, RelayedRequest { method: "PUT".to_owned(), ..req }, timeout).await.unwrap();
    expect_that!(refused.unwrap_err().kind, eq(ErrorKind::OverRate));
}

#[gtest]
#[tokio::test]
async fn refused_connection_and_wrong_instance_are_not_sent_and_timeout_is_lost() {
    let (peers, peer) = start_server().await;
    let unreachable = PeerAddress { address: "127.0.0.1:1".parse().unwrap(), ..peer.clone() };
    let e = peers.borrow_tokens(&unreachable, "o".to_owned(), 1, Duration::from_secs(1)).await.unwrap_err();
    expect_that!(e.is_not_sent(), eq(true));
    let e = peers.borrow_tokens(&peer, "o".to_owned(), 9, Duration::from_millis(50)).await.unwrap_err();
    expect_that!(e.is_not_sent(), eq(false));
    let wrong_id = PeerAddress { id: InstanceId::new("c").unwrap(), ..peer };
    let e = peers.borrow_tokens(&wrong_id, "o".to_owned(), 1, Duration::from_secs(1)).await.unwrap_err();
    expect_that!(e.is_not_sent(), eq(true));
}

#[gtest]
#[tokio::test]
async fn malformed_bytes_do_not_disturb_other_sessions() {
    let (peers, peer) = start_server().await;
    for seed in 0..40_u8 {
        let mut stream = TcpStream::connect(peer.address).await.unwrap();
        let bytes: Vec<u8> = (0..=255_u8).map(|n| n.wrapping_mul(seed).rotate_left(3) ^ seed).collect();
        let _result = stream.write_all(&bytes).await;
    }
    let loan = peers.borrow_tokens(&peer, "o".to_owned(), 2, Duration::from_secs(5)).await.unwrap();
    expect_that!(loan.granted, eq(2));
}

// Forwards connections to `target`. Those that were open when the number in `silent` grew stay open and forward
// nothing more.
async fn start_forwarder(target: SocketAddr) -> (SocketAddr, watch::Sender<usize>, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (silence, silent) = watch::channel(0);
    let accepted = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&accepted);
    tokio::spawn(async move {
        while let Ok((mut from, _)) = listener.accept().await {
            count.fetch_add(1, Ordering::Relaxed);
            let mut silent = silent.clone();
            silent.mark_unchanged();
            tokio::spawn(async move {
                let mut to = TcpStream::connect(target).await.unwrap();
                tokio::select! {
                    _ended = tokio::io::copy_bidirectional(&mut from, &mut to) => {}
                    _silent = silent.changed() => std::future::pending().await,
                }
            });
        }
    });
    (address, silence, accepted)
}

// Guards against using a session again and again whose connection went silent.
#[gtest]
#[tokio::test]
async fn silent_session_is_replaced_after_a_call_timed_out() {
    let (peers, peer) = start_server().await;
    let (address, silence, accepted) = start_forwarder(peer.address).await;
    let peer = PeerAddress { address, ..peer };
    let timeout = Duration::from_millis(300);
    assert_eq!(peers.borrow_tokens(&peer, "o".to_owned(), 2, timeout).await.unwrap().granted, 2);
    silence.send_replace(1);
    let e = peers.borrow_tokens(&peer, "o".to_owned(), 2, timeout).await.unwrap_err();
    expect_that!(e.is_not_sent(), eq(false));
    // The probe that follows has a second.
    tokio::time::sleep(Duration::from_millis(1200)).await;
    expect_that!(peers.borrow_tokens(&peer, "o".to_owned(), 2, timeout).await.map(|l| l.granted), ok(eq(&2)));
    expect_that!(accepted.load(Ordering::Relaxed), eq(2));
}

// Guards against opening new sessions to an instance that is only busy.
#[gtest]
#[tokio::test]
async fn session_on_which_a_call_is_late_stays_open() {
    let (peers, peer) = start_server().await;
    let (address, _silence, accepted) = start_forwarder(peer.address).await;
    let peer = PeerAddress { address, ..peer };
    for _ in 0..3 {
        let late = peers.borrow_tokens(&peer, "o".to_owned(), 9, Duration::from_millis(50)).await;
        expect_that!(late.is_err(), eq(true));
        tokio::time::sleep(Duration::from_millis(400)).await;
    }
    let loan = peers.borrow_tokens(&peer, "o".to_owned(), 2, Duration::from_secs(1)).await.unwrap();
    expect_that!((loan.granted, accepted.load(Ordering::Relaxed)), eq((2, 1)));
}
