//! Finding an item of a list by its name.

use std::sync::Arc;

use hashbrown::HashTable;

use crate::item::Item;

/// The places of a list's items by their names. It holds no names: the list is given to each call.
pub(crate) struct NameTable {
    places: HashTable<usize>,
}

impl NameTable {
    /// The places of `items`.
    ///
    /// # Errors
    /// Two items have the same name; the place of the second one.
    pub(crate) fn of(items: &[Arc<Item>]) -> Result<NameTable, usize> {
        let mut table = NameTable { places: HashTable::with_capacity(items.len()) };
        for (place, item) in items.iter().enumerate() {
            if table.place(items, item).is_some() {
                return Err(place);
            }
            table.insert(items, place);
        }
        Ok(table)
    }

    /// The place of the item with the name of `item`.
    pub(crate) fn place(&self, items: &[Arc<Item>], item: &Item) -> Option<usize> {
        let has_name = |place: &usize| items[*place].name() == item.name();
        self.places.find(item.name_hash(), has_name).copied()
    }

    /// Adds the item that stands at `place`, whose name is new.
    pub(crate) fn insert(&mut self, items: &[Arc<Item>], place: usize) {
        self.places.insert_unique(items[place].name_hash(), place, |place| items[*place].name_hash());
    }
}
