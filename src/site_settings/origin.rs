//! The file that settings were read from, and what it gave.
//!
//! A file that its writer has not finished may read as whole: fields that are not there yet have values without them. What
//! the file in force gave tells such a file from a whole one.

use super::SettingsError;
use crate::process::document::Node;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// A settings file as it was read.
#[derive(Debug, Clone)]
pub(super) struct Origin {
    path: PathBuf,
    /// Paths of all fields that have a value, also of those that no setting is made from.
    fields: BTreeSet<String>,
    /// Whether the last line has an end.
    ends_with_newline: bool,
}

impl Origin {
    /// The file at `path` that holds `text`.
    pub(super) fn of(path: &Path, text: &str) -> Origin {
        Origin {
            path: path.to_owned(),
            fields: Node::parse(text).map(|document| document.field_paths()).unwrap_or_default(),
            ends_with_newline: text.ends_with('\n'),
        }
    }

    /// The file.
    pub(super) fn path(&self) -> &Path {
        &self.path
    }

    /// Checks that this file, read later, is as whole as the one in force.
    ///
    /// # Errors
    /// A field is missing that the file in force gives, or the last line may have been cut off.
    pub(super) fn check_as_whole_as(&self, in_force: &Origin) -> Result<(), SettingsError> {
        if let Some(field) = in_force.fields.difference(&self.fields).next() {
            return Err(SettingsError::FieldMissing { path: self.path.clone(), field: field.clone() });
        }
        if in_force.ends_with_newline && !self.ends_with_newline {
            return Err(SettingsError::LastLineOpen { path: self.path.clone() });
        }
        Ok(())
    }
}
