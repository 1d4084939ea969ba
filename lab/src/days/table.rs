//! What came of the days played, kind by kind, from the journal's entries.

use super::draw::Form;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use thiserror::Error;

/// Why an entry of the journal can't be counted.
#[derive(Debug, Error)]
pub enum TableError {
    /// It is not an entry.
    #[error("not an entry of the journal: {0}")]
    Malformed(#[from] serde_json::Error),
    /// It holds a day whose name tells no form or trouble.
    #[error("day `{0}` is not a drawn one")]
    Foreign(String),
}

/// An entry of the journal.
#[derive(Debug, Deserialize)]
struct Entry {
    id: String,
    site: String,
    head: String,
    dirty: bool,
    #[serde(default)]
    days_left_out: u32,
    days: Vec<EntryDay>,
}

/// A day of an entry.
#[derive(Debug, Deserialize)]
struct EntryDay {
    name: String,
    score: Option<f64>,
    rules: BTreeMap<String, serde_json::Value>,
    fault: Option<String>,
    gate: bool,
}

/// A drawn day that was played.
#[derive(Debug, Clone, PartialEq)]
pub struct Played {
    /// Entry of the journal.
    pub entry: String,
    /// The deployment.
    pub site: String,
    /// The day's name.
    pub name: String,
    /// Kind and variant.
    pub trouble: String,
    /// Form of the day.
    pub form: Form,
    /// Its score, if it has one.
    pub score: Option<f64>,
    /// Names of the rules broken.
    pub rules: Vec<String>,
    /// The fault for which the day counts nothing.
    pub fault: Option<String>,
    /// Whether it passed the gate.
    pub gate: bool,
}

impl Played {
    /// Whether a rule was broken or the day counts nothing.
    pub fn failed(&self) -> bool {
        !self.rules.is_empty() || self.fault.is_some()
    }

    fn read(entry: &Entry, day: &EntryDay) -> Result<Played, TableError> {
        let foreign = || TableError::Foreign(day.name.clone());
        let (form, rest) = day.name.split_once(": ").ok_or_else(foreign)?;
        let (trouble, _) = rest.split_once(" #").ok_or_else(foreign)?;
        Ok(Played {
            entry: entry.id.clone(),
            site: entry.site.clone(),
            name: day.name.clone(),
            trouble: trouble.to_owned(),
            form: form.parse().map_err(|_| foreign())?,
            score: day.score,
            rules: day.rules.keys().cloned().collect(),
            fault: day.fault.clone(),
            gate: day.gate,
        })
    }
}

/// Days played, kind by kind.
#[derive(Debug, Default)]
pub struct Table {
    played: Vec<Played>,
    programs: BTreeSet<String>,
    left_out: u32,
}

impl Table {
    /// Adds the text of an entry of the journal.
    pub fn add(&mut self, text: &str) -> Result<(), TableError> {
        let entry: Entry = serde_json::from_str(text)?;
        let played: Result<Vec<Played>, TableError> =
            entry.days.iter().map(|day| Played::read(&entry, day)).collect();
        self.played.extend(played?);
        self.left_out += entry.days_left_out;
        self.programs.insert(format!("{}{}", entry.head, if entry.dirty { " with changes" } else { "" }));
        Ok(())
    }

    /// All days, in the order added.
    pub fn days(&self) -> &[Played] {
        &self.played
    }

    /// Troubles of the catalogue that no day was drawn for.
    pub fn missing<'a>(&self, labels: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
        let seen: BTreeSet<&str> = self.played.iter().map(|day| day.trouble.as_str()).collect();
        labels.into_iter().filter(|label| !seen.contains(label)).collect()
    }

    fn by_trouble(&self) -> BTreeMap<&str, Vec<&Played>> {
        let mut rows: BTreeMap<&str, Vec<&Played>> = BTreeMap::new();
        for day in &self.played {
            rows.entry(&day.trouble).or_default().push(day);
        }
        rows
    }
}

/// A table in Markdown: a row for each kind and variant, then the days that failed or missed the gate.
impl fmt::Display for Table {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let programs = self.programs.iter().cloned().collect::<Vec<_>>().join(", ");
        let failed = self.played.iter().filter(|day| day.failed()).count();
        writeln!(
            formatter,
            "{} days, {failed} with a broken rule or a fault, {} left out; program: {programs}\n",
            self.played.len(),
            self.left_out
        )?;
        writeln!(formatter, "| kind and variant | days | forms | broken rules | faults | below the gate | score, median | least |")?;
        writeln!(formatter, "|---|---|---|---|---|---|---|---|")?;
        for (trouble, days) in self.by_trouble() {
            write_row(formatter, trouble, &days)?;
        }
        write_exceptions(formatter, &self.played)
    }
}

fn write_row(formatter: &mut fmt::Formatter<'_>, trouble: &str, days: &[&Played]) -> fmt::Result {
    let forms = Form::ALL.into_iter().filter(|form| days.iter().any(|day| day.form == *form));
    let forms = forms.map(|form| form.to_string()).collect::<Vec<_>>().join(", ");
    let rules: BTreeSet<&str> = days.iter().flat_map(|day| &day.rules).map(String::as_str).collect();
    let rules =
        if rules.is_empty() { "-".to_owned() } else { rules.into_iter().collect::<Vec<_>>().join(", ") };
    let faults = days.iter().filter(|day| day.fault.is_some()).count();
    let short = days.iter().filter(|day| !day.gate && !day.failed()).count();
    let mut scores: Vec<f64> = days.iter().filter_map(|day| day.score).collect();
    scores.sort_by(f64::total_cmp);
    let least = scores.first().map_or("-".to_owned(), |score| format!("{score:.2}"));
    let median = median(&scores).map_or("-".to_owned(), |score| format!("{score:.2}"));
    writeln!(
        formatter,
        "| {trouble} | {} | {forms} | {rules} | {faults} | {short} | {median} | {least} |",
        days.len()
    )
}

/// The middle of sorted scores, the mean of the middle two where their number is even.
fn median(sorted: &[f64]) -> Option<f64> {
    let upper = sorted.get(sorted.len() / 2)?;
    match sorted.len() % 2 {
        0 => Some((sorted[sorted.len() / 2 - 1] + upper) / 2.0),
        _ => Some(*upper),
    }
}

fn write_exceptions(formatter: &mut fmt::Formatter<'_>, played: &[Played]) -> fmt::Result {
    let exceptions: Vec<&Played> = played.iter().filter(|day| day.failed() || !day.gate).collect();
    if exceptions.is_empty() {
        return Ok(());
    }
    writeln!(formatter, "\n| day | deployment | entry | broken rules | fault |")?;
    writeln!(formatter, "|---|---|---|---|---|")?;
    for day in exceptions {
        let rules = if day.rules.is_empty() { "-".to_owned() } else { day.rules.join(", ") };
        let below = if day.gate { "-" } else { "below the gate" };
        let fault = day.fault.as_deref().unwrap_or(if day.rules.is_empty() { below } else { "-" });
        writeln!(formatter, "| {} | {} | {} | {rules} | {fault} |", day.name, day.site, day.entry)?;
    }
    Ok(())
}
