//! Changes of the configuration: acknowledged once, in force in time, never taken back, there at the end.

use super::context::{seconds, Context};
use super::{IN_FORCE_WITHIN, LIVENESS};
use crate::soak::finding::{Finding, Invariant};
use crate::soak::record::{Change, Observed, Probe, ReadBack, Target, TroubleKind};
use std::collections::HashMap;
use std::time::Duration;

/// Status of a path without a route.
const NO_ROUTE: u16 = 404;

/// A machine may show an older version this long after a newer one.
const ROLLBACK_SLACK: Duration = Duration::from_millis(250);

pub(super) fn check(observed: &Observed, context: &Context<'_>) -> Vec<Finding> {
    let mut findings = races(&observed.changes);
    findings.extend(observed.probes.iter().filter_map(|probe| late(observed, context, probe)));
    findings.extend(regressions(observed));
    findings.extend(observed.reads.iter().filter_map(|read| stale(observed, read)));
    findings.extend(last_read(observed));
    findings
}

fn finding(story: String) -> Finding {
    Finding::new(Invariant::Configuration, story)
}

/// Two changes on top of the same version, both acknowledged.
fn races(changes: &[Change]) -> Vec<Finding> {
    let mut taken: HashMap<u64, &Change> = HashMap::new();
    let mut findings = Vec::new();
    for change in changes.iter().filter(|change| change.acknowledged().is_some()) {
        if let Some(other) = taken.insert(change.base, change) {
            let pair = format!("{} and {}", other.revision, change.revision);
            findings
                .push(finding(format!("changes {pair} on top of {} were both acknowledged", change.base)));
        }
    }
    findings
}

/// A probe that shows that an acknowledged change is not in force in time.
fn late(observed: &Observed, context: &Context<'_>, probe: &Probe) -> Option<Finding> {
    let adding = observed.changes.iter().find(|change| change.added == probe.route)?;
    let removing = removal(observed, probe);
    let in_force =
        |change: &Change| change.acknowledged().is_some_and(|at| at + IN_FORCE_WITHIN < probe.sent);
    let is_calm = || is_calm(context, probe);
    let tell = |what: &str, change: &Change| {
        let acknowledged = change.acknowledged().map_or_else(String::new, seconds);
        let sent = seconds(probe.sent);
        finding(format!(
            "{} {what}: change {} acknowledged {acknowledged}, probe sent {sent}, status {}",
            probe.edge, change.revision, probe.status
        ))
    };
    match removing {
        Some(removing) if in_force(removing) && probe.status == 200 && is_calm() => {
            Some(tell("still serves a removed route", removing))
        }
        None if in_force(adding) && probe.status == NO_ROUTE && is_calm() => {
            Some(tell("does not know an added route", adding))
        }
        _ => None,
    }
}

/// The change sent before a probe's end that removes its route, whatever came of it.
fn removal<'a>(observed: &'a Observed, probe: &Probe) -> Option<&'a Change> {
    let mut sent = observed.changes.iter().filter(|change| change.sent <= probe.answered);
    sent.find(|change| change.removed.as_ref() == Some(&probe.route))
}

/// Whether edge and core were undisturbed from a while before a probe to its end.
fn is_calm(context: &Context<'_>, probe: &Probe) -> bool {
    let from = probe.sent.saturating_sub(LIVENESS + IN_FORCE_WITHIN);
    if context.stalled(from, probe.answered) {
        return false;
    }
    let touches = |target: &Target| match target {
        Target::Machine(name) => *name == probe.edge || name.starts_with("core-"),
        Target::Worker(_) => false,
    };
    let disturbs = |kind: TroubleKind| kind != TroubleKind::HangUp;
    let troubles = &context.observed.troubles;
    !troubles.iter().any(|trouble| {
        touches(&trouble.target)
            && disturbs(trouble.kind)
            && trouble.overlaps(from.saturating_sub(LIVENESS), probe.answered)
    })
}

/// Within one life of a data plane, an added route that was known is unknown though nothing has removed it.
fn regressions(observed: &Observed) -> Vec<Finding> {
    let revision =
        |route: &str| observed.changes.iter().find(|change| change.added == route).map(|c| c.revision);
    let mut newest: HashMap<(&str, u32), (u64, Duration)> = HashMap::new();
    let mut findings = Vec::new();
    let mut probes: Vec<&Probe> = observed.probes.iter().collect();
    probes.sort_by_key(|probe| probe.answered);
    for probe in probes {
        let Some(shown) = revision(&probe.route) else { continue };
        let life = (probe.edge.as_str(), probe.life);
        if probe.status == 200 {
            let seen = newest.entry(life).or_insert((shown, probe.answered));
            if shown > seen.0 {
                *seen = (shown, probe.answered);
            }
        }
        let Some((seen, at)) = newest.get(&life).copied() else { continue };
        let acknowledged = observed.changes.iter().any(|c| c.revision == shown && c.acknowledged().is_some());
        let is_older =
            probe.status == NO_ROUTE && acknowledged && removal(observed, probe).is_none() && shown <= seen;
        if is_older && probe.sent > at + ROLLBACK_SLACK {
            let times =
                format!("version {seen} shown at {}, probe sent {}", seconds(at), seconds(probe.sent));
            findings.push(finding(format!("{} went back before version {shown}: {times}", probe.edge)));
        }
    }
    findings
}

/// A read that answers an older version than one acknowledged well before.
fn stale(observed: &Observed, read: &ReadBack) -> Option<Finding> {
    let known = observed.changes.iter().filter(|change| {
        change.acknowledged().is_some_and(|at| at + IN_FORCE_WITHIN < read.sent)
            && change.revision > read.revision
    });
    let newest = known.max_by_key(|change| change.revision)?;
    let sent = seconds(read.sent);
    Some(finding(format!(
        "a read sent {sent} was answered {}, though {} was acknowledged",
        read.revision, newest.revision
    )))
}

fn last_read(observed: &Observed) -> Vec<Finding> {
    let acknowledged = observed.changes.iter().filter(|change| change.acknowledged().is_some());
    let Some(newest) = acknowledged.max_by_key(|change| change.revision) else { return Vec::new() };
    let Some(read) = &observed.last_read else {
        return vec![finding("the configuration was not read back at the end".to_owned())];
    };
    if read.revision < newest.revision {
        let told = format!("{} read back at the end, {} was acknowledged", read.revision, newest.revision);
        return vec![finding(told)];
    }
    let lacks = read.revision == newest.revision && !read.routes.contains(&newest.added);
    let lacking = lacks.then(|| finding(format!("{} read back without the route it added", read.revision)));
    lacking.into_iter().collect()
}
