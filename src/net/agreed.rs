//! What the loop makes of the agreed versions: the settings in force, the hosts held out, the told number.
//!
//! Looked at once a round, before any event: nothing is decided by a version that has run out.

use super::agreement::Agreement;
use super::Gateway;
use crate::core::state::Listed;
use crate::interface::ListKind;
use crate::process::config::{Config, List};
use crate::settings::{shared_settings, with_shared_settings, Told};
use std::collections::BTreeMap;
use std::sync::Arc;
use switchhill_agreement::hosts::{
    excluded_hosts, CordonRequests, Host, Hosts, Listing, ListingOrder, Stamp,
};
use switchhill_agreement::{Mode, Version};

/// What rules are made of: the version taken, settings beside it in Safe mode, the told number and ordinal.
type Rules = (Option<Version>, Option<Vec<u8>>, (u32, u32));

/// What the loop has taken of the versions, and from what, so that a round in which nothing changed costs little.
#[derive(Default)]
pub(super) struct Taken {
    /// The settings' version acted on.
    pub(super) settings: Option<Version>,
    /// A version that could not be taken here: not tried again.
    refused: Option<Version>,
    /// What the rules in force were made of: the version, a version or offer beside it, the told number.
    rules: Option<Rules>,
    /// The shared settings of this gateway's file when it was last read.
    file: String,
    /// Settings offered here and not agreed yet.
    offered: Option<Vec<u8>>,
    /// What the hosts held out were made of.
    hosts: (Option<Version>, Option<Version>, CordonRequests),
    /// The list in force here, and whether it was taken from the agreed version and no whole one has come since.
    stamp: Option<Stamp>,
    needs_whole: bool,
    /// The list that a snapshot brought: until a version is confirmed, discovery's may not be older.
    known: Option<Stamp>,
    /// The list has changed since it was last told.
    relist: bool,
}

impl Taken {
    /// How many gateways the rules in force count.
    pub(super) fn number(&self) -> u32 {
        self.rules.as_ref().map_or(u32::MAX, |(_, _, (gateways, _))| *gateways)
    }
}

impl Gateway {
    /// Acts on what is agreed as of now, then logs what has changed of it.
    pub(super) fn conform(&mut self) {
        if self.agreement.is_none() {
            return;
        }
        self.conform_settings();
        self.conform_hosts();
        if let Some(agreement) = &mut self.agreement {
            agreement.log_changes();
        }
    }

    /// The told number in force: how many gateways share the quotas, and this one's number.
    pub(super) fn told_number(&self) -> (u32, u32) {
        let configured = (self.told.module.gateways, self.told.module.ordinal);
        self.agreement.as_ref().map_or(configured, |agreement| agreement.told_number(configured))
    }

    fn conform_settings(&mut self) {
        let Some(agreement) = &mut self.agreement else { return };
        let view = agreement.view();
        let acting = view.settings.state.effective_at(agreement.now());
        let taken = &agreement.taken;
        let wanted = acting.active.filter(|version| Some(*version) != taken.settings);
        if let Some(version) = wanted.filter(|version| Some(*version) != taken.refused) {
            if let Some(content) = view.settings.content(Some(version)) {
                self.take_agreed_settings(version, &content.clone());
            }
        }
        let number = self.told_number();
        let Some(agreement) = &mut self.agreement else { return };
        if agreement.taken.settings.is_some() && acting.mode == Mode::Active && acting.pending.is_none() {
            agreement.taken.offered = None;
        }
        // In Safe mode a version that may be active elsewhere, or that was offered here, counts beside the one known.
        let pending = view.settings.content(acting.pending).map(|content| content.to_vec());
        let beside =
            (acting.mode != Mode::Active).then(|| pending.or(agreement.taken.offered.clone())).flatten();
        let rules = Some((agreement.taken.settings, beside, number));
        if rules != agreement.taken.rules {
            let beside = rules.as_ref().and_then(|(_, beside, _)| beside.clone());
            agreement.taken.rules = rules;
            self.use_rules(beside.as_deref(), number);
        }
    }

    /// Takes an agreed version's settings as a reload would, all of it or nothing; the files stay as they are.
    fn take_agreed_settings(&mut self, version: Version, content: &[u8]) {
        let text = with_shared_settings(&self.text, content);
        let same = text.as_ref().is_ok_and(|text| *text == self.text);
        let taken = text.and_then(|text| if same { Ok(()) } else { self.take_settings(text) });
        let Some(agreement) = &mut self.agreement else { return };
        match taken {
            Ok(()) => {
                agreement.taken.settings = Some(version);
                tracing::info!(version = %version, "settings taken from the agreed version");
            }
            Err(why) => {
                agreement.taken.refused = Some(version);
                tracing::warn!(version = %version, "the agreed version is not taken, this gateway stays safe: {why}");
            }
        }
    }

