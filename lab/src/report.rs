//! What a run says: a table on the terminal, `result.json`, and a page with plots that stands alone.

use crate::load::PLANS;
use crate::run::{Outcome, Verdict};
use crate::scenario::Scenario;
use plotters::prelude::*;
use std::fmt::Write;
use std::path::Path;

/// A table by plan and class, and what was expected.
#[must_use]
pub fn table(outcome: &Outcome) -> String {
    let mut text = String::new();
    let columns = ["offered", "served", "in_aim", "refused", "failed", "in_quota_share", "p50_ms", "p99_ms"];
    let _ = write!(text, "{:<22}", "");
    for column in columns {
        let _ = write!(text, "{column:>15}");
    }
    text.push('\n');
    let mut rows: Vec<&str> = Vec::new();
    for name in outcome.figures.keys() {
        if let Some(row) = name.strip_suffix(".offered") {
            rows.push(row);
        }
    }
    for row in rows {
        let _ = write!(text, "{row:<22}");
        for column in columns {
            let value = outcome.figures.get(&format!("{row}.{column}")).copied().unwrap_or(f64::NAN);
            let digits = if column.ends_with("share") { 3 } else { usize::from(column.ends_with("ms")) };
            let _ = write!(text, "{value:>15.digits$}");
        }
        text.push('\n');
    }
    let figure = |name: &str| outcome.figures.get(name).copied().unwrap_or(f64::NAN);
    let _ = writeln!(
        text,
        "worst plan to best {:.3} · CPU {:.0} us a stream · memory at most {:.1} MiB, grown by {:.2} MiB",
        figure("worst_to_best_plan"),
        figure("gateways.cpu_us_per_stream"),
        figure("gateways.rss_most_kb") / 1024.0,
        figure("gateways.rss_growth_kb") / 1024.0,
    );
    let _ = writeln!(
        text,
        "came back when told {} · met within 500 ms {:.4} · greatest miss {:.0} ms · most in 100 ms {:.2} of what can pass",
        figure("returns.count"),
        figure("returns.met_share"),
        figure("returns.greatest_miss_ms"),
        figure("returns.peak_to_capacity"),
    );
    let rules: Vec<String> = (outcome.figures.iter())
        .filter_map(|(name, value)| Some(format!("{} {value}", name.strip_prefix("rules.")?)))
        .collect();
    let _ = writeln!(text, "by the boxes' records: {}", rules.join(" · "));
    for Verdict { what, value, least, most, held } in &outcome.expect {
        let verdict = if *held { "holds" } else { "DOES NOT HOLD" };
        let bound = match (least.is_finite(), most.is_finite()) {
            (true, true) => format!("from {least} to {most}"),
            (true, false) => format!("at least {least}"),
            _ => format!("at most {most}"),
        };
        let _ = writeln!(text, "{verdict}: {what} is {value:.4}, {bound}");
    }
    text
}

type Drawn<T> = Result<T, Box<dyn std::error::Error>>;

/// Lines over seconds as an SVG picture.
fn plot(title: &str, unit: &str, lines: &[(String, Vec<f64>)]) -> Drawn<String> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (720, 260)).into_drawing_area();
        area.fill(&WHITE)?;
        let longest = lines.iter().map(|(_, line)| line.len()).max().unwrap_or(1).max(2);
        let values = lines.iter().flat_map(|(_, line)| line).copied().filter(|value| value.is_finite());
        let most = values.fold(0.0, f64::max).max(1e-9) * 1.05;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..(longest - 1) as f64, 0.0..most)?;
        chart.configure_mesh().x_desc("seconds").y_desc(unit).light_line_style(WHITE).draw()?;
        for (n, (name, line)) in lines.iter().enumerate() {
            let color = Palette99::pick(n).to_rgba();
            let points: Vec<(f64, f64)> = (line.iter().enumerate())
                .filter(|(_, value)| value.is_finite())
                .map(|(at, value)| (at as f64, *value))
                .collect();
            chart
                .draw_series(LineSeries::new(points, &color))?
                .label(name.clone())
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 14, y)], color));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.2))
            .draw()?;
        area.present()?;
    }
    Ok(svg)
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// The page of a run: the table and four plots.
///
/// # Errors
/// When a plot cannot be drawn.
pub fn page(scenario: &Scenario, seed: u64, outcome: &Outcome) -> Drawn<String> {
    let column = |rows: &[[f64; 3]], n: usize| rows.iter().map(|row| row[n]).collect::<Vec<f64>>();
    let service: Vec<_> =
        PLANS.iter().enumerate().map(|(n, plan)| (plan.0.to_string(), column(&outcome.service, n))).collect();
    let tries: Vec<_> = ["served", "refused", "failed"]
        .iter()
        .enumerate()
        .map(|(n, name)| (name.to_string(), outcome.by_second.iter().map(|row| f64::from(row[n])).collect()))
        .collect();
    let times: Vec<_> = ["median", "99 in 100"]
        .iter()
        .enumerate()
        .map(|(n, name)| (name.to_string(), outcome.latency.iter().map(|row| row[n]).collect()))
        .collect();
    let memory: Vec<_> = (outcome.memory.iter().enumerate())
        .map(|(n, rss)| (format!("gateway {n}"), rss.iter().map(|kb| *kb as f64 / 1024.0).collect()))
        .collect();
    let mut page = format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{name}</title>\
         <style>body{{font-family:sans-serif;max-width:60em;margin:2em auto}}pre{{overflow-x:auto}}</style>\
         <h1>{name}</h1><p>Seed {seed}, {} s, {} gateways, {} boxes that can do {:.0} requests a second.</p><pre>{}</pre>",
        scenario.seconds,
        scenario.gateways,
        scenario.boxes.count,
        scenario.capacity(),
        escape(&table(outcome)),
        name = escape(&scenario.name),
    );
    page += &plot("Service: share of what each plan asked for that was served", "share", &service)?;
    page += &plot("Time from the moment planned to the answer", "ms", &times)?;
    page += &plot("Answers", "a second", &tries)?;
    page += &plot("Resident memory", "MiB", &memory)?;
    page += "</html>\n";
    Ok(page)
}

/// Writes `result.json` and `report.html`.
///
/// # Errors
/// When a file cannot be written or a plot drawn.
pub fn write(folder: &Path, scenario: &Scenario, seed: u64, outcome: &Outcome) -> Drawn<()> {
    std::fs::create_dir_all(folder)?;
    std::fs::write(folder.join("result.json"), serde_json::to_string_pretty(&outcome.json)? + "\n")?;
    std::fs::write(folder.join("report.html"), page(scenario, seed, outcome)?)?;
    Ok(())
}
