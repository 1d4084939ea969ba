//! Changes of named items of a configuration.

use std::sync::Arc;

use serde_json::value::RawValue;

use crate::document::{read_revision, Document};
use crate::error::{ConfigurationError, ResultCode};
use crate::item::Item;
use crate::members::{
    located, parse_items, Member, Members, RawObject, REMOVE, REVISION, ROUTES, SERVICES, UPSERT,
};

/// What a change does to one member of the configuration.
#[derive(Clone, Debug)]
enum Edit {
    /// Adds items to a list, or replaces those with the same names.
    Upsert { list: String, items: Vec<Arc<Item>> },
    /// Removes items of a list by name.
    Remove { list: String, names: Vec<String> },
    /// Replaces a member that is no list, such as `limits`.
    Set { member: String, value: Box<RawValue> },
}

/// A change, as it was read from the body of an order.
#[derive(Clone, Debug)]
pub struct Change {
    revision: u64,
    revision_text: Box<RawValue>,
    edits: Vec<Edit>,
    body: Arc<[u8]>,
}

impl Change {
    /// Reads a change: `revision`, `upsert` (lists of items), `remove` (lists of names). A member beside
    /// them, or one under `upsert` that is no list, replaces that member of the configuration.
    ///
    /// # Errors
    /// The body cannot be read, has no revision, or gives a list of the configuration outside `upsert`.
    pub fn parse(body: &[u8]) -> Result<Change, ConfigurationError> {
        Change::read(body).map_err(|error| located(error, body))
    }

    fn read(body: &[u8]) -> Result<Change, ConfigurationError> {
        let object = RawObject::parse(body)?;
        let revision = read_revision(object.get(REVISION))?;
        let revision_text = object.get(REVISION).map(ToOwned::to_owned).unwrap_or_default();
        // Removals come first, so that a name may be freed and used again in one change.
        let mut edits = read_removals(object.get(REMOVE))?;
        edits.extend(read_upserts(object.get(UPSERT))?);
        for (member, value) in &object.0 {
            match member.as_str() {
                REVISION | UPSERT | REMOVE => {}
                ROUTES | SERVICES => {
                    let error = ConfigurationError::new(ResultCode::BadField, "a list stands under `upsert`");
                    return Err(error.at_field(member));
                }
                _ => edits.push(Edit::Set { member: member.clone(), value: (*value).to_owned() }),
            }
        }
        Ok(Change { revision, revision_text, edits, body: body.into() })
    }

    /// The revision of the configuration that the change leads to.
    pub fn revision(&self) -> u64 {
        self.revision
    }
}

impl Document {
    /// The configuration after `change`, under its revision. Items that are replaced keep their place, new
    /// ones come last; a name to remove that is not there is passed over.
    ///
    /// # Errors
    /// The result is not valid.
    pub fn apply(&self, change: &Change) -> Result<Document, ConfigurationError> {
        apply_to(self.members().clone(), change)
    }
}

impl Change {
    /// The configuration that the change makes where there is none yet.
    ///
    /// # Errors
    /// The result is not valid.
    pub fn apply_to_nothing(&self) -> Result<Document, ConfigurationError> {
        apply_to(Members::default(), self)
    }
}

fn apply_to(mut members: Members, change: &Change) -> Result<Document, ConfigurationError> {
    members.set_plain(REVISION, &change.revision_text);
    for edit in &change.edits {
        match edit {
            Edit::Upsert { list, items } => members.edit_items(list, &[], items),
            Edit::Remove { list, names } => remove_items(&mut members, list, names),
            Edit::Set { member, value } => members.set_plain(member, value),
        }
    }
    let document = Document::from_members(members).and_then(Document::checked);
    document.map_err(|error| located(error, &change.body))
}

fn remove_items(members: &mut Members, list: &str, names: &[String]) {
    if let Some(Member::Items(_)) = members.get(list) {
        members.edit_items(list, names, &[]);
    }
}

fn read_removals(remove: Option<&RawValue>) -> Result<Vec<Edit>, ConfigurationError> {
    let mut edits = Vec::new();
    for (list, names) in read_lists(remove, REMOVE)? {
        let names: Option<Vec<String>> = crate::fields::read(names).map_err(|error| error.at_field(&list))?;
        edits.push(Edit::Remove { list, names: names.unwrap_or_default() });
    }
    Ok(edits)
}

fn read_upserts(upsert: Option<&RawValue>) -> Result<Vec<Edit>, ConfigurationError> {
    let mut edits = Vec::new();
    for (list, value) in read_lists(upsert, UPSERT)? {
        let is_list = value.get().starts_with('[');
        edits.push(match is_list {
            true => Edit::Upsert { items: parse_items(&list, value, &[])?, list },
            false if list == ROUTES || list == SERVICES => {
                let error = ConfigurationError::new(ResultCode::BadField, "a list is expected");
                return Err(error.at_field(&list));
            }
            false => Edit::Set { member: list, value: value.to_owned() },
        });
    }
    Ok(edits)
}

/// The members of `upsert` or `remove`; none if it is absent or `null`.
fn read_lists<'a>(
    raw: Option<&'a RawValue>,
    field: &str,
) -> Result<Vec<(String, &'a RawValue)>, ConfigurationError> {
    let Some(raw) = raw else { return Ok(Vec::new()) };
    let lists: Option<RawObject<'a>> = serde_json::from_str(raw.get())
        .map_err(|error| ConfigurationError::new(ResultCode::BadField, error.to_string()).at_field(field))?;
    Ok(lists.map(|lists| lists.0).unwrap_or_default())
}
