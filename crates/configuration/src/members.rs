//! The text of a configuration: its members in their order, and the named items of its lists.

use std::collections::HashSet;
use std::sync::Arc;

use serde::de::{Deserialize, Deserializer, MapAccess, Visitor};
use serde::ser::{Serialize, SerializeMap, Serializer};
use serde_json::value::RawValue;
use xxhash_rust::xxh3::Xxh3;

use crate::error::{ConfigurationError, ResultCode};
use crate::item::Item;
use crate::known_items::KnownItems;
use crate::name_table::NameTable;

/// The lists whose items are read and checked.
pub(crate) const ROUTES: &str = "routes";
/// See [`ROUTES`].
pub(crate) const SERVICES: &str = "services";
/// The member with the bounds on clients.
pub(crate) const LIMITS: &str = "limits";
/// The member with the version.
pub(crate) const REVISION: &str = "revision";
/// The member of a change with the items to add or replace.
pub(crate) const UPSERT: &str = "upsert";
/// The member of a change with the names of the items to remove.
pub(crate) const REMOVE: &str = "remove";

/// A JSON object as (name, text) pairs in the order of the text, borrowed from the body.
pub(crate) struct RawObject<'a>(pub(crate) Vec<(String, &'a RawValue)>);

impl<'a> RawObject<'a> {
    /// Reads a whole body.
    pub(crate) fn parse(body: &'a [u8]) -> Result<RawObject<'a>, ConfigurationError> {
        serde_json::from_slice(body).map_err(|error| {
            let mut unreadable = ConfigurationError::new(ResultCode::Unreadable, error.to_string());
            unreadable.line = Some(error.line());
            unreadable
        })
    }

    /// The last member with this name, as later ones replace earlier ones.
    pub(crate) fn get(&self, name: &str) -> Option<&'a RawValue> {
        let member = self.0.iter().rev().find(|(member, _)| member == name);
        member.map(|(_, raw)| *raw)
    }
}

impl<'de: 'a, 'a> Deserialize<'de> for RawObject<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<RawObject<'a>, D::Error> {
        struct ObjectVisitor;

        impl<'de> Visitor<'de> for ObjectVisitor {
            type Value = Vec<(String, &'de RawValue)>;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("an object")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
                let mut pairs = Vec::new();
                while let Some(pair) = map.next_entry()? {
                    pairs.push(pair);
                }
                Ok(pairs)
            }
        }

        deserializer.deserialize_map(ObjectVisitor).map(RawObject)
    }
}

/// One member of a configuration.
#[derive(Clone, Debug)]
pub(crate) enum Member {
    /// A list of named items, whose names are unique.
    Items(Vec<Arc<Item>>),
    /// Anything else.
    Plain(Arc<RawValue>),
}

impl Member {
    /// Reads a member; `routes` and `services` have to be lists of named items. Items with the text of a known one
    /// are shared with it.
    fn parse(name: &str, raw: &RawValue, known: &[Arc<Item>]) -> Result<Member, ConfigurationError> {
        let parsed = parse_items(name, raw, known);
        if name == ROUTES || name == SERVICES {
            return parsed.map(Member::Items);
        }
        // A list of another kind, or one with a name twice, is kept as it is.
        Ok(parsed.map(Member::Items).unwrap_or_else(|_| Member::Plain(Arc::from(raw.to_owned()))))
    }
}

impl Member {
    fn text_bytes(&self) -> usize {
        match self {
            Member::Items(items) => items.iter().map(|item| item.text().len()).sum(),
            Member::Plain(raw) => raw.get().len(),
        }
    }
}

impl PartialEq for Member {
    fn eq(&self, other: &Member) -> bool {
        match (self, other) {
            (Member::Items(items), Member::Items(other_items)) => items == other_items,
            (Member::Plain(raw), Member::Plain(other_raw)) => raw.get() == other_raw.get(),
            _ => false,
        }
    }
}

impl Serialize for Member {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match self {
            Member::Items(items) => serializer.collect_seq(items.iter().map(|item| item.raw())),
            Member::Plain(raw) => raw.serialize(serializer),
        }
    }
}

/// Reads a list of named items and refuses a name that stands twice. Items with the text of a known one are shared
/// with it.
pub(crate) fn parse_items(
    list: &str,
    raw: &RawValue,
    known: &[Arc<Item>],
) -> Result<Vec<Arc<Item>>, ConfigurationError> {
    let elements: Vec<&RawValue> = serde_json::from_str(raw.get())
        .map_err(|error| ConfigurationError::new(ResultCode::BadField, error.to_string()).at_field(list))?;
    let mut known = KnownItems::new(known);
    let items = elements.into_iter().map(|element| known.item(list, element.get().as_bytes()));
    let items = items.collect::<Result<Vec<_>, _>>()?;
    check_names_unique(list, &items)?;
    Ok(items)
}

fn check_names_unique(list: &str, items: &[Arc<Item>]) -> Result<(), ConfigurationError> {
    let Err(second) = NameTable::of(items) else { return Ok(()) };
    let error = ConfigurationError::new(ResultCode::DuplicateName, "the name stands twice");
    Err(error.at_item(list, items[second].name()))
}

/// The members of a configuration in the order of its text.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Members(Vec<(String, Member)>);

