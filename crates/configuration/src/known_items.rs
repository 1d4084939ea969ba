//! Items that are known already, found again in a text that is mostly the same.

use std::sync::Arc;

use crate::error::ConfigurationError;
use crate::item::Item;
use crate::name_table::NameTable;

/// The items of an earlier list, and how far a later one has followed them.
///
/// A later list mostly has the same items in the same order, with some removed, replaced in their place or added. So the
/// next known item is compared first; only where it differs is the text read and looked up by its name.
pub(crate) struct KnownItems<'a> {
    items: &'a [Arc<Item>],
    next: usize,
    /// Place of each item by its name, from the first difference on.
    places: Option<NameTable>,
}

impl<'a> KnownItems<'a> {
    /// Begins with the first of these items.
    pub(crate) fn new(items: &'a [Arc<Item>]) -> KnownItems<'a> {
        KnownItems { items, next: 0, places: None }
    }

    /// The next item of the later list: a known one if its text is the same. `list` is named in the error.
    pub(crate) fn item(&mut self, list: &str, text: &[u8]) -> Result<Arc<Item>, ConfigurationError> {
        if let Some(item) = self.items.get(self.next).filter(|item| item.text().as_bytes() == text) {
            self.next += 1;
            return Ok(item.clone());
        }
        let item = Item::parse_text(list, text)?;
        let Some(place) = self.place(&item) else { return Ok(Arc::new(item)) };
        self.next = place + 1;
        let known = &self.items[place];
        Ok(if **known == item { known.clone() } else { Arc::new(item) })
    }

    fn place(&mut self, item: &Item) -> Option<usize> {
        if self.places.is_none() {
            // The names of a list are unique.
            self.places = NameTable::of(self.items).ok();
        }
        self.places.as_ref()?.place(self.items, item)
    }
}
