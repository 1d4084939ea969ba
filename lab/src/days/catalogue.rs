//! The kinds of trouble, their variants and the strengths they are drawn with.

use super::day::Entry;
use super::site::Site;

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
    /// Kind, variant and, where it strikes only a part that the variant doesn't name, that part.
    pub fn label(&self) -> String {
        let entry = &self.entry;
        let machines = entry.on.as_ref().map(|class| format!("on {class}"));
        let request = entry.class.as_ref().map(|_| "of a class".to_owned());
        let zone = entry.zone.as_ref().map(|_| "in a zone".to_owned());
        let named = [Some(entry.kind.clone()), Some(entry.how.clone()), machines, request, zone];
        named.into_iter().flatten().filter(|part| !part.is_empty()).collect::<Vec<_>>().join(" ")
    }
}

/// Variants of troubles that strike one machine of the core: which one, and what goes on as it returns.
const AT_ONE_CORE_MACHINE: [&str; 9] = [
    "",
    "leader",
    "giver",
    "seed",
    "leader race hard",
    "meet drain",
    "turn meet hard",
    "reader race drain",
    "giver meet race",
];

/// Variants of a cut of the core.
const CORE_CUTS: [&str; 18] = [
    "",
    "all",
    "near",
    "oldest",
    "one_way",
    "seeds",
    "both",
    "lure",
    "behind",
    "split",
    "relieve",
    "reader",
    "leader race hard",
    "meet drain",
    "reset race drain hard",
    "lure near",
    "refuse turn meet",
    "relieve all",
];

/// Variants of cuts of twenty seconds.
const LONG_CUTS: [&str; 6] =
    ["all lure", "near race hard", "lure meet", "one_way race", "split lure", "relieve near"];

/// Variants of the replacement of a core machine.
const REPLACEMENTS: [&str; 9] =
    ["", "leader", "oldest", "turn", "reader", "seed", "planned", "planned leader", "planned oldest"];

/// Variants of a machine that loses power as it acknowledges.
const KILLS_AT_ACKNOWLEDGEMENT: [&str; 5] = ["", "kill", "timed", "taken", "taken gone"];

/// Variants of invalid configurations.
const BAD_CONFIGURATIONS: [&str; 9] = [
    "cut_short",
    "unknown_service",
    "same_place",
    "no_weight",
    "no_timeout",
    "old_version",
    "same_version",
    "stale_match",
    "shared_key",
];

/// What a change of the configuration alters.
const CONFIGURATION_CHANGES: [&str; 8] =
    ["route", "weights", "timeout", "idle", "tenant", "quota", "quota down", "topup"];

/// Kind of changes in quick succession, which not every deployment has.
const CONFIGURATION_STORM: &str = "config_storm";

/// Variants of workers that crash.
const WORKER_CRASHES: [&str; 8] = ["", "dark", "gone", "domain", "joined", "rack", "across", "dark across"];

/// Variants of workers that fail although their health check is good.
const GREY_WORKERS: [&str; 11] = [
    "errors",
    "shed",
    "busy",
    "hang",
    "reset",
    "mute",
    "slow",
    "errors one_zone",
    "hang one_zone",
    "mute across",
    "shed all",
];

/// Variants of workers cut off from the control side.
const WORKER_CUTS: [&str; 8] =
    ["", "one_way", "fronts", "reset", "some", "some lossy", "across", "fronts across"];

/// Variants of workers that spoil their answers.
const SPOILT_ANSWERS: [&str; 6] = ["", "extra", "unframed", "early", "rot", "extra early"];

/// All troubles that a deployment may meet.
pub fn catalogue(site: &Site) -> Vec<Trouble> {
    let mut troubles = core_cuts();
    troubles.extend(core_machines());
    troubles.extend(disks_and_clocks());
    troubles.extend(edge_machines());
    troubles.extend(configurations());
    troubles.extend(workers(&site.service));
    troubles.extend(clients(site));
    if site.kinds.contains(CONFIGURATION_STORM) {
        let storms = ["", "idle"];
        let storm = |how| Entry::new(CONFIGURATION_STORM).how(how).lasting(4.0).gap(0.3);
        troubles.extend(storms.map(|how| plan(storm(how))));
    }
    troubles
}

fn fault(entry: Entry) -> Trouble {
    Trouble { section: Section::Faults, entry }
}

fn plan(entry: Entry) -> Trouble {
    Trouble { section: Section::Plan, entry }
}

fn one_core_machine(kind: &str, how: &str, for_s: f64) -> Entry {
    Entry::new(kind).how(how).count(1).lasting(for_s)
}

fn core_cuts() -> Vec<Trouble> {
    let mut troubles = Vec::new();
    troubles.extend(CORE_CUTS.map(|how| fault(one_core_machine("core_cut", how, 5.5))));
    troubles.extend(LONG_CUTS.map(|how| fault(one_core_machine("core_cut", how, 20.0))));
    troubles
}

