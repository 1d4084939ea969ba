//! Draws days: a trouble of the catalogue in a form.
//!
//! A day's name says what was drawn: `form: trouble #number`, and for a pair ` with trouble` behind it. The table of
//! played days reads it back.

use super::catalogue::{Section, Trouble};
use super::day::{Closing, Day, Entry, Goal};
use super::site::Site;
use std::fmt;
use std::str::FromStr;

/// Where a trouble stands in its day.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    /// Once, in the middle.
    Alone,
    /// Twice.
    Twice,
    /// Together with another trouble of the catalogue, drawn.
    Pair,
    /// Within the first second of traffic.
    Start,
    /// Just before a change of the configuration is acknowledged.
    Change,
    /// While a core machine returns.
    Return,
    /// Right before the final fault.
    Final,
}

impl Form {
    /// All forms.
    pub const ALL: [Form; 7] =
        [Form::Alone, Form::Twice, Form::Pair, Form::Start, Form::Change, Form::Return, Form::Final];

    fn name(self) -> &'static str {
        match self {
            Form::Alone => "alone",
            Form::Twice => "twice",
            Form::Pair => "pair",
            Form::Start => "start",
            Form::Change => "change",
            Form::Return => "return",
            Form::Final => "final",
        }
    }
}

impl fmt::Display for Form {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

impl FromStr for Form {
    type Err = String;

    fn from_str(text: &str) -> Result<Form, String> {
        let known = Form::ALL.into_iter().find(|form| form.name() == text);
        known.ok_or_else(|| format!("{text}: no such form"))
    }
}

/// Second at which a trouble in the middle of the day begins.
const MIDDLE: f64 = 10.0;

/// Second at which a trouble that comes twice begins again.
const AGAIN: f64 = 19.0;

/// Most milliseconds between a change and the trouble during it: the time in which changes are acknowledged.
const CHANGE_MS: u64 = 120;

/// Seconds for which a machine is down whose return a trouble meets.
const DOWN_S: f64 = 2.0;

/// Seconds before the day's end at which a trouble before the final fault begins.
const BEFORE_END_S: f64 = 2.5;

/// Final faults: kind, variant.
const CLOSINGS: [(&str, &str); 10] = [
    ("power_off_all", ""),
    ("power_off_all", "timed"),
    ("power_off_all", "taken"),
    ("wipe_after_ack", ""),
    ("wipe_after_ack", "oldest"),
    ("wipe_after_ack", "timed"),
    ("wipe_after_ack", "taken"),
    ("kill_all", ""),
    ("kill_all", "timed"),
    ("kill_all", "taken"),
];

/// Draws `count` days: troubles in turn from a drawn place in the catalogue, forms in turn, the rest by chance.
pub fn draw(site: &Site, troubles: &[Trouble], forms: &[Form], count: usize, seed: u64) -> Vec<Day> {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut cases: Vec<(usize, Form)> =
        (0..troubles.len()).flat_map(|trouble| forms.iter().map(move |form| (trouble, *form))).collect();
    random.shuffle(&mut cases);
    cases
        .into_iter()
        .cycle()
        .take(count)
        .map(|(trouble, form)| day(site, troubles, trouble, form, &mut random))
        .collect()
}

/// Draws one day for each trouble, in the order of the catalogue. The forms take turns, shifted by the seed: as many
/// seeds in a row as there are forms hold every trouble in every form.
pub fn each(site: &Site, troubles: &[Trouble], forms: &[Form], seed: u64) -> Vec<Day> {
    let mut random = fastrand::Rng::with_seed(seed);
    let turns = forms.iter().cycle().skip((seed % forms.len() as u64) as usize);
    let cases = (0..troubles.len()).zip(turns);
    cases.map(|(trouble, form)| day(site, troubles, trouble, *form, &mut random)).collect()
}

fn day(site: &Site, troubles: &[Trouble], index: usize, form: Form, random: &mut fastrand::Rng) -> Day {
    let trouble = &troubles[index];
    let seed = random.u64(1..1 << 40);
    let mut day = Day {
        name: format!("{form}: {} #{}", trouble.label(), seed % 100_000),
        slot: "trouble".to_owned(),
        seed,
        one: 0.9,
        zero: 0.3,
        labels: Vec::new(),
        wall: 4.0,
        light: true,
        goal: Goal { floor: 0.05 },
        closing: closing(form, random),
        plan: Vec::new(),
        faults: Vec::new(),
        traffic: site.traffic.clone(),
    };
    let jitter = random.f64() * 2.0;
    match form {
        Form::Alone => add(&mut day, trouble, MIDDLE + jitter),
        Form::Twice => {
            add(&mut day, trouble, MIDDLE + jitter);
            add(&mut day, trouble, AGAIN + jitter);
        }
        Form::Pair => {
            add(&mut day, trouble, MIDDLE + jitter);
            let other = &troubles[random.usize(..troubles.len())];
            add(&mut day, other, MIDDLE + jitter + random.f64() * 3.0);
            day.name = format!("{} with {}", day.name, other.label());
        }
        Form::Start => add(&mut day, trouble, random.f64()),
        Form::Change => {
            let change = MIDDLE + jitter;
            day.plan.push(Entry::new("config_change").how("route").at(change));
            add(&mut day, trouble, change + random.u64(1..=CHANGE_MS) as f64 / 1_000.0);
        }
        Form::Return => {
            let loss = Entry::new("node_kill").how("power").on("core").count(1).lasting(DOWN_S);
            day.faults.push(loss.at(MIDDLE));
            add(&mut day, trouble, MIDDLE + DOWN_S + random.f64());
        }
        Form::Final => add(&mut day, trouble, site.length_s - BEFORE_END_S + random.f64()),
    }
    day
}

fn add(day: &mut Day, trouble: &Trouble, second: f64) {
    let entry = trouble.entry.clone().at((second * 1_000.0).round() / 1_000.0);
    match trouble.section {
        Section::Plan => day.plan.push(entry),
        Section::Faults => day.faults.push(entry),
    }
}

/// Days of troubles at the end always have a final fault, every third of the others has one.
fn closing(form: Form, random: &mut fastrand::Rng) -> Option<Closing> {
    let wanted = form == Form::Final || random.u8(..3) == 0;
    let (kind, how) = CLOSINGS[random.usize(..CLOSINGS.len())];
    wanted.then(|| Closing { kind: kind.to_owned(), how: how.to_owned(), down_s: 1.0 })
}
