//! Writes the results as plots and as tables of the capacity page.

use std::path::Path;

use plotters::prelude::*;
use serde_json::Value;

use crate::fit::Series;

const TABLES_BEGIN: &str = "<!-- tables begin -->";
const TABLES_END: &str = "<!-- tables end -->";

/// Writes one plot for each series.
pub fn write_plots(directory: &Path, series: &[Series]) {
    for series in series {
        let name = series.name.replace([' ', ','], "-").replace("--", "-");
        draw_plot(&directory.join(format!("{name}.svg")), series).expect("the plot is drawn");
    }
}

fn draw_plot(path: &Path, series: &Series) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, (560, 320)).into_drawing_area();
    root.fill(&WHITE)?;
    let right = series.points.iter().map(|p| p.0).fold(0.0, f64::max) * 1.05;
    let top = series.points.iter().map(|p| p.1).fold(0.0, f64::max) * 1.15;
    let mut chart = ChartBuilder::on(&root)
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .caption(series.name, ("sans-serif", 16))
        .build_cartesian_2d(0.0..right, 0.0..top.max(1e-9))?;
    chart.configure_mesh().x_desc(format!("{}s", series.per)).y_desc(series.unit).draw()?;
    chart.draw_series(series.points.iter().map(|p| Circle::new(*p, 4, BLUE.filled())))?;
    let line = series.fit_line();
    let ends = [0.0, right].map(|x| (x, line.base + line.slope * x));
    chart.draw_series(LineSeries::new(ends, &RED))?;
    root.present()?;
    Ok(())
}

/// Replaces the tables between the marks of the page.
pub fn write_tables(page: &Path, results: &Value) {
    let old = std::fs::read_to_string(page)
        .unwrap_or_else(|_| format!("# Capacity\n\n{TABLES_BEGIN}\n{TABLES_END}\n"));
    let (head, rest) = old.split_once(TABLES_BEGIN).expect("the page has its marks");
    let (_, tail) = rest.split_once(TABLES_END).expect("the page has its marks");
    let new = format!("{head}{TABLES_BEGIN}\n\n{}\n{TABLES_END}{tail}", render_tables(results));
    std::fs::write(page, new).expect("the page is written");
}

fn render_tables(results: &Value) -> String {
    let mut text = String::from(
        "### Measured slopes\n\n| cost | points | base | for each | largest residual |\n|---|---|---|---|---|\n",
    );
    for s in array_items(&results["series"]) {
        let points: Vec<String> = array_items(&s["points"])
            .iter()
            .map(|p| format!("{}: {}", format_number(&p[0]), format_number(&p[1])))
            .collect();
        text.push_str(&format!(
            "| {} ({}) | {} | {} | {} a {} | {:.0}% |\n",
            text_or_dash(&s["name"]),
            text_or_dash(&s["unit"]),
            points.join("; "),
            format_number(&s["base"]),
            format_number(&s["slope"]),
            text_or_dash(&s["per"]),
            s["residual"].as_f64().unwrap_or(0.0) * 100.0,
        ));
    }
    text.push_str("\n### Roles, worked out from the slopes\n\n| size | role | state | calls/s | KB/s out | % of a core | MiB | mechanism | within budget |\n|---|---|---|---|---|---|---|---|---|\n");
    for r in array_items(&results["roles"]) {
        let cells: Vec<String> = ["size", "role", "state", "calls", "kb", "core", "mib", "mechanism", "fits"]
            .iter()
            .map(|c| format_cell(&r[*c]))
            .collect();
        text.push_str(&format!("| {} |\n", cells.join(" | ")));
    }
    text.push_str("\n### Reach of a change to the last of 580 instances, worked out\n\n| case | seconds | how | within 19 s |\n|---|---|---|---|\n");
    for r in array_items(&results["reach"]) {
        let cells: Vec<String> =
            ["case", "seconds", "how", "fits"].iter().map(|c| format_cell(&r[*c])).collect();
        text.push_str(&format!("| {} |\n", cells.join(" | ")));
    }
    text
}

fn array_items(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

fn text_or_dash(value: &Value) -> &str {
    value.as_str().unwrap_or("-")
}

fn format_cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => format_number(other),
    }
}

fn format_number(value: &Value) -> String {
    let n = value.as_f64().unwrap_or(0.0);
    match n.abs() {
        0.0 => "0".to_owned(),
        a if a >= 100.0 => format!("{n:.0}"),
        a if a >= 1.0 => format!("{n:.2}"),
        a if a >= 0.001 => format!("{n:.4}"),
        _ => format!("{n:.2e}"),
    }
}