fn core_machines() -> Vec<Trouble> {
    let mut troubles = Vec::new();
    troubles.extend(AT_ONE_CORE_MACHINE.map(|how| fault(one_core_machine("node_kill", how, 3.5).on("core"))));
    troubles
        .extend(AT_ONE_CORE_MACHINE.map(|how| fault(one_core_machine("node_freeze", how, 4.0).on("core"))));
    let powerless = ["power", "power leader race hard"];
    troubles.extend(powerless.map(|how| fault(one_core_machine("node_kill", how, 3.5).on("core"))));
    let slowed = ["", "leader"];
    troubles
        .extend(slowed.map(|how| fault(one_core_machine("node_slow", how, 5.0).strength(5.0).on("core"))));
    troubles.extend(REPLACEMENTS.map(|how| fault(Entry::new("replace_core").how(how).strength(1.5))));
    troubles.extend(["", "oldest"].map(|how| fault(Entry::new("after_ack_wipe").how(how).lasting(2.5))));
    troubles.extend(KILLS_AT_ACKNOWLEDGEMENT.map(|how| fault(one_core_machine("after_ack_kill", how, 2.5))));
    let herds = ["", "off"];
    troubles.extend(herds.map(|how| fault(Entry::new("herd_kill").how(how).lasting(1.0).on("core"))));
    troubles.extend(["taken", "taken all"].map(|how| fault(Entry::new("herd_kill").how(how).lasting(1.5))));
    troubles.push(fault(Entry::new("reset_conns").share(0.5).strength(0.6).on("core")));
    let stopped = ["", "busy"];
    let stop = |how| Entry::new("roll_term").how(how).strength(1.0).gap(4.5).on("core");
    troubles.extend(stopped.map(|how| plan(stop(how))));
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
    let cuts = ["", "all", "servers", "leader all", "reset", "refuse"];
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
    let removed = ["remove", "remove busy"];
    let remove = |how| Entry::new("roll_term").how(how).share(0.3).strength(1.0).gap(1.0);
    troubles.extend(removed.map(|how| plan(remove(how))));
    troubles.push(plan(Entry::new("hup").share(0.5).gap(0.3)));
    troubles.push(plan(Entry::new("seed_turnover")));
    troubles
}

fn configurations() -> Vec<Trouble> {
    let mut troubles: Vec<Trouble> =
        CONFIGURATION_CHANGES.map(|how| plan(Entry::new("config_change").how(how))).into();
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
    troubles.extend(WORKER_CRASHES.map(|how| fault(crash(how))));
    let grey = |how| Entry::new("srv_grey").how(how).share(0.15).strength(0.4).lasting(5.0);
    troubles.extend(GREY_WORKERS.map(|how| fault(grey(how))));
    let cut = |how| Entry::new("srv_cut").how(how).share(0.2).strength(0.3).lasting(5.0);
    troubles.extend(WORKER_CUTS.map(|how| fault(cut(how))));
    let reused = |how| Entry::new("replace_with_reuse").how(how).share(0.15);
    troubles.extend(["", "drain", "dark"].map(|how| fault(reused(how))));
    let garbled = |how| Entry::new("garble").how(how).share(0.5).strength(0.03).lasting(5.0);
    troubles.extend(SPOILT_ANSWERS.map(|how| fault(garbled(how))));
    let lost = |how| Entry::new("answer_lost").how(how).share(0.5).strength(0.04).lasting(5.0);
    troubles.extend(["", "across"].map(|how| fault(lost(how))));
    let slow = |how| Entry::new("srv_slow").how(how).share(0.15).strength(4.0).lasting(5.0);
    troubles.extend(["", "across"].map(|how| fault(slow(how))));
    troubles.extend(worker_turnover(service));
    troubles
}

fn worker_turnover(service: &str) -> Vec<Trouble> {
    let leave = |how| Entry::new("scale_in").how(how).share(0.15);
    let reclaim = |how| leave(how).service(service).strength(2.5).lasting(5.0);
    vec![
        plan(leave("")),
        plan(leave("spot").service(service).strength(2.0)),
        plan(reclaim("reclaim")),
        plan(reclaim("reclaim dry")),
        plan(Entry::new("scale_out").share(0.3).gap(2.0)),
        plan(Entry::new("release").service(service).share(0.2).strength(1.0).gap(1.0)),
        plan(Entry::new("release").how("across").share(0.2).strength(1.0).gap(1.0)),
    ]
}

fn clients(site: &Site) -> Vec<Trouble> {
    let burst = Entry::new("burst").strength(2.0).lasting(4.0);
    let of_a_class = Entry { class: Some(site.class.clone()), ..burst.clone() };
    let in_a_zone = Entry { zone: site.zone.clone(), ..burst.clone() };
    let mut troubles = vec![
        fault(burst),
        fault(of_a_class),
        fault(Entry::new("give_up").share(0.2).strength(200.0).lasting(5.0)),
        fault(Entry::new("retry_abuse").share(0.2).strength(2.0).lasting(5.0)),
        plan(Entry::new("model_shift").count(2).lasting(6.0)),
    ];
    if in_a_zone.zone.is_some() {
        troubles.push(fault(in_a_zone));
    }
    troubles
}
