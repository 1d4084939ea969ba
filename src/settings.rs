//! The settings as the operators write them, in JSON, and their one translation to the module's terms.
//!
//! The program reads them from its configuration and the adapter from the simulator's first message;
//! both are the same object, so both come through here.

use crate::interface as face;
use miniserde::json::{Number, Value};

/// A JSON value with the path that leads to it, so that a complaint can name the field at fault.
pub struct Field<'a> {
    value: Option<&'a Value>,
    path: String,
}

impl<'a> Field<'a> {
    /// The root of a document, under the name that complaints begin with.
    #[must_use]
    pub fn root(value: &'a Value, name: &str) -> Self {
        Self { value: Some(value), path: name.into() }
    }

    /// The member `name` of an object; absent where the object has none.
    #[must_use]
    pub fn at(&self, name: &str) -> Field<'a> {
        let value = match self.value {
            Some(Value::Object(object)) => object.get(name).filter(|v| !matches!(v, Value::Null)),
            _ => None,
        };
        let path = if self.path.is_empty() { name.into() } else { format!("{}.{name}", self.path) };
        Field { value, path }
    }

    /// A complaint about this field.
    #[must_use]
    pub fn bad(&self, problem: &str) -> String {
        format!("field `{}`: {problem}", self.path)
    }

    /// Whether the field is there.
    #[must_use]
    pub fn given(&self) -> bool {
        self.value.is_some()
    }

    /// The elements of an array.
    ///
    /// # Errors
    /// When it is absent or no array.
    pub fn list(&self) -> Result<Vec<Field<'a>>, String> {
        match self.value {
            Some(Value::Array(items)) => {
                let item = |(n, value)| Field { value: Some(value), path: format!("{}[{n}]", self.path) };
                Ok(items.iter().enumerate().map(item).collect())
            }
            Some(_) => Err(self.bad("is no list")),
            None => Err(self.bad("missing")),
        }
    }

    /// Fails unless the field is an object.
    ///
    /// # Errors
    /// When it is absent or something else.
    pub fn object(self) -> Result<Field<'a>, String> {
        match self.value {
            Some(Value::Object(_)) => Ok(self),
            Some(_) => Err(self.bad("is no object")),
            None => Err(self.bad("missing")),
        }
    }

    /// A number.
    ///
    /// # Errors
    /// When it is absent or no number.
    pub fn number(&self) -> Result<f64, String> {
        match self.value {
            Some(Value::Number(Number::U64(n))) => Ok(*n as f64),
            Some(Value::Number(Number::I64(n))) => Ok(*n as f64),
            Some(Value::Number(Number::F64(n))) => Ok(*n),
            Some(_) => Err(self.bad("is no number")),
            None => Err(self.bad("missing")),
        }
    }

    /// A number, or what stands for an absent one.
    ///
    /// # Errors
    /// When it is something else.
    pub fn number_or(&self, absent: f64) -> Result<f64, String> {
        if self.given() {
            self.number()
        } else {
            Ok(absent)
        }
    }

    /// A whole number from 0 to 2^32 - 1.
    ///
    /// # Errors
    /// When it is absent or no such number.
    pub fn count(&self) -> Result<u32, String> {
        let number = self.number()?;
        if number.fract() == 0.0 && (0.0..=f64::from(u32::MAX)).contains(&number) {
            Ok(number as u32)
        } else {
            Err(self.bad("is no whole number from 0"))
        }
    }

    /// A whole number, or what stands for an absent one.
    ///
    /// # Errors
    /// When it is something else.
    pub fn count_or(&self, absent: u32) -> Result<u32, String> {
        if self.given() {
            self.count()
        } else {
            Ok(absent)
        }
    }

    /// A text.
    ///
    /// # Errors
    /// When it is absent or no text.
    pub fn text(&self) -> Result<&'a str, String> {
        match self.value {
            Some(Value::String(text)) => Ok(text),
            Some(_) => Err(self.bad("is no text")),
            None => Err(self.bad("missing")),
        }
    }

    /// A text, empty when absent.
    ///
    /// # Errors
    /// When it is something else.
    pub fn text_or_empty(&self) -> Result<&'a str, String> {
        if self.given() {
            self.text()
        } else {
            Ok("")
        }
    }

    /// True or false; false when absent.
    ///
    /// # Errors
    /// When it is something else.
    pub fn flag(&self) -> Result<bool, String> {
        match self.value {
            Some(Value::Bool(flag)) => Ok(*flag),
            Some(_) => Err(self.bad("is neither true nor false")),
            None => Ok(false),
        }
    }

    fn names(&self, member: &str) -> Result<Vec<String>, String> {
        if !self.given() {
            return Ok(Vec::new());
        }
        let name = |item: Field<'_>| {
            if matches!(item.value, Some(Value::String(_))) {
                item.text()
            } else {
                item.at(member).text_or_empty()
            }
            .map(String::from)
        };
        self.list()?.into_iter().map(name).collect()
    }
}

