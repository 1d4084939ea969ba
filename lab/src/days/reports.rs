//! Two programs over the same days and seeds: the reports of a bench's runs, paired by file name.

use crate::compare::{compare, Paired};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why reports can't be compared.
#[derive(Debug, Error)]
pub enum ReportError {
    /// A file or folder can't be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file or folder.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// A file is not a report.
    #[error("{path}: {source}")]
    Malformed {
        /// The file.
        path: PathBuf,
        /// Where it stops being one.
        source: serde_json::Error,
    },
    /// No file of one folder has its pair in the other.
    #[error("no report of {first} has its pair in {second}")]
    NoPairs {
        /// The first folder.
        first: PathBuf,
        /// The second.
        second: PathBuf,
    },
}

/// What is read of a report, as `fleetbench run --report` writes it.
#[derive(Debug, Deserialize)]
struct Report {
    /// Worth less prices.
    #[serde(rename = "G")]
    worth: f64,
    served: f64,
    refused: f64,
    failed: f64,
    /// Name, weight and value of each part of the worth.
    parts: Vec<(String, f64, f64)>,
    /// Name, amount and price of each deduction.
    prices: Vec<(String, f64, f64)>,
    /// Rules broken.
    breaks: BTreeMap<String, serde_json::Value>,
    all: Requests,
    classes: Vec<Requests>,
}

/// Requests of one kind.
#[derive(Debug, Deserialize)]
struct Requests {
    name: String,
    n: f64,
    late: f64,
    failed: f64,
}

/// The figures of two programs, paired.
#[derive(Debug)]
pub struct Pairs {
    /// Names of the files that both have.
    pub names: Vec<String>,
    /// Each figure's means, their difference and its interval.
    pub figures: BTreeMap<String, Paired>,
}

impl Report {
    fn read(path: &Path) -> Result<Report, ReportError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| ReportError::Unreadable { path: path.to_owned(), source })?;
        serde_json::from_str(&text).map_err(|source| ReportError::Malformed { path: path.to_owned(), source })
    }

    fn figures(&self) -> BTreeMap<String, f64> {
        let mut figures = BTreeMap::from([
            ("worth less prices".to_owned(), self.worth),
            ("served".to_owned(), self.served),
            ("refused".to_owned(), self.refused),
            ("failed".to_owned(), self.failed),
            ("late".to_owned(), self.all.late / self.all.n.max(1.0)),
            ("prices".to_owned(), self.prices.iter().map(|(_, _, price)| price).sum()),
            ("rules broken".to_owned(), self.breaks.len() as f64),
        ]);
        figures.extend(self.parts.iter().map(|(name, _, value)| (format!("part: {name}"), *value)));
        figures.extend(self.prices.iter().map(|(name, _, price)| (format!("price: {name}"), *price)));
        for class in self.classes.iter().filter(|class| class.n > 0.0) {
            figures.insert(format!("late: {}", class.name), class.late / class.n);
            figures.insert(format!("failed: {}", class.name), class.failed / class.n);
        }
        figures
    }
}

impl Pairs {
    /// Reads the reports of two folders, `*.json` each.
    ///
    /// # Errors
    /// A folder or file can't be read, a file is no report, or no names are alike.
    pub fn read(first: &Path, second: &Path) -> Result<Pairs, ReportError> {
        let ours = report_names(first)?;
        let theirs = report_names(second)?;
        let names: Vec<String> = ours.into_iter().filter(|name| theirs.contains(name)).collect();
        if names.is_empty() {
            return Err(ReportError::NoPairs { first: first.to_owned(), second: second.to_owned() });
        }
        let read_all = |folder: &Path| -> Result<Vec<BTreeMap<String, f64>>, ReportError> {
            names.iter().map(|name| Ok(Report::read(&folder.join(name))?.figures())).collect()
        };
        let figures = compare(&read_all(first)?, &read_all(second)?);
        Ok(Pairs { names, figures })
    }
}

impl fmt::Display for Pairs {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(out, "{} pairs", self.names.len())?;
        writeln!(out, "| figure | first | second | difference | 95% ± |")?;
        writeln!(out, "| --- | --- | --- | --- | --- |")?;
        for (name, paired) in &self.figures {
            let Paired { first, second, difference, half } = paired;
            writeln!(out, "| {name} | {first:.4} | {second:.4} | {difference:+.4} | {half:.4} |")?;
        }
        Ok(())
    }
}

fn report_names(folder: &Path) -> Result<Vec<String>, ReportError> {
    let unreadable = |source| ReportError::Unreadable { path: folder.to_owned(), source };
    let mut names = Vec::new();
    for entry in std::fs::read_dir(folder).map_err(unreadable)? {
        let name = entry.map_err(unreadable)?.file_name().to_string_lossy().into_owned();
        if name.ends_with(".json") {
            names.push(name);
        }
    }
    names.sort();
    Ok(names)
}
