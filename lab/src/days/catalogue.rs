//! The kinds of trouble, their variants and the strengths they are drawn with.

use super::day::Entry;

/// Where a day file lists a trouble.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Section {
    /// Planned work.
    Plan,
    /// Faults.
    Faults,
}

/// A trouble without its time.
#[derive(Debug, Clone, PartialEq)]
pub struct Trouble {
    /// Where it is listed.
    pub section: Section,
    /// Kind, variant and strength; its time is 0.
    pub entry: Entry,
}

impl Trouble {
    /// Kind and variant, by which tables name it.
    pub fn label(&self) -> String {
        match self.entry.how.as_str() {
            "" => self.entry.kind.clone(),
            how => format!("{} {how}", self.entry.kind),
        }
    }
}

/// Variants of troubles that strike one machine of the core.
const AT_ONE_CORE_MACHINE: [&str; 6] =
    ["", "leader", "leader race hard", "meet drain", "turn meet hard", "reader race drain"];

/// Variants of a cut of the core.
const CORE_CUTS: [&str; 13] = [
    "",
    "all",
    "near",
    "oldest",
    "one_way",
    "seeds",
    "both",
    "lure",
    "leader race hard",
    "meet drain",
    "reset race drain hard",
    "lure near",
    "refuse turn meet",
];

/// Variants of cuts of twenty seconds.
const LONG_CUTS: [&str; 4] = ["all lure", "near race hard", "lure meet", "one_way race"];

/// Variants of invalid configurations.
const BAD_CONFIGURATIONS: [&str; 7] =
    ["cut_short", "unknown_service", "same_place", "no_weight", "no_timeout", "old_version", "same_version"];

/// Variants of workers that fail although their health check is good.
const GREY_WORKERS: [&str; 7] = ["errors", "shed", "busy", "hang", "reset", "mute", "slow"];

/// All troubles. `service` is the deployment's busiest service, `class` a kind of request of it.
pub fn catalogue(service: &str, class: &str) -> Vec<Trouble> {
    let mut troubles = core_machines();
    troubles.extend(disks_and_clocks());
    troubles.extend(edge_machines());
    troubles.extend(configurations());
    troubles.extend(workers(service));
    troubles.extend(clients(class));
    troubles
}

fn fault(entry: Entry) -> Trouble {
    Trouble { section: Section::Faults, entry }
}

fn plan(entry: Entry) -> Trouble {
    Trouble { section: Section::Plan, entry }
}

fn core_machines() -> Vec<Trouble> {
    let entry = |kind: &str, how: &str, for_s: f64| Entry::new(kind).how(how).count(1).lasting(for_s);
    let mut troubles = Vec::new();
    troubles.extend(CORE_CUTS.map(|how| fault(entry("core_cut", how, 5.5))));
    troubles.extend(LONG_CUTS.map(|how| fault(entry("core_cut", how, 20.0))));
    troubles.extend(AT_ONE_CORE_MACHINE.map(|how| fault(entry("node_kill", how, 3.5).on("core"))));
    troubles.extend(AT_ONE_CORE_MACHINE.map(|how| fault(entry("node_freeze", how, 4.0).on("core"))));
    troubles.push(fault(entry("node_kill", "power leader race hard", 3.5).on("core")));
    troubles.push(fault(entry("node_slow", "", 5.0).strength(5.0).on("core")));
    let replaced = ["", "leader", "oldest", "planned", "planned leader", "planned oldest", "seed"];
    troubles.extend(replaced.map(|how| fault(Entry::new("replace_core").how(how).strength(1.5))));
    troubles.extend(["", "oldest"].map(|how| fault(Entry::new("after_ack_wipe").how(how).lasting(2.5))));
    let killed = ["", "kill", "timed", "taken", "taken gone"];
    troubles.extend(killed.map(|how| fault(entry("after_ack_kill", how, 2.5))));
    troubles.extend(["", "power"].map(|how| fault(Entry::new("herd_kill").how(how).lasting(1.0).on("core"))));
    troubles.push(fault(Entry::new("herd_kill").how("taken all").lasting(1.5)));
    troubles.push(fault(Entry::new("reset_conns").share(0.5).strength(0.6).on("core")));
    troubles.push(plan(Entry::new("roll_term").strength(1.0).gap(4.5).on("core")));
    troubles
}

fn disks_and_clocks() -> Vec<Trouble> {
    let mut troubles = Vec::new();
    for how in ["", "leader"] {
        troubles.push(fault(Entry::new("disk_slow").how(how).count(1).strength(30.0).lasting(5.5)));
        troubles.push(fault(Entry::new("disk_stall").how(how).count(1).lasting(3.5)));
        troubles.push(fault(Entry::new("disk_full").how(how).count(1).lasting(4.0)));
    }
    let steps = ["", "leader", "back", "ahead"];
    let step = |how| Entry::new("clock_step").how(how).share(0.3).strength(2400.0).lasting(6.0);
    troubles.extend(steps.map(|how| fault(step(how))));
    troubles
}