/// For each name of `before`, its position in `after`.
#[must_use]
pub fn positions(before: &[String], after: &[String]) -> Vec<Option<usize>> {
    before.iter().map(|name| after.iter().position(|own| own == name)).collect()
}

/// The first key, by its path, that `before` has and `after` lacks. Elements of a list need what all of the former
/// ones had; `but` names members of the root whose inside may change freely.
#[must_use]
pub fn missing_key(before: &Value, after: &Value, but: &[&str]) -> Option<String> {
    fn look(before: &Value, after: &Value, path: &str, but: &[&str]) -> Option<String> {
        match (before, after) {
            (Value::Object(before), Value::Object(after)) => before.iter().find_map(|(key, value)| {
                let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
                match after.get(key) {
                    None => Some(path),
                    Some(_) if but.contains(&path.as_str()) => None,
                    Some(other) => look(value, other, &path, but),
                }
            }),
            (Value::Array(before), Value::Array(after)) => {
                let first = before.first()?;
                after.iter().enumerate().find_map(|(n, item)| {
                    let gone = look(first, item, &format!("{path}[{n}]"), but)?;
                    let key = gone.rsplit('.').next().unwrap_or_default().to_string();
                    let all = before.iter().all(|b| matches!(b, Value::Object(b) if b.contains_key(&key)));
                    all.then_some(gone)
                })
            }
            _ => None,
        }
    }
    look(before, after, "", but)
}

/// The settings: what the module needs, and what only a wire needs.
#[derive(Debug, Clone)]
pub struct Told {
    /// What the module is built from.
    pub module: face::Settings,
    /// The classes by name, with the time that their clients wait in all.
    pub classes: Vec<(String, face::Millis)>,
    /// The plans' names.
    pub plans: Vec<String>,
    /// The zones' names.
    pub zones: Vec<String>,
    /// The names of a load report's values, in order.
    pub report_names: Vec<String>,
    /// An idle connection to a worker is closed by it after this long.
    pub conn_idle: face::Millis,
    /// A connection that is not up by then will not come.
    pub connect_timeout: face::Millis,
    /// Requests that may be open at once.
    pub max_open: usize,
    /// New work may reach a worker for this long after its drain was told.
    pub drain_grace: face::Millis,
}

