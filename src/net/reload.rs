//! Settings that are read again: all of them or none, while streams and connections stay.

use super::{Gateway, STORE_PERIOD};
use crate::process::config::Config;
use crate::settings::{positions, Told};

impl Gateway {
    /// Takes over what a running gateway can from the configuration as it is now: the settings, discovery's
    /// address and the limits, all of it or nothing. Streams and connections stay.
    pub(super) fn reload(&mut self) {
        let taken = Config::from_files(&self.files).and_then(|config| match self.agreement {
            Some(_) => self.reload_agreed(config, false),
            None => self.take_config(config),
        });
        match taken {
            Ok(()) => self.core.metrics.reconfig_ok += 1,
            Err(why) => {
                self.core.metrics.reconfig_failed += 1;
                tracing::warn!("the new configuration is not taken, the old one stays: {why}");
            }
        }
    }

    /// Hands the core what this round has brought so far, and carries out what comes back.
    pub(super) fn settle(&mut self) {
        let mut commands = Vec::new();
        self.core.advance(self.now, &mut self.inputs, &mut commands);
        commands.into_iter().for_each(|command| self.carry_out(command));
    }

    pub(super) fn take_config(&mut self, config: Config) -> Result<(), String> {
        config.may_follow(&self.text)?;
        let moved_zones = self.told.zones != config.told.zones;
        self.adopt(config.told)?;
        self.limits = (config.sockets, config.memory);
        self.share_out();
        tracing::info!(discovery = %config.discovery, "configuration read again");
        if let Some(logs) = &self.logs {
            logs.change(&config.operator.log);
        }
        if let (Some(at), Some(door)) = (&mut self.door, config.operator.door) {
            at.set_ticket_keys(door.keys);
        }
        self.text = config.text;
        self.move_discovery(config.discovery, moved_zones);
        Ok(())
    }

    /// Whether settings may take the place of those in force as far as the door is concerned.
    pub(super) fn fits_door(&self, told: &Told) -> Result<(), String> {
        if self.door.is_some()
            && (self.told.class_names() != told.class_names() || self.told.plans != told.plans)
        {
            return Err("field `settings`: with a door, classes and plans change only with a restart".into());
        }
        Ok(())
    }

    /// Goes on under other settings, all of them or none; `number` is how many gateways there are and which this
    /// one is, where that is not for the settings to say.
    pub(super) fn adopt_under(&mut self, mut told: Told, number: Option<(u32, u32)>) -> Result<(), String> {
        if self.account.is_some() && told.module.meter_period <= 0.0 {
            told.module.meter_period = STORE_PERIOD;
        }
        let (before, after) = (self.told.class_names(), told.class_names());
        let (classes, plans) = (positions(&before, &after), positions(&self.told.plans, &told.plans));
        self.fits_door(&told)?;
        // Danger: what this round has brought so far is numbered by the settings that it came under.
        self.settle();
        let mut module = told.module.clone();
        (module.gateways, module.ordinal) = number.unwrap_or((module.gateways, module.ordinal));
        let (period, gateways) = (module.meter_period, module.gateways);
        let retuned = self.core.retune(module, &classes, &plans);
        retuned.map_err(|e| format!("field `settings`: {e}"))?;
        self.core.metrics.set_classes(after.iter().map(String::as_str));
        if let Some(account) = &mut self.account {
            account.retune(period, gateways, self.now);
        }
        self.told = told;
        Ok(())
    }
}
