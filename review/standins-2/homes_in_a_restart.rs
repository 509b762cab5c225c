//! HOME: where the directory sends callers of routes with homes while a machine is restarted.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::deployment::{
    HOST, Instance, Record, SIGTERM, get, homed_route, publish_manifest, register_upstream,
};
use crate::http::{self, Response};
use crate::platform::Store;

const CLIENTS: usize = 10;
const LENGTH: Duration = Duration::from_secs(30);
const PAUSE: Duration = Duration::from_millis(100);

pub fn run(record: &Record, with_trouble: bool) -> bool {
    let store = Store::start();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    register_upstream(&store, "i-7f3a91c2", "ledger", "almaty-a", listener.local_addr().unwrap());
    http::serve(listener, move |req, _| {
        let headers = vec![
            ("X-Burdockcroft-Attempt-Id".to_owned(), req.header("x-burdockcroft-attempt-id").to_owned()),
            ("X-Burdockcroft-Response-Seal".to_owned(), "3e1b.07".to_owned()),
        ];
        Response { status: 200, headers, body: vec![b'x'; 400] }
    });
    let routes = [homed_route("booking", "/booking/", "non_idempotent", "ledger", 3.0, "almaty")];
    publish_manifest(&store, 3, &routes, &["ledger"], &[]);
    let start = |nth: usize, region: &str, zone: &str| {
        Instance::start(&format!("edge-{zone}-{nth}"), region, zone, store.address, "")
    };
    let mut instances = vec![
        start(1, "almaty", "almaty-a"),
        start(1, "almaty", "almaty-b"),
        start(1, "astana", "astana-a"),
        start(1, "astana", "astana-b"),
    ];
    instances.iter().for_each(Instance::wait_until_ready);
    // No impairment and no evacuation in the last 15 s.
    std::thread::sleep(Duration::from_secs(15));

    let directories: Vec<SocketAddr> = instances.iter().map(|i| i.directory).collect();
    let names: Vec<(SocketAddr, String)> = instances.iter().map(|i| (i.front, i.name.clone())).collect();
    let sent: Arc<Mutex<Vec<(SocketAddr, u16)>>> = Arc::default();
    let started_at = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|nth| {
            let (directories, sent) = (directories.clone(), Arc::clone(&sent));
            std::thread::spawn(move || run_client(nth, &directories, &sent, started_at))
        })
        .collect();
    std::thread::sleep(Duration::from_secs(3));
    // The machines of the region are stopped and started in turn.
    for instance in instances[..2].iter_mut().filter(|_| with_trouble) {
        record.line(&format!("SIGTERM to {}, which is started again when it has ended", instance.name));
        instance.signal(SIGTERM);
        while !instance.has_ended() {
            std::thread::sleep(Duration::from_millis(50));
        }
        record.line(&format!("{} has ended", instance.name));
        std::thread::sleep(Duration::from_millis(500));
        instance.start_again();
        instance.wait_until_ready();
        record.line(&format!("{} is ready again", instance.name));
        std::thread::sleep(Duration::from_secs(4));
    }
    for client in clients {
        for line in client.join().unwrap() {
            record.line(&line);
        }
    }
    let sent = sent.lock().unwrap();
    let mut abroad = 0;
    for (front, name) in &names {
        let count = sent.iter().filter(|(to, _)| to == front).count();
        record.line(&format!("{count} requests were sent to {name}"));
        abroad += if name.contains("almaty") { 0 } else { count };
    }
    record.line(&format!(
        "{abroad} of {} requests on the route with the home almaty, of clients in almaty, were sent to machines in astana; the rule allows 1 in 20",
        sent.len()
    ));
    abroad * 20 <= sent.len()
}

// Asks the directory as the page says, keeps the answer for its time, and sends requests on new connections.
fn run_client(
    nth: usize,
    directories: &[SocketAddr],
    sent: &Mutex<Vec<(SocketAddr, u16)>>,
    started_at: Instant,
) -> Vec<String> {
    let mut notes = Vec::new();
    let mut addresses: Vec<SocketAddr> = Vec::new();
    let mut valid_until = Instant::now();
    let mut random = 7919 * (nth as u64 + 1);
    let mut count = 0;
    while started_at.elapsed() < LENGTH {
        if Instant::now() >= valid_until {
            // Up to three nodes, nearest first.
            for directory in &directories[..3] {
                let path = format!("/-/resolve?name={HOST}&region=almaty&zone=almaty-a");
                let Some(resp) = get(*directory, &path).filter(|r| r.status == 200) else {
                    continue;
                };
                let body = crate::json::parse(&resp.body);
                let found: Vec<SocketAddr> =
                    body.get("addresses").items().filter_map(|a| a.text().parse().ok()).collect();
                if found != addresses && nth == 0 {
                    let at = started_at.elapsed().as_secs_f64();
                    notes.push(format!(
                        "at {at:.1} s the directory names {}",
                        String::from_utf8_lossy(&resp.body)
                    ));
                }
                addresses = found;
                valid_until = Instant::now() + Duration::from_secs_f64(body.get("ttl_s").number().min(5.0));
                break;
            }
        }
        random = random.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        if !addresses.is_empty() {
            let to = addresses[(random >> 33) as usize % addresses.len()];
            count += 1;
            let status = send(to, &format!("{nth}-{count}"));
            if let Some(status) = status {
                sent.lock().unwrap().push((to, status));
            }
        }
        std::thread::sleep(PAUSE);
    }
    notes
}

fn send(to: SocketAddr, id: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(4))).ok()?;
    let head = format!(
        "POST /booking/{id} HTTP/1.1\r\nHost: {HOST}\r\nX-Burdockcroft-Attempt-Id: {id}\r\n\
         X-Burdockcroft-Deadline-Ms: 3000\r\nContent-Length: 7\r\n\r\nbooking"
    );
    stream.write_all(head.as_bytes()).ok()?;
    Some(http::read_response(&mut BufReader::new(&stream)).ok().flatten().map_or(0, |resp| resp.status))
}
