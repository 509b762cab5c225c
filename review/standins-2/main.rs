//! Cases of the review that are shown by a script. Each starts the project's program as processes of their own
//! and judges what clients, upstreams and the platform see. Exit status: 0 if the rule held, 1 if it was broken,
//! 2 if the case could not run.

mod deployment;
mod homes_in_a_restart;
mod http;
mod json;
mod pipelined_behind_refusal;
mod platform;
mod stop_beside_pipelining;
mod stop_beside_slow_reader;
mod upload_to_slow_upstream;

use deployment::Record;

/// Ends the case because it could not run. Processes that it started end with their handles, or here.
pub fn could_not_run(reason: &str) -> ! {
    println!("the case could not run: {reason}");
    std::panic::panic_any(CouldNotRun)
}

struct CouldNotRun;

fn main() {
    let mut args = std::env::args().skip(1);
    let (name, folder) = (args.next().unwrap_or_default(), args.next().unwrap_or_default());
    let with_trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let run: fn(&Record, bool) -> bool = match name.as_str() {
        "stop-beside-slow-reader" => stop_beside_slow_reader::run,
        "pipelined-behind-refusal" => pipelined_behind_refusal::run,
        "upload-to-slow-upstream" => upload_to_slow_upstream::run,
        "homes-in-a-restart" => homes_in_a_restart::run,
        "stop-beside-pipelining" => stop_beside_pipelining::run,
        _ => {
            println!("unknown case `{name}`");
            std::process::exit(2);
        }
    };
    let record = Record::create(&folder);
    record.line(&format!("case {name}, {} the disruption", if with_trouble { "with" } else { "without" }));
    // Unwinding ends the processes of the case whatever goes wrong.
    let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| run(&record, with_trouble)));
    std::process::exit(match result {
        Ok(true) => {
            record.line("the rule held");
            0
        }
        Ok(false) => {
            record.line("the rule was BROKEN");
            1
        }
        Err(_) => {
            record.line("the case could not run");
            2
        }
    });
}
