//! The difference between two configurations, for subscribers that hold the older one.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::document::Document;
use crate::error::ConfigurationError;
use crate::item::Item;
use crate::members::{Member, Members};
use crate::name_table::NameTable;

/// What leads from one configuration to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Delta {
    from_revision: u64,
    to_revision: u64,
    digest: u64,
    body: DeltaBody,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
enum DeltaBody {
    /// Changes of members, applied in order.
    Edits(Vec<MemberEdit>),
    /// The whole result, where edits do not lead to it, such as after a change of order.
    Whole(Box<RawValue>),
}

#[derive(Clone, Debug, Serialize, Deserialize)]
enum MemberEdit {
    Set { member: String, value: Box<RawValue> },
    Drop { member: String },
    Items { member: String, upsert: Vec<Box<RawValue>>, remove: Vec<String> },
}

/// Why a delta does not apply.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DeltaError {
    /// The bytes are no delta.
    #[error("the delta cannot be read: {0}")]
    Malformed(String),
    /// It leads from another revision than the one held.
    #[error("the delta leads from revision {expected}, held is {held}")]
    BaseDiffers {
        /// The revision it leads from.
        expected: u64,
        /// The revision held.
        held: u64,
    },
    /// The result is not the configuration that the sender has.
    #[error("the digest of the result differs")]
    DigestDiffers,
    /// The result cannot be read.
    #[error("the result cannot be read: {0}")]
    Result(#[from] ConfigurationError),
}

impl Delta {
    /// The difference that leads from `old` to `new`.
    pub fn between(old: &Document, new: &Document) -> Delta {
        let edits = member_edits(old.members(), new.members());
        let reached = edited(old.members(), &edits);
        let body = match reached.is_ok_and(|members| members == *new.members()) {
            true => DeltaBody::Edits(edits),
            false => DeltaBody::Whole(whole(new)),
        };
        Delta { from_revision: old.revision(), to_revision: new.revision(), digest: new.digest(), body }
    }

    /// The revision that it leads from.
    pub fn from_revision(&self) -> u64 {
        self.from_revision
    }

    /// The revision that it leads to.
    pub fn to_revision(&self) -> u64 {
        self.to_revision
    }

    /// The digest of the result.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Encodes the delta.
    pub fn encode(&self) -> Vec<u8> {
        // Writing texts that were read as JSON into memory has no way to fail.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Decodes a delta.
    ///
    /// # Errors
    /// The bytes are no delta.
    pub fn decode(encoded: &[u8]) -> Result<Delta, DeltaError> {
        serde_json::from_slice(encoded).map_err(|error| DeltaError::Malformed(error.to_string()))
    }
}

impl Document {
    /// The configuration that `delta` leads to.
    ///
    /// # Errors
    /// The delta leads from another revision, or not to what the sender has; the whole configuration has
    /// to be fetched then.
    pub fn apply_delta(&self, delta: &Delta) -> Result<Document, DeltaError> {
        if delta.from_revision != self.revision() {
            let (expected, held) = (delta.from_revision, self.revision());
            return Err(DeltaError::BaseDiffers { expected, held });
        }
        let document = match &delta.body {
            DeltaBody::Edits(edits) => Document::from_members(edited(self.members(), edits)?)?,
            DeltaBody::Whole(text) => Document::read(text.get().as_bytes())?,
        };
        match document.digest() == delta.digest {
            true => Ok(document),
            false => Err(DeltaError::DigestDiffers),
        }
    }
}

fn whole(document: &Document) -> Box<RawValue> {
    let text = String::from_utf8(document.to_json()).unwrap_or_default();
    RawValue::from_string(text).unwrap_or_default()
}

fn member_edits(old: &Members, new: &Members) -> Vec<MemberEdit> {
    let gone = old.iter().filter(|(name, _)| new.get(name).is_none());
    let mut edits: Vec<MemberEdit> =
        gone.map(|(name, _)| MemberEdit::Drop { member: name.to_owned() }).collect();
    for (name, member) in new.iter().filter(|(name, member)| old.get(name) != Some(*member)) {
        edits.push(match member {
            Member::Items(items) => items_edit(name, old.items(name), items),
            Member::Plain(raw) => MemberEdit::Set { member: name.to_owned(), value: raw.as_ref().to_owned() },
        });
    }
    edits
}

fn items_edit(list: &str, old: &[Arc<Item>], new: &[Arc<Item>]) -> MemberEdit {
    let (old, new) = without_common_ends(old, new);
    // The names of a list are unique.
    let (old_places, new_places) = (NameTable::of(old).ok(), NameTable::of(new).ok());
    let held = |item: &Item| old_places.as_ref()?.place(old, item).map(|place| &old[place]);
    let is_kept = |item: &Item| new_places.as_ref().is_some_and(|places| places.place(new, item).is_some());
    let changed = new.iter().filter(|item| held(item) != Some(item));
    let gone = old.iter().filter(|item| !is_kept(item));
    MemberEdit::Items {
        member: list.to_owned(),
        upsert: changed.map(|item| item.raw().to_owned()).collect(),
        remove: gone.map(|item| item.name().to_owned()).collect(),
    }
}

/// What is left of two lists without the items that both begin with and both end with. The names of a list are unique, so an
/// item that is left in one has its namesake, if any, in what is left of the other.
fn without_common_ends<'a>(old: &'a [Arc<Item>], new: &'a [Arc<Item>]) -> (&'a [Arc<Item>], &'a [Arc<Item>]) {
    let is_same = |(old, new): &(&Arc<Item>, &Arc<Item>)| Arc::ptr_eq(old, new);
    let start = old.iter().zip(new).take_while(is_same).count();
    let (old, new) = (&old[start..], &new[start..]);
    let end = old.iter().rev().zip(new.iter().rev()).take_while(is_same).count();
    (&old[..old.len() - end], &new[..new.len() - end])
}

fn edited(members: &Members, edits: &[MemberEdit]) -> Result<Members, ConfigurationError> {
    let mut members = members.clone();
    for edit in edits {
        match edit {
            MemberEdit::Set { member, value } => members.set_plain(member, value),
            MemberEdit::Drop { member } => members.drop_member(member),
            MemberEdit::Items { member, upsert, remove } => {
                let items = upsert.iter().map(|raw| Item::parse(member, raw).map(Arc::new));
                let items = items.collect::<Result<Vec<_>, _>>()?;
                members.edit_items(member, remove, &items);
            }
        }
    }
    Ok(members)
}
