//! The bench's site file, of which a copy with other days is made.

use super::day::Day;
use serde::Serialize;
use std::collections::BTreeSet;
use thiserror::Error;

/// The line with which a day begins.
const DAY_HEADING: &str = "[[day]]";

/// Why a site file can't be used.
#[derive(Debug, Error)]
pub enum SiteError {
    /// It is not TOML.
    #[error("not a site file: {0}")]
    Malformed(#[from] toml::de::Error),
    /// Something that a site file has is not there.
    #[error("the site file has no `{0}`")]
    Missing(&'static str),
    /// The days can't be written.
    #[error("the days can't be written: {0}")]
    Unwritable(#[from] toml::ser::Error),
}

/// What drawn days need of a site.
#[derive(Debug, Clone)]
pub struct Site {
    /// Everything before the site's own days.
    before_days: String,
    /// The site's name.
    pub name: String,
    /// Length of a day in seconds.
    pub length_s: f64,
    /// Name of the first service: the busiest.
    pub service: String,
    /// Name of the first kind of request.
    pub class: String,
    /// Zone of the first clients, where one is named.
    pub zone: Option<String>,
    /// Kinds of trouble that the site itself lists.
    pub kinds: BTreeSet<String>,
    /// Clients of a day.
    pub traffic: toml::Value,
}

/// The days of a site file.
#[derive(Serialize)]
struct Days<'a> {
    day: &'a [Day],
}

impl Site {
    /// Reads the text of a site file.
    pub fn parse(text: &str) -> Result<Site, SiteError> {
        let table: toml::Table = text.parse()?;
        let (before_days, _) = text.split_once(DAY_HEADING).ok_or(SiteError::Missing("day"))?;
        let days = table.get("day").and_then(toml::Value::as_array).ok_or(SiteError::Missing("day"))?;
        // A day of trouble has the traffic that counts; where there is none, the last day.
        let is_trouble =
            |day: &&toml::Value| day.get("slot").and_then(toml::Value::as_str) == Some("trouble");
        let day = days.iter().find(is_trouble).or(days.last()).ok_or(SiteError::Missing("day"))?;
        let traffic = day.get("traffic").cloned().ok_or(SiteError::Missing("traffic"))?;
        let first_clients = traffic.as_array().and_then(|clients| clients.first());
        Ok(Site {
            before_days: before_days.to_owned(),
            name: text_of(&table, "name")?,
            length_s: table
                .get("length_s")
                .and_then(toml::Value::as_float)
                .ok_or(SiteError::Missing("length_s"))?,
            service: first_name(&table, "services")?,
            class: first_name(&table, "classes")?,
            zone: first_clients
                .and_then(|clients| clients.get("zone"))
                .and_then(toml::Value::as_str)
                .map(str::to_owned),
            kinds: kinds(&table),
            traffic,
        })
    }

    /// The site file under another name with these days instead of its own.
    pub fn with_days(&self, name: &str, days: &[Day]) -> Result<String, SiteError> {
        let former = format!("name = \"{}\"", self.name);
        let head = self.before_days.replacen(&former, &format!("name = \"{name}\""), 1);
        Ok(format!("{head}{}", toml::to_string(&Days { day: days })?))
    }
}

fn text_of(table: &toml::Table, key: &'static str) -> Result<String, SiteError> {
    table.get(key).and_then(toml::Value::as_str).map(str::to_owned).ok_or(SiteError::Missing(key))
}

fn first_name(table: &toml::Table, list: &'static str) -> Result<String, SiteError> {
    let first = table.get(list).and_then(toml::Value::as_array).and_then(|items| items.first());
    let name = first.and_then(|item| item.get("name")).and_then(toml::Value::as_str);
    name.map(str::to_owned).ok_or(SiteError::Missing(list))
}

/// Kinds in the site's list of troubles; none where it has no such list.
fn kinds(table: &toml::Table) -> BTreeSet<String> {
    let listed = table.get("troubles").and_then(toml::Value::as_array);
    let kind = |entry: &toml::Value| entry.get("kind").and_then(toml::Value::as_str).map(str::to_owned);
    listed.into_iter().flatten().filter_map(kind).collect()
}
