//! Output for people and for programs.

use serde_json::Value;

use crate::cli::Output;

/// Columns of the fleet in a status.
const FLEET_COLUMNS: [&str; 6] = ["instance", "region", "zone", "standing", "revision", "load_per_mille"];

/// Facts of the instance in a status.
const FACTS: [&str; 7] =
    ["instance", "phase", "revision", "connectivity", "may_accept_changes", "in_flight", "client_blocks"];

/// Columns of backend servers in a status.
const BACKEND_COLUMNS: [&str; 5] = ["id", "open", "in_flight_from_here", "reported_in_flight", "connections"];

/// Prints any value.
pub fn value(value: &Value, output: Output) {
    match output {
        Output::Json => println!("{value}"),
        Output::Table => print!("{}", rows_of(value)),
    }
}

/// Prints a status.
pub fn status(status: &Value, output: Output) {
    if output == Output::Json {
        println!("{status}");
        return;
    }
    for fact in FACTS {
        println!("{fact:<20} {}", cell(&status[fact]));
    }
    println!("\n{}", table(&FLEET_COLUMNS, status["fleet"].as_array().unwrap_or(&Vec::new())));
    for service in status["services"].as_array().into_iter().flatten() {
        println!("service {}", cell(&service["name"]));
        for region in service["regions"].as_array().into_iter().flatten() {
            println!("  {} {} per million", cell(&region["region"]), cell(&region["split_per_million"]));
            println!("{}", table(&BACKEND_COLUMNS, region["backends"].as_array().unwrap_or(&Vec::new())));
        }
    }
}

/// Rows of `path value`, one for each leaf.
pub fn rows_of(value: &Value) -> String {
    let mut rows = Vec::new();
    leaves(value, String::new(), &mut rows);
    let width = rows.iter().map(|(path, _)| path.len()).max().unwrap_or(0);
    rows.iter().map(|(path, value)| format!("{path:<width$}  {value}\n")).collect()
}

/// A table with a row for each element.
pub fn table(columns: &[&str], rows: &[Value]) -> String {
    let cells: Vec<Vec<String>> =
        rows.iter().map(|row| columns.iter().map(|c| cell(&row[*c])).collect()).collect();
    let width = |ix: usize| cells.iter().map(|r| r[ix].len()).chain([columns[ix].len()]).max().unwrap_or(0);
    let widths: Vec<usize> = (0..columns.len()).map(width).collect();
    let line = |texts: &mut dyn Iterator<Item = &str>| {
        let padded: Vec<String> = texts.zip(&widths).map(|(t, w)| format!("{t:<w$}")).collect();
        format!("{}\n", padded.join("  ").trim_end())
    };
    let mut text = line(&mut columns.iter().copied());
    for row in &cells {
        text.push_str(&line(&mut row.iter().map(String::as_str)));
    }
    text
}

fn leaves(value: &Value, path: String, rows: &mut Vec<(String, String)>) {
    let below = |name: &str| {
        if path.is_empty() { name.to_owned() } else { format!("{path}/{name}") }
    };
    match value {
        Value::Object(map) if !map.is_empty() => {
            for (name, value) in map {
                leaves(value, below(name), rows);
            }
        }
        Value::Array(list) if list.iter().any(|v| v.is_object() || v.is_array()) => {
            for (ix, value) in list.iter().enumerate() {
                leaves(value, below(&ix.to_string()), rows);
            }
        }
        _ => rows.push((path, cell(value))),
    }
}

fn cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}