impl Told {
    /// Translates the settings object and checks every figure.
    ///
    /// # Errors
    /// One line that names the first field at fault.
    pub fn read(from: &Field<'_>) -> Result<Self, String> {
        let (limits, rules) = (from.at("limits").object()?, from.at("rules").object()?);
        let (family, report) = (from.at("familyInfo"), from.at("report"));
        let mut module = face::Settings {
            gateways: from.at("balancers").count()?,
            ordinal: from.at("ordinal").count_or(0)?,
            zone: from.at("az").count()?,
            classes: Vec::new(),
            plans: Vec::new(),
            cold_start: face::ColdStartRules {
                cold_share: rules.at("coldShare").number()?,
                warm_up: rules.at("warmUpMs").number()?,
                overload_multiple: rules.at("fallMultiple").number()?,
                overload_window: rules.at("overloadForMs").number()?,
            },
            limits: face::Limits {
                max_attempts: limits.at("maxAttempts").count_or(0)?,
                may_duplicate: limits.at("mayDuplicate").flag()?,
                may_probe: limits.at("mayProbe").flag()?,
                probe_price: from.at("penalties").at("probe").number_or(0.0)?,
                may_cancel: limits.at("cancel").flag()?,
                max_hold_off: match limits.at("retryAfter").flag()? {
                    true => limits.at("maxRetryAfterMs").number_or(0.0)?,
                    false => 0.0,
                },
                may_count: family.at("mayCount").flag()?,
            },
            report_fields: Vec::new(),
            report_mode: match report.at("how").text_or_empty()? {
                "inline" => face::ReportMode::Answer,
                "on_probe" => face::ReportMode::Probe,
                _ => face::ReportMode::Never,
            },
            meter_period: family.at("meterMs").number_or(0.0)?,
            max_units: family.at("unitsTop").number_or(0.0)?,
            must_subscribe: from.at("discovery").text_or_empty()? == "subscribe",
        };
        let mut classes = Vec::new();
        for class in from.at("requestClasses").list()? {
            module.classes.push(read_class(&class)?);
            classes
                .push((class.at("name").text_or_empty()?.to_string(), class.at("giveUpMs").number_or(0.0)?));
        }
        let plans = from.at("tariffs");
        module.plans = plans.list()?.iter().map(read_plan).collect::<Result<_, _>>()?;
        let report_names = report.at("fields").names("name")?;
        module.report_fields = report_names.iter().map(|name| report_field(name)).collect();
        module.validate().map_err(|e| from.at(&wire_name(&e.field)).bad(e.problem))?;
        Ok(Self {
            module,
            classes,
            plans: plans.names("name")?,
            zones: from.at("zones").names("name")?,
            report_names,
            conn_idle: limits.at("connIdleMs").number_or(30_000.0)?,
            connect_timeout: limits.at("connectTimeoutMs").number_or(250.0)?,
            max_open: limits.at("maxOpen").number_or(20_000.0)? as usize,
            drain_grace: rules.at("drainGraceMs").number_or(250.0)?,
        })
    }
}

impl Told {
    /// The classes' names.
    #[must_use]
    pub fn class_names(&self) -> Vec<String> {
        self.classes.iter().map(|(name, _)| name.clone()).collect()
    }

    /// What a gateway in service needs beyond what the module can work with.
    ///
    /// # Errors
    /// One line that names the first field at fault.
    pub fn serviceable(from: &Field<'_>) -> Result<(), String> {
        let attempts = from.at("limits").at("maxAttempts");
        if attempts.count()? == 0 {
            return Err(attempts.bad("must be above 0"));
        }
        for list in ["requestClasses", "tariffs"] {
            let mut names = Vec::new();
            for item in from.at(list).list()? {
                let name = item.at("name");
                let text = name.text()?;
                if text.is_empty() || names.contains(&text) {
                    return Err(name.bad("is empty or there twice"));
                }
                names.push(text);
            }
        }
        for class in from.at("requestClasses").list()? {
            let give_up = class.at("giveUpMs");
            let ms = give_up.number()?;
            if !(ms.is_finite() && ms > 0.0) {
                return Err(give_up.bad("must be above 0"));
            }
        }
        Ok(())
    }
}

/// Fields of the settings that are a gateway's own; the others are the same at every gateway.
const OWN: [&str; 2] = ["ordinal", "az"];

/// The settings of a configuration that are the same at every gateway: JSON with its keys sorted, so that equal
/// settings are equal bytes.
///
/// # Errors
/// When the configuration is not JSON or has no settings.
pub fn shared_settings(text: &str) -> Result<String, String> {
    let mut config: serde_json::Value =
        serde_json::from_str(text).map_err(|e| format!("configuration: {e}"))?;
    let settings = config.get_mut("settings").and_then(serde_json::Value::as_object_mut);
    let settings = settings.ok_or("field `settings`: missing")?;
    OWN.iter().for_each(|name| drop(settings.remove(*name)));
    settings.sort_keys();
    settings.values_mut().for_each(serde_json::Value::sort_all_objects);
    serde_json::to_string(settings).map_err(|e| e.to_string())
}