impl Members {
    /// Reads a whole configuration. Items with the text of an item of `known` are shared with it.
    pub(crate) fn parse(body: &[u8], known: &Members) -> Result<Members, ConfigurationError> {
        let object = RawObject::parse(body)?;
        let mut members = Members::default();
        for (name, raw) in &object.0 {
            members.set(name, Member::parse(name, raw, known.items(name))?);
        }
        Ok(members)
    }

    /// Iterates over the members in their order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&str, &Member)> {
        self.0.iter().map(|(name, member)| (name.as_str(), member))
    }

    /// The member with this name.
    pub(crate) fn get(&self, name: &str) -> Option<&Member> {
        self.iter().find(|(member_name, _)| *member_name == name).map(|(_, member)| member)
    }

    /// The items of a list; none if there is no such list.
    pub(crate) fn items(&self, list: &str) -> &[Arc<Item>] {
        match self.get(list) {
            Some(Member::Items(items)) => items,
            _ => &[],
        }
    }

    /// The text of a member that is no list of items.
    pub(crate) fn plain(&self, name: &str) -> Option<&RawValue> {
        match self.get(name) {
            Some(Member::Plain(raw)) => Some(raw),
            _ => None,
        }
    }

    fn get_mut(&mut self, name: &str) -> Option<&mut Member> {
        self.0.iter_mut().find(|(present, _)| present == name).map(|(_, member)| member)
    }

    /// Sets a member in its place, or at the end if it is new.
    pub(crate) fn set(&mut self, name: &str, member: Member) {
        match self.get_mut(name) {
            Some(present) => *present = member,
            None => self.0.push((name.to_owned(), member)),
        }
    }

    /// Sets a member that is no list of items.
    pub(crate) fn set_plain(&mut self, name: &str, raw: &RawValue) {
        self.set(name, Member::Plain(Arc::from(raw.to_owned())));
    }

    /// Takes a member out.
    pub(crate) fn drop_member(&mut self, name: &str) {
        self.0.retain(|(present, _)| present != name);
    }

    /// Takes items out of a list and puts others in: those whose name is present in its place, new ones at
    /// the end. A name to remove that is not there is passed over.
    pub(crate) fn edit_items(&mut self, list: &str, remove: &[String], upsert: &[Arc<Item>]) {
        if !matches!(self.get(list), Some(Member::Items(_))) {
            self.set(list, Member::Items(Vec::new()));
        }
        let Some(Member::Items(items)) = self.get_mut(list) else { return };
        if !remove.is_empty() {
            let removed: HashSet<&str> = remove.iter().map(String::as_str).collect();
            items.retain(|item| !removed.contains(item.name()));
        }
        // The names of a list are unique.
        let Ok(mut places) = NameTable::of(items) else { return };
        for item in upsert {
            match places.place(items, item) {
                Some(place) => items[place] = item.clone(),
                None => {
                    items.push(item.clone());
                    places.insert(items, items.len() - 1);
                }
            }
        }
    }

    /// Number of items in all lists.
    pub(crate) fn item_count(&self) -> usize {
        self.iter().map(|(name, _)| self.items(name).len()).sum()
    }

    /// A digest of all members, the same on every machine.
    pub(crate) fn digest(&self) -> u64 {
        let mut hasher = Xxh3::new();
        for (name, member) in self.iter() {
            hasher.update(name.as_bytes());
            match member {
                Member::Items(items) => {
                    hasher.update(&(items.len() as u64).to_le_bytes());
                    items.iter().for_each(|item| hasher.update(&item.text_hash().to_le_bytes()));
                }
                Member::Plain(raw) => hasher.update(raw.get().as_bytes()),
            }
        }
        hasher.digest()
    }

    /// Bytes of the texts of all members, without what stands between them.
    pub(crate) fn text_bytes(&self) -> usize {
        self.0.iter().map(|(name, member)| name.len() + member.text_bytes()).sum()
    }

    /// The whole text.
    pub(crate) fn to_json(&self) -> Vec<u8> {
        // Writing texts that were read as JSON into memory has no way to fail.
        serde_json::to_vec(self).unwrap_or_default()
    }
}

impl Serialize for Members {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(Some(self.0.len()))?;
        for (name, member) in &self.0 {
            map.serialize_entry(name, member)?;
        }
        map.end()
    }
}

/// Adds to an error the line of `body` where its item begins. In a change, the item stands under `upsert`.
pub(crate) fn located(mut error: ConfigurationError, body: &[u8]) -> ConfigurationError {
    if error.line.is_none() {
        error.line = item_line(&error, body);
    }
    error
}

fn item_line(error: &ConfigurationError, body: &[u8]) -> Option<usize> {
    let (list, name) = (error.list.as_deref()?, error.item.as_deref()?);
    let object = RawObject::parse(body).ok()?;
    let lists = match object.get(UPSERT) {
        Some(upsert) => serde_json::from_str(upsert.get()).ok()?,
        None => object,
    };
    let elements: Vec<&RawValue> = serde_json::from_str(lists.get(list)?.get()).ok()?;
    let has_name = |element: &&RawValue| Item::parse(list, element).is_ok_and(|item| item.name() == name);
    // A name that stands twice is reported where it stands last.
    let element = elements.into_iter().rev().find(has_name)?;
    let offset = (element.get().as_ptr() as usize).checked_sub(body.as_ptr() as usize)?;
    let before = body.get(..offset)?;
    Some(1 + before.iter().filter(|byte| **byte == b'\n').count())
}
