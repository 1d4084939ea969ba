//! The table that the command prints, a row as each fault is done, and the count at its end.

use super::Verdict;
use std::fmt::Write;

/// Beginning of the table.
pub(super) const HEAD: &str = "| planted fault | test | | seconds |\n| --- | --- | --- | --- |";

/// A fault and what came of it.
pub(super) struct Row {
    pub(super) name: String,
    pub(super) test: String,
    /// None where it was not run.
    pub(super) verdict: Option<Verdict>,
    pub(super) seconds: u64,
    /// Whether the verdict is an earlier run's.
    pub(super) earlier: bool,
}

impl Row {
    pub(super) fn line(&self) -> String {
        let verdict = self.verdict.map_or("not run", Verdict::text);
        let earlier = if self.earlier { ", earlier run" } else { "" };
        let seconds = self.verdict.map_or("-".to_owned(), |_| self.seconds.to_string());
        format!("| {} | `{}` | {verdict}{earlier} | {seconds} |", self.name, self.test)
    }
}

/// How many were noticed, and by name which were not.
pub(super) fn summary(rows: &[Row], seconds: u64) -> String {
    let noticed = rows.iter().filter(|row| row.verdict == Some(Verdict::Noticed)).count();
    let earlier = rows.iter().filter(|row| row.earlier).count();
    let mut text = format!("{noticed} of {} noticed", rows.len());
    if earlier > 0 {
        let _ = write!(text, " ({earlier} in an earlier run)");
    }
    let _ = write!(text, ", {seconds} s");
    for row in rows {
        match row.verdict {
            Some(Verdict::Noticed) => {}
            Some(verdict) => {
                let _ = write!(text, "\n- {}: {}", row.name, verdict.text());
            }
            None => {
                let _ = write!(text, "\n- {}: not run", row.name);
            }
        }
    }
    text
}