/// A configuration with `shared` in the place of what [`shared_settings`] gives of it; what is a gateway's own stays.
///
/// # Errors
/// When either is not JSON, or the configuration has no settings.
pub fn with_shared_settings(text: &str, shared: &[u8]) -> Result<String, String> {
    let mut config: serde_json::Value =
        serde_json::from_str(text).map_err(|e| format!("configuration: {e}"))?;
    let mut shared: serde_json::Map<String, serde_json::Value> =
        serde_json::from_slice(shared).map_err(|e| format!("agreed settings: {e}"))?;
    let settings = config.get_mut("settings").and_then(serde_json::Value::as_object_mut);
    let settings = settings.ok_or("field `settings`: missing")?;
    for name in OWN {
        shared.remove(name);
        if let Some(own) = settings.remove(name) {
            shared.insert(name.into(), own);
        }
    }
    *settings = shared;
    serde_json::to_string(&config).map_err(|e| e.to_string())
}

/// The lower of two limits, where 0 is none.
fn lower(a: f64, b: f64) -> f64 {
    if a > 0.0 && b > 0.0 {
        a.min(b)
    } else {
        a.max(b)
    }
}

/// The stronger of two effects: what may be repeated under one and not under the other may not.
fn stronger(a: face::Effect, b: face::Effect) -> face::Effect {
    use face::{Effect, KeyScope};
    let width =
        |scope: KeyScope| [KeyScope::Cell, KeyScope::Zone, KeyScope::All].iter().position(|s| *s == scope);
    match (a, b) {
        (Effect::Unsafe, _) | (_, Effect::Unsafe) => Effect::Unsafe,
        (Effect::Safe, other) | (other, Effect::Safe) => other,
        (Effect::Keyed { scope: s, window: v }, Effect::Keyed { scope: t, window: w }) => {
            Effect::Keyed { scope: if width(s) <= width(t) { s } else { t }, window: v.min(w) }
        }
    }
}

impl Told {
    /// The stricter of two settings, for a gateway that cannot tell which of them the others act on: classes and
    /// plans that both name (these ones' where they share none), the stronger effect, the lower of every limit.
    /// What is no limit (worth, prices, the shape of reports) stays as here.
    #[must_use]
    pub fn stricter(&self, other: &Told) -> Told {
        let mut told = self.clone();
        let both = |own: &str, theirs: &[String]| theirs.iter().position(|name| name == own);
        let names = (self.class_names(), other.class_names());
        let classes: Vec<(usize, usize)> =
            names.0.iter().enumerate().filter_map(|(n, name)| Some((n, both(name, &names.1)?))).collect();
        if !classes.is_empty() {
            told.classes = classes
                .iter()
                .map(|&(n, m)| {
                    let (name, wait) = &self.classes[n];
                    (name.clone(), lower(*wait, other.classes[m].1))
                })
                .collect();
            told.module.classes = classes
                .iter()
                .map(|&(n, m)| {
                    let (own, theirs) = (&self.module.classes[n], &other.module.classes[m]);
                    face::Class { effect: stronger(own.effect, theirs.effect), ..own.clone() }
                })
                .collect();
        }
        let plans: Vec<(usize, usize)> = self
            .plans
            .iter()
            .enumerate()
            .filter_map(|(n, name)| Some((n, both(name, &other.plans)?)))
            .collect();
        if !plans.is_empty() {
            told.plans = plans.iter().map(|&(n, _)| self.plans[n].clone()).collect();
            told.module.plans = plans
                .iter()
                .map(|&(n, m)| {
                    let (own, theirs) = (&self.module.plans[n], &other.module.plans[m]);
                    face::Plan {
                        price: own.price,
                        rate: lower(own.rate, theirs.rate),
                        burst: lower(own.burst, theirs.burst),
                        max_concurrent: lower(own.max_concurrent, theirs.max_concurrent),
                        overage_value: own.overage_value.min(theirs.overage_value),
                        overage_cost: own.overage_cost.max(theirs.overage_cost),
                        ceiling_rate: lower(own.ceiling_rate, theirs.ceiling_rate),
                        ceiling_depth: lower(own.ceiling_depth, theirs.ceiling_depth),
                    }
                })
                .collect();
        }
        let (limits, theirs) = (&mut told.module.limits, &other.module.limits);
        limits.max_attempts = limits.max_attempts.min(theirs.max_attempts);
        limits.may_duplicate &= theirs.may_duplicate;
        limits.may_probe &= theirs.may_probe;
        let (rules, theirs) = (&mut told.module.cold_start, &other.module.cold_start);
        rules.cold_share = rules.cold_share.min(theirs.cold_share);
        rules.warm_up = rules.warm_up.max(theirs.warm_up);
        rules.overload_multiple = rules.overload_multiple.min(theirs.overload_multiple);
        rules.overload_window = rules.overload_window.max(theirs.overload_window);
        told.module.max_units = lower(told.module.max_units, other.module.max_units);
        told.max_open = told.max_open.min(other.max_open);
        told.drain_grace = told.drain_grace.min(other.drain_grace);
        told
    }
}