fn edge_machines() -> Vec<Trouble> {
    let cuts = ["", "all", "servers", "leader all"];
    let mut troubles: Vec<Trouble> =
        cuts.map(|how| fault(Entry::new("node_cut").how(how).share(0.17).lasting(5.5))).into();
    troubles.extend(["", "power"].map(|how| fault(Entry::new("node_kill").how(how).share(0.2).lasting(3.0))));
    troubles.push(fault(Entry::new("node_freeze").share(0.15).lasting(3.5)));
    troubles.push(fault(Entry::new("node_slow").share(0.15).strength(5.0).lasting(5.0)));
    troubles
        .extend(["", "power"].map(|how| fault(Entry::new("herd_kill").how(how).share(0.55).lasting(2.0))));
    troubles.push(fault(Entry::new("reset_conns").share(0.3).strength(0.5)));
    troubles.push(plan(Entry::new("roll_term").share(0.5).strength(1.0).gap(1.2)));
    troubles.push(plan(Entry::new("roll_term").how("busy").strength(1.0).gap(1.0)));
    troubles.push(plan(Entry::new("roll_term").how("remove").share(0.3).strength(1.0).gap(1.0)));
    troubles.push(plan(Entry::new("hup").share(0.5).gap(0.3)));
    troubles.push(plan(Entry::new("seed_turnover")));
    troubles
}

fn configurations() -> Vec<Trouble> {
    let changes = ["route", "weights", "timeout", "idle"];
    let mut troubles: Vec<Trouble> = changes.map(|how| plan(Entry::new("config_change").how(how))).into();
    troubles.push(plan(Entry::new("config_race").count(3).gap(1.0)));
    troubles.push(plan(Entry::new("config_race").count(8).gap(0.3)));
    troubles.extend(BAD_CONFIGURATIONS.map(|how| plan(Entry::new("bad_config").how(how).count(2).gap(0.8))));
    troubles.push(plan(Entry::new("big_config").count(400)));
    troubles.push(fault(Entry::new("ack_lost").strength(0.7).lasting(8.0)));
    troubles
}

fn workers(service: &str) -> Vec<Trouble> {
    let mut troubles = Vec::new();
    let crash = |how| Entry::new("srv_crash").how(how).service(service).share(0.15).lasting(4.5);
    troubles.extend(["", "dark", "gone"].map(|how| fault(crash(how))));
    let grey = |how| Entry::new("srv_grey").how(how).share(0.15).strength(0.4).lasting(5.0);
    troubles.extend(GREY_WORKERS.map(|how| fault(grey(how))));
    let cut = |how| Entry::new("srv_cut").how(how).share(0.2).strength(0.3).lasting(5.0);
    troubles.extend(["", "one_way", "fronts", "reset"].map(|how| fault(cut(how))));
    let reused = |how| Entry::new("replace_with_reuse").how(how).share(0.15);
    troubles.extend(["", "drain", "dark"].map(|how| fault(reused(how))));
    let garbled = |how| Entry::new("garble").how(how).share(0.5).strength(0.03).lasting(5.0);
    troubles.extend(["", "extra", "unframed", "early", "extra late"].map(|how| fault(garbled(how))));
    let lost = |how| Entry::new("answer_lost").how(how).share(0.5).strength(0.04).lasting(5.0);
    troubles.extend(["", "reset"].map(|how| fault(lost(how))));
    troubles.push(fault(Entry::new("srv_slow").share(0.15).strength(4.0).lasting(5.0)));
    troubles.push(plan(Entry::new("scale_in").share(0.15)));
    troubles.push(plan(Entry::new("scale_in").how("spot").service(service).share(0.15).strength(2.0)));
    troubles.push(plan(Entry::new("scale_out").share(0.3).gap(2.0)));
    troubles.push(plan(Entry::new("release").service(service).share(0.2).strength(1.0).gap(1.0)));
    troubles
}

fn clients(class: &str) -> Vec<Trouble> {
    let mut burst = Entry::new("burst").strength(2.0).lasting(4.0);
    burst.class = Some(class.to_owned());
    vec![
        fault(burst),
        fault(Entry::new("give_up").share(0.2).strength(200.0).lasting(5.0)),
        fault(Entry::new("retry_abuse").share(0.2).strength(2.0).lasting(5.0)),
        plan(Entry::new("model_shift").count(2).lasting(6.0)),
    ]
}
