//! Prints results as tables or as JSON.

use serde_json::Value;

use crate::cli::OutputFormat;

/// Columns of the fleet table in the output of `status`.
const FLEET_COLUMNS: [&str; 6] = ["instance", "region", "zone", "standing", "revision", "load_per_mille"];

/// Fields of the instance in the output of `status`.
const STATUS_FIELDS: [&str; 10] = [
    "instance",
    "phase",
    "revision",
    "config_age_s",
    "config_missing",
    "config_rejected",
    "connectivity",
    "may_accept_changes",
    "in_flight",
    "client_blocks",
];

/// Columns of the tables of backend servers in the output of `status`.
const BACKEND_COLUMNS: [&str; 5] = ["id", "open", "in_flight_from_here", "reported_in_flight", "connections"];

/// Figures of the pressure on a service, which instances on the platform state.
const PRESSURE_FIGURES: [&str; 5] = ["pressure", "load", "slots", "mean_ms", "refusals_per_s"];

/// Prints a value as JSON, or as one row for each leaf.
pub fn value(value: &Value, output: OutputFormat) {
    match output {
        OutputFormat::Json => println!("{value}"),
        OutputFormat::Table => print!("{}", leaf_rows(value)),
    }
}

/// Prints the status of an instance as JSON, or as its fields and tables of the fleet and its services.
pub fn status(status: &Value, output: OutputFormat) {
    if output == OutputFormat::Json {
        println!("{status}");
        return;
    }
    for field in STATUS_FIELDS {
        println!("{field:<20} {}", format_cell(&status[field]));
    }
    println!("\n{}", table(&FLEET_COLUMNS, status["fleet"].as_array().unwrap_or(&Vec::new())));
    for service in status["services"].as_array().into_iter().flatten() {
        println!("service {}", format_cell(&service["name"]));
        for figure in PRESSURE_FIGURES.iter().filter(|figure| !service[**figure].is_null()) {
            println!("  {figure:<18} {}", format_cell(&service[*figure]));
        }
        for region in service["regions"].as_array().into_iter().flatten() {
            println!(
                "  {} {} per million",
                format_cell(&region["region"]),
                format_cell(&region["split_per_million"])
            );
            println!("{}", table(&BACKEND_COLUMNS, region["backends"].as_array().unwrap_or(&Vec::new())));
        }
    }
}

/// Formats a value as rows of `path value`, one for each leaf.
pub fn leaf_rows(value: &Value) -> String {
    let mut rows = Vec::new();
    collect_leaves(value, String::new(), &mut rows);
    let width = rows.iter().map(|(path, _)| path.len()).max().unwrap_or(0);
    rows.iter().map(|(path, value)| format!("{path:<width$}  {value}\n")).collect()
}

/// Formats objects as a table with one row for each, and columns as wide as their widest cell.
pub fn table(columns: &[&str], rows: &[Value]) -> String {
    let cells: Vec<Vec<String>> =
        rows.iter().map(|row| columns.iter().map(|c| format_cell(&row[*c])).collect()).collect();
    let width = |ix: usize| cells.iter().map(|r| r[ix].len()).chain([columns[ix].len()]).max().unwrap_or(0);
    let widths: Vec<usize> = (0..columns.len()).map(width).collect();
    let format_line = |texts: &mut dyn Iterator<Item = &str>| {
        let padded: Vec<String> = texts.zip(&widths).map(|(t, w)| format!("{t:<w$}")).collect();
        format!("{}\n", padded.join("  ").trim_end())
    };
    let mut text = format_line(&mut columns.iter().copied());
    for row in &cells {
        text.push_str(&format_line(&mut row.iter().map(String::as_str)));
    }
    text
}

fn collect_leaves(value: &Value, path: String, rows: &mut Vec<(String, String)>) {
    let child_path = |name: &str| {
        if path.is_empty() { name.to_owned() } else { format!("{path}/{name}") }
    };
    match value {
        Value::Object(map) if !map.is_empty() => {
            for (name, value) in map {
                collect_leaves(value, child_path(name), rows);
            }
        }
        Value::Array(list) if list.iter().any(|v| v.is_object() || v.is_array()) => {
            for (ix, value) in list.iter().enumerate() {
                collect_leaves(value, child_path(&ix.to_string()), rows);
            }
        }
        _ => rows.push((path, format_cell(value))),
    }
}

fn format_cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}