fn read_class(class: &Field<'_>) -> Result<face::Class, String> {
    let effect = class.at("effect");
    let scope = match class.at("keyScope").text_or_empty()? {
        "zone" => face::KeyScope::Zone,
        "cell" => face::KeyScope::Cell,
        "all" => face::KeyScope::All,
        "" if effect.text()? != "dedup" => face::KeyScope::All,
        _ => return Err(class.at("keyScope").bad("unknown")),
    };
    Ok(face::Class {
        effect: match effect.text()? {
            "retryable" => face::Effect::Safe,
            "dedup" => face::Effect::Keyed { scope, window: class.at("windowMs").number_or(0.0)? },
            "fragile" => face::Effect::Unsafe,
            _ => return Err(effect.bad("unknown")),
        },
        worth: class.at("worth").number()?,
        target_latency: class.at("onTimeMs").number()?,
        late_value: class.at("lateValue").number_or(0.0)?,
    })
}

fn read_plan(plan: &Field<'_>) -> Result<face::Plan, String> {
    let figure = |name| plan.at(name).number_or(0.0);
    Ok(face::Plan {
        price: plan.at("pays").number()?,
        rate: figure("rate")?,
        burst: figure("mostAtOnce")?,
        max_concurrent: figure("atOnce")?,
        overage_value: figure("beyondEarns")?,
        overage_cost: figure("overrunCost")?,
        ceiling_rate: figure("ceilingRate")?,
        ceiling_depth: figure("capDepth")?,
    })
}

fn report_field(name: &str) -> face::ReportField {
    match name {
        "concurrent" => face::ReportField::Concurrent,
        "depth" => face::ReportField::Queued,
        "load_share" => face::ReportField::Utilisation,
        "mean_ms" => face::ReportField::ServiceTime,
        "tps" => face::ReportField::Throughput,
        "err_ps" => face::ReportField::Errors,
        _ => face::ReportField::Other,
    }
}

/// The settings' name on the wire for a field that the module found at fault.
fn wire_name(field: &str) -> String {
    let names = [
        ("gateways", "balancers"),
        ("classes", "requestClasses"),
        ("plans", "tariffs"),
        (".aim", ".onTimeMs"),
        (".late_value", ".lateValue"),
        (".window", ".windowMs"),
        (".price", ".pays"),
        (".burst", ".mostAtOnce"),
        (".at_once", ".atOnce"),
        (".beyond_earns", ".beyondEarns"),
        (".overrun_cost", ".overrunCost"),
        (".ceiling_rate", ".ceilingRate"),
        (".ceiling_depth", ".capDepth"),
        (".cold_share", ".coldShare"),
        ("limits.probe_price", "penalties.probe"),
        (".warm_up", ".warmUpMs"),
        ("meter_period", "familyInfo.meterMs"),
    ];
    names.iter().fold(field.to_string(), |name, (ours, theirs)| name.replacen(ours, theirs, 1))
}
