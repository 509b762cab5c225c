//! The scripts of this review: `standins NAME RECORD`. Exits with 1 if the rule was broken, 0 if it held and 2 if
//! the case could not run. With `TROUBLE=0` in the environment the disruption is left out.

mod base;
mod break_before_others;
mod json;
mod late_report;
mod platform;
mod steady_slow_reader;
mod upstream;

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use base::Record;

/// Limit of a run, under the two minutes that a script may take.
const MAX_RUN_TIME: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, path] = &args[..] else {
        eprintln!("usage: standins NAME RECORD");
        return ExitCode::from(2);
    };
    let is_disrupted = std::env::var("TROUBLE").as_deref() != Ok("0");
    let Ok(record) = Record::create(Path::new(path)) else {
        eprintln!("{path} can't be written");
        return ExitCode::from(2);
    };
    let (finished_tx, finished_rx) = std::sync::mpsc::channel();
    let (name, in_run) = (name.clone(), record.clone());
    std::thread::spawn(move || {
        let result = match name.as_str() {
            "late-report" => late_report::run(&in_run, is_disrupted),
            "break-before-others" => break_before_others::run(&in_run, is_disrupted),
            "steady-slow-reader" => steady_slow_reader::run(&in_run, is_disrupted),
            _ => Err(std::io::Error::other("there is no such script")),
        };
        let _ = finished_tx.send(result);
    });
    let verdict = match finished_rx.recv_timeout(MAX_RUN_TIME) {
        Ok(Ok(broken)) => broken,
        Ok(Err(e)) => {
            record.line(&format!("the case could not run: {e}"));
            eprintln!("the case could not run: {e}");
            return ExitCode::from(2);
        }
        Err(_) => {
            record.line("the case did not end in time");
            return ExitCode::from(2);
        }
    };
    let text = match &verdict {
        Some(what) => format!("BROKEN: {what}"),
        None => "held".to_owned(),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(u8::from(verdict.is_some()))
}
