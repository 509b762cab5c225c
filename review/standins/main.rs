//! Stand-ins and drivers of the review's scripts. Uses the standard library only.

mod chunked;
mod http;
mod json;
mod pipelined;
mod platform;
mod poison;
mod proxy;
mod record;
mod refused;
mod stale_small;
mod store;
mod upstream;

use std::process::ExitCode;

/// Result of a script.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "xd9dnn2ctnfzs989anu6";

/// Builds a manifest with the given routes, services and tenants, and the limits that PROTOCOL.md's example has.
pub fn manifest(routes: &str, services: &[&str], rate_per_s: u32, burst: u32) -> String {
    manifest_of(7, routes, services, rate_per_s, burst)
}

pub fn manifest_of(version: u64, routes: &str, services: &[&str], rate_per_s: u32, burst: u32) -> String {
    let services: Vec<String> = services.iter().map(|name| format!(
        "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_connections\":813,\"protocol\":\"h1\",\"tls\":false,\
         \"warmup_s\":3.0,\"warmup_per_s\":6.0}}")).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{routes}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}},\"tenants\":[{{\"name\":\"huka270\",\
         \"api_keys\":[\"{KEY}\"],\"priority\":1,\"rate_per_s\":{rate_per_s},\"burst\":{burst},\"allowed_regions\":[]}}]}}",
        services.join(",")
    )
}

pub fn route(name: &str, prefix: &str, kind: &str, service: &str, timeout_s: u32) -> String {
    route_with_homes(name, prefix, kind, service, timeout_s, "")
}

pub fn route_with_homes(
    name: &str,
    prefix: &str,
    kind: &str,
    service: &str,
    timeout_s: u32,
    homes: &str,
) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\"kind\":\"{kind}\",\"timeout_s\":{timeout_s},\
         \"target_latency_s\":1.0,\"priority\":1,\"service\":\"{service}\",\"max_attempts\":2,\"auth_exempt\":false,\
         \"session_affinity\":true,\"allowed_regions\":[{homes}]}}"
    )
}

/// Builds the head of a client's request.
pub fn request_head(method: &str, path: &str, id: &str, deadline_ms: u32, framing: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Burdockcroft-Attempt-Id: {id}\r\nX-Burdockcroft-Deadline-Ms: {deadline_ms}\r\n\
         X-Burdockcroft-Key: {KEY}\r\n{framing}\r\n"
    )
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = args.as_slice() else {
        eprintln!("usage: standins CASE FOLDER");
        return ExitCode::from(2);
    };
    let is_troubled = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let record = record::Record::create(&format!("{folder}/record.txt"));
    let run: fn(bool, &record::Record) -> Verdict = match case.as_str() {
        "chunked" => chunked::run,
        "long-body" => |t, r| poison::run(poison::Variant::LongBody, t, r),
        "same-id" => |t, r| poison::run(poison::Variant::SameId, t, r),
        "after-head" => |t, r| poison::run(poison::Variant::AfterHead, t, r),
        "pipelined" => pipelined::run,
        "refused" => refused::run,
        "stale-small" => stale_small::run,
        _ => return ExitCode::from(2),
    };
    let verdict = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| run(is_troubled, &record)));
    platform::kill_all();
    match verdict.unwrap_or(Verdict::CouldNotRun) {
        Verdict::Held => {
            println!("the rule held");
            ExitCode::from(0)
        }
        Verdict::Broken => {
            println!("the rule was broken");
            ExitCode::from(1)
        }
        Verdict::CouldNotRun => ExitCode::from(2),
    }
}
