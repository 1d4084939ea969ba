//! Encoding of the register's value.
//!
//! Layout 2 holds the texts of all items of all lists one after the other, then a record with everything else, and the length of
//! the record in four bytes. What changes with each change stands at the end, so that successive values have long parts in
//! common, and a reader that knows most items compares texts without reading JSON. Layout 1, of earlier editions, holds the
//! configuration as one text within the record; it is still read.

use prost::Message;

use crate::document::Document;
use crate::error::{ConfigurationError, ResultCode};
use crate::known_items::KnownItems;
use crate::members::{Member, Members};
use crate::state::{ControlState, PlacerGrant, TakenOrder, TAKEN_ORDERS_KEPT};

/// First byte of a state of an earlier edition.
const FIRST_LAYOUT: u8 = 1;

/// First byte of a state: the layout of what follows.
const LAYOUT: u8 = 2;

/// Bytes of the record's length, which ends a state.
const LENGTH_BYTES: usize = 4;

/// Why an encoded state cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum StateError {
    /// There are no bytes.
    #[error("the state is empty")]
    Empty,
    /// The layout is of another edition.
    #[error("the layout version {0} is not known")]
    UnknownLayout(u8),
    /// The state ends before the items that it announces.
    #[error("the state is cut off")]
    CutOff,
    /// The bytes do not decode.
    #[error("the state does not decode: {0}")]
    Malformed(#[from] prost::DecodeError),
    /// The configuration cannot be read.
    #[error("the configuration cannot be read: {0}")]
    Configuration(#[from] ConfigurationError),
}

impl ControlState {
    /// Encodes the state; equal states give equal bytes.
    pub fn encode(&self) -> Vec<u8> {
        let members = self.document.as_ref().map(Document::members);
        let record = StateRecord {
            document: None,
            has_document: members.is_some(),
            members: members.map(member_records).unwrap_or_default(),
            taken: self.taken.iter().map(TakenRecord::from_taken).collect(),
            placer: self
                .placer
                .as_ref()
                .map(|placer| GrantRecord { holder: placer.holder.clone(), epoch: placer.epoch }),
            next_epoch: self.next_epoch,
            forgotten_up_to: self.forgotten_up_to,
        };
        let record_bytes = record.encoded_len();
        let item_bytes: usize = members.map_or(0, Members::text_bytes);
        let mut encoded = Vec::with_capacity(1 + item_bytes + record_bytes + LENGTH_BYTES);
        encoded.push(LAYOUT);
        for (_, member) in members.iter().flat_map(|members| members.iter()) {
            if let Member::Items(items) = member {
                items.iter().for_each(|item| encoded.extend_from_slice(item.text().as_bytes()));
            }
        }
        encoded.extend_from_slice(&record.encode_to_vec());
        encoded.extend_from_slice(&(record_bytes as u32).to_le_bytes());
        encoded
    }

    /// Decodes a state.
    ///
    /// # Errors
    /// The layout is not known or the bytes do not decode.
    pub fn decode(encoded: &[u8]) -> Result<ControlState, StateError> {
        ControlState::decode_similar(encoded, None)
    }

    /// As [`ControlState::decode`]. What the configuration has in common with `similar` is shared with it and not read
    /// again.
    ///
    /// # Errors
    /// The layout is not known or the bytes do not decode.
    pub fn decode_similar(encoded: &[u8], similar: Option<&Document>) -> Result<ControlState, StateError> {
        let (layout, content) = encoded.split_first().ok_or(StateError::Empty)?;
        match *layout {
            FIRST_LAYOUT => decode_first_layout(content, similar),
            LAYOUT => decode_layout(content, similar),
            unknown => Err(StateError::UnknownLayout(unknown)),
        }
    }
}

fn decode_first_layout(content: &[u8], similar: Option<&Document>) -> Result<ControlState, StateError> {
    let record = StateRecord::decode(content)?;
    let read = |text: &[u8]| match similar {
        Some(similar) => Document::read_similar(text, similar),
        None => Document::read(text),
    };
    let document = record.document.as_deref().map(read).transpose()?;
    Ok(record.into_state(document))
}

fn decode_layout(content: &[u8], similar: Option<&Document>) -> Result<ControlState, StateError> {
    let (content, length) = content.split_last_chunk::<LENGTH_BYTES>().ok_or(StateError::CutOff)?;
    let length = u32::from_le_bytes(*length) as usize;
    let items_end = content.len().checked_sub(length).ok_or(StateError::CutOff)?;
    let (items, record) = content.split_at(items_end);
    let record = StateRecord::decode(record)?;
    let document = match record.has_document {
        true => Some(Document::from_members(read_members(&record.members, items, similar)?)?),
        false => None,
    };
    Ok(record.into_state(document))
}

/// Reads the members of a configuration, whose items' texts follow each other in `items`.
fn read_members(
    records: &[MemberRecord],
    mut items: &[u8],
    similar: Option<&Document>,
) -> Result<Members, StateError> {
    let mut members = Members::default();
    for record in records {
        let member = match &record.plain {
            Some(text) => Member::plain(text)?,
            None => {
                let known = similar.map(|similar| similar.members().items(&record.name)).unwrap_or_default();
                let mut known = KnownItems::new(known);
                let mut list = Vec::with_capacity(record.item_lengths.len());
                for length in &record.item_lengths {
                    let (text, rest) = items.split_at_checked(*length as usize).ok_or(StateError::CutOff)?;
                    items = rest;
                    list.push(known.item(&record.name, text)?);
                }
                Member::Items(list)
            }
        };
        members.set(&record.name, member);
    }
    Ok(members)
}

fn member_records(members: &Members) -> Vec<MemberRecord> {
    let record = |(name, member): (&str, &Member)| match member {
        Member::Items(items) => MemberRecord {
            name: name.to_owned(),
            plain: None,
            item_lengths: items.iter().map(|item| item.text().len() as u32).collect(),
        },
        Member::Plain(raw) => MemberRecord {
            name: name.to_owned(),
            plain: Some(raw.get().to_owned()),
            item_lengths: Vec::new(),
        },
    };
    members.iter().map(record).collect()
}

impl Member {
    /// A member that is no list of items, from its text.
    fn plain(text: &str) -> Result<Member, ConfigurationError> {
        let raw = serde_json::value::RawValue::from_string(text.to_owned())
            .map_err(|error| ConfigurationError::new(ResultCode::Unreadable, error.to_string()))?;
        Ok(Member::Plain(raw.into()))
    }
}

/// What a full list of orders must have forgotten, for a state written by an edition that did not note it: any revision
/// below the oldest that it lists.
fn forgotten_before(taken: &[TakenOrder]) -> u64 {
    let oldest = taken.first().filter(|_| taken.len() >= TAKEN_ORDERS_KEPT);
    oldest.map_or(0, |oldest| oldest.revision.saturating_sub(1))
}

#[derive(Clone, PartialEq, Message)]
struct StateRecord {
    /// The configuration as a text, in the first layout alone.
    #[prost(bytes = "vec", optional, tag = "1")]
    document: Option<Vec<u8>>,
    #[prost(message, repeated, tag = "2")]
    taken: Vec<TakenRecord>,
    #[prost(message, optional, tag = "3")]
    placer: Option<GrantRecord>,
    #[prost(uint64, tag = "4")]
    next_epoch: u64,
    #[prost(uint64, tag = "5")]
    forgotten_up_to: u64,
    #[prost(bool, tag = "6")]
    has_document: bool,
    #[prost(message, repeated, tag = "7")]
    members: Vec<MemberRecord>,
}

impl StateRecord {
    fn into_state(self, document: Option<Document>) -> ControlState {
        let taken: Vec<TakenOrder> = self.taken.iter().map(TakenRecord::to_taken).collect();
        let forgotten_up_to = self.forgotten_up_to.max(forgotten_before(&taken));
        let grant = |placer: GrantRecord| PlacerGrant { holder: placer.holder, epoch: placer.epoch };
        ControlState {
            document,
            taken,
            forgotten_up_to,
            placer: self.placer.map(grant),
            next_epoch: self.next_epoch,
        }
    }
}

/// A member of the configuration.
#[derive(Clone, PartialEq, Message)]
struct MemberRecord {
    #[prost(string, tag = "1")]
    name: String,
    /// The text of a member that is no list of items.
    #[prost(string, optional, tag = "2")]
    plain: Option<String>,
    /// The lengths in bytes of the texts of a list's items.
    #[prost(uint32, repeated, tag = "3")]
    item_lengths: Vec<u32>,
}

#[derive(Clone, PartialEq, Message)]
struct TakenRecord {
    #[prost(uint64, tag = "1")]
    revision: u64,
    #[prost(fixed64, tag = "2")]
    digest_high: u64,
    #[prost(fixed64, tag = "3")]
    digest_low: u64,
}

impl TakenRecord {
    fn from_taken(taken: &TakenOrder) -> TakenRecord {
        TakenRecord {
            revision: taken.revision,
            digest_high: (taken.digest >> 64) as u64,
            digest_low: taken.digest as u64,
        }
    }

    fn to_taken(&self) -> TakenOrder {
        let digest = u128::from(self.digest_high) << 64 | u128::from(self.digest_low);
        TakenOrder { revision: self.revision, digest }
    }
}

#[derive(Clone, PartialEq, Message)]
struct GrantRecord {
    #[prost(string, tag = "1")]
    holder: String,
    #[prost(uint64, tag = "2")]
    epoch: u64,
}