    /// Another text of the configuration, which differs in its settings only.
    fn take_settings(&mut self, text: String) -> Result<(), String> {
        let config = Config::read(&text)?;
        config.may_follow(&self.text)?;
        let moved_zones = self.told.zones != config.told.zones;
        self.adopt(config.told)?;
        self.text = config.text;
        self.move_discovery_if(moved_zones);
        Ok(())
    }

    /// Puts the rules in force: the settings taken, or the stricter of them and `beside`, under the told number.
    fn use_rules(&mut self, beside: Option<&[u8]>, number: (u32, u32)) {
        let Ok(Config { told, .. }) = Config::read(&self.text) else { return };
        let other = beside.and_then(|content| with_shared_settings(&self.text, content).ok());
        let other = other.and_then(|text| Config::read(&text).ok());
        let told = match &other {
            Some(other) => told.stricter(&other.told),
            None => told,
        };
        let strict = other.is_some();
        let done = self.adopt_under(told, Some(number));
        match done {
            Ok(()) => tracing::info!(strict, gateways = number.0, ordinal = number.1, "rules in force"),
            Err(why) => tracing::warn!("rules stay as they were: {why}"),
        }
    }

    fn conform_hosts(&mut self) {
        let Some(agreement) = &mut self.agreement else { return };
        let view = agreement.view();
        let acting = view.hosts.state.effective_at(agreement.now());
        let wishes = agreement.wishes();
        let from = (acting.active, acting.pending, wishes);
        let changed = from != agreement.taken.hosts;
        let active = view.hosts.content(acting.active).cloned();
        if changed && (acting.active.is_some() || acting.pending.is_some() || !from.2.is_empty()) {
            let pending = view.hosts.content(acting.pending);
            let out = excluded_hosts(active.iter().chain(pending).map(Arc::as_ref), &from.2);
            self.core.hold_out(out.into_iter().map(Into::into).collect());
        }
        let Some(agreement) = &mut self.agreement else { return };
        agreement.taken.hosts = from;
        let newer = |agreed: &&Arc<Hosts>| agreement.taken.stamp.is_none_or(|own| agreed.stamp > own);
        if let Some(agreed) = active.as_ref().filter(newer).cloned() {
            self.take_agreed_list(&agreed);
        }
        let Some(agreement) = &mut self.agreement else { return };
        if let Some(stamp) = agreement.taken.stamp.filter(|_| std::mem::take(&mut agreement.taken.relist)) {
            let hosts = self.listing();
            if let Some(agreement) = &self.agreement {
                agreement.list(Listing { stamp, hosts });
            }
        }
    }

    /// The list as discovery told it, in the register's form.
    fn listing(&self) -> BTreeMap<String, Host> {
        let place = |id: &crate::interface::BackendId| self.hosts.get(id).map(|h| (h.address, h.http2));
        let entry = |listed: Listed| {
            let body = serde_json::to_string(&listed).unwrap_or_default();
            (listed.id.clone(), Host { ready: listed.is_ready(), body })
        };
        self.core.list(place).into_iter().map(entry).collect()
    }

    /// The agreed list is newer than this gateway's own: it missed a change, or is cut off from discovery.
    fn take_agreed_list(&mut self, agreed: &Hosts) {
        let read = |(id, host): (&String, &Host)| match serde_json::from_str::<Listed>(&host.body) {
            Ok(listed) => Some(super::handover::member(&listed)),
            Err(why) => {
                tracing::warn!(host = %id, "entry of the agreed list left out: {why}");
                None
            }
        };
        let members: Vec<_> = agreed.hosts.iter().filter_map(read).collect();
        tracing::info!(
            hosts = members.len(),
            revision = agreed.stamp.1,
            "list taken from the agreed version"
        );
        let list = List { revision: agreed.stamp.1, complete: true, members };
        self.take_list(list, ListKind::Full);
        self.listed = true;
        // What discovery tells next is by its own count: the whole list is asked for before it is news again.
        self.discovery.whole_next = true;
        if let Some(agreement) = &mut self.agreement {
            agreement.taken.stamp = Some(agreed.stamp);
            agreement.taken.needs_whole = true;
        }
    }

    /// A list of this revision is known from before the start.
    pub(super) fn knows_list(&mut self, revision: Option<u64>) {
        if let (Some(agreement), Some(revision)) = (&mut self.agreement, revision) {
            agreement.taken.known = Some((0, revision));
        }
    }

    /// Whether a list of discovery's may be taken; marks it to be told to the others.
    pub(super) fn may_take_list(&mut self, list: &List) -> bool {
        let Some(agreement) = &mut self.agreement else { return true };
        let (now, agreed) = (agreement.now(), agreement.agreed_stamp().or(agreement.taken.known));
        match agreement.stamper.classify(now, list.revision, agreed) {
            ListingOrder::Current(stamp) => {
                let taken = &mut agreement.taken;
                if list.complete || !taken.needs_whole {
                    taken.relist |= taken.stamp != Some(stamp) || list.complete;
                    (taken.stamp, taken.needs_whole) = (Some(stamp), false);
                }
                true
            }
            ListingOrder::Stale => {
                let newest = agreed.map_or(0, |stamp| stamp.1);
                tracing::warn!(
                    revision = list.revision,
                    newest,
                    "discovery's list is older than the agreed one: not taken"
                );
                false
            }
        }
    }

    /// An operator leaves a host out, or puts it back, at every gateway. `None` where there is no agreement.
    pub(super) fn wish(&mut self, host: &str, out: bool) -> Option<bool> {
        let agreement = self.agreement.as_ref()?;
        Some((self.core.knows(host) || self.core.is_called_out(host)) && agreement.wish(host, out))
    }

    /// Whether the rules are known as well as they will be: agreement has confirmed both registers, or had its time.
    pub(super) fn knows_rules(&self) -> bool {
        let Some(agreement) = &self.agreement else { return true };
        let view = agreement.view();
        let confirmed = |mode: Mode| mode != Mode::Starting;
        agreement.acting(&view).iter().all(|(acting, _)| confirmed(acting.mode))
            || self.now >= self.started + RULES_WITHIN
    }

    /// What a reload of the files comes to under agreement: what is this gateway's own counts at once, what is shared
    /// is offered to all and counts when it is active.
    ///
    /// Danger: a file that is behind the agreed version and was not changed since it was read says nothing new; offered
    /// at a SIGHUP meant for something else, it would turn every gateway back. `asked` offers it all the same.
    pub(super) fn reload_agreed(&mut self, config: Config, asked: bool) -> Result<(), String> {
        config.may_follow(&self.text)?;
        self.fits_door(&config.told)?;
        let shared = shared_settings(&config.text)?;
        let in_force = shared_settings(&self.text)?;
        let own = Config::with_text(
            &self.files,
            with_shared_settings(&config.text, in_force.as_bytes())?,
            "the configuration with the settings in force",
        )?;
        self.take_config(own)?;
        let Some(agreement) = &mut self.agreement else { return Ok(()) };
        agreement.taken.rules = None;
        let changed = std::mem::replace(&mut agreement.taken.file, shared.clone()) != shared;
        if shared != in_force && !changed && !asked {
            tracing::warn!("the file's settings are not the agreed ones and were not changed: not offered; the call `offer` does");
        } else if shared != in_force {
            agreement.taken.offered = Some(shared.clone().into_bytes());
            agreement.offer(shared.into_bytes());
            tracing::info!("settings offered to all gateways; in force once they are agreed");
        }
        Ok(())
    }

    /// Offers the settings of this gateway's file as it is now, changed or not since it was read.
    pub(super) fn offer_own_file(&mut self) -> Result<&'static str, String> {
        if self.agreement.is_none() {
            return Err("agreement is off".into());
        }
        let config = Config::from_files(&self.files)?;
        let same = shared_settings(&config.text)? == shared_settings(&self.text)?;
        self.reload_agreed(config, true)?;
        Ok(if same { "the settings in force are those of the file" } else { "offered to all gateways" })
    }

    /// Settings in a form that other rules take over: see [`Gateway::adopt_under`].
    pub(super) fn adopt(&mut self, told: Told) -> Result<(), String> {
        let number = self.agreement.is_some().then(|| self.told_number());
        self.adopt_under(told, number)
    }
}

/// A gateway is ready without having confirmed the registers after this long; it then keeps to safe mode.
const RULES_WITHIN: crate::interface::Millis = 4000.0;

/// Starts agreement where the operator's file names it.
pub(super) fn begin(config: &Config) -> Result<Option<Agreement>, String> {
    let Some(at) = &config.operator.agreement else { return Ok(None) };
    let first = shared_settings(&config.text)?;
    let module = &config.told.module;
    let own = ((module.gateways, module.ordinal), config.seed);
    let mut agreement = Agreement::start(at, first.clone().into_bytes(), own);
    agreement.taken.file = first;
    Ok(Some(agreement))
}
