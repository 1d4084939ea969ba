//! Numbered slots whose tokens go stale when what they named is gone, and idle connections by host.

/// Names one occupant of one slot.
pub type Token = usize;

const SLOT_BITS: u32 = 24;
const SLOT_MASK: usize = (1 << SLOT_BITS) - 1;

/// A table of connections.
#[derive(Debug)]
pub struct Slots<T> {
    slots: Vec<(usize, Option<T>)>,
    free: Vec<usize>,
    used: usize,
}

impl<T> Default for Slots<T> {
    fn default() -> Self {
        Self { slots: Vec::new(), free: Vec::new(), used: 0 }
    }
}

impl<T> Slots<T> {
    /// Reserves a slot and tells its token; it stays empty until [`Slots::put`].
    pub fn reserve(&mut self) -> Token {
        self.used += 1;
        let slot = self.free.pop().unwrap_or_else(|| {
            self.slots.push((0, None));
            self.slots.len() - 1
        });
        slot | (self.slots[slot].0 << SLOT_BITS)
    }

    fn find(&mut self, token: Token) -> Option<&mut Option<T>> {
        let (age, slot) = self.slots.get_mut(token & SLOT_MASK)?;
        (*age == token >> SLOT_BITS).then_some(slot)
    }

    /// What a token names.
    pub fn get(&mut self, token: Token) -> Option<&mut T> {
        self.find(token)?.as_mut()
    }

    /// Takes what a token names out, to be put back or released.
    pub fn take(&mut self, token: Token) -> Option<T> {
        self.find(token)?.take()
    }

    /// Puts something in a reserved slot.
    pub fn put(&mut self, token: Token, what: T) {
        if let Some(slot) = self.find(token) {
            *slot = Some(what);
        }
    }

    /// Frees a slot; its token is stale from now on.
    pub fn release(&mut self, token: Token) {
        if self.find(token).is_some() {
            let slot = token & SLOT_MASK;
            // A token that still lies in a batch of events must not name the next occupant.
            let (age, occupant) = &mut self.slots[slot];
            (*age, *occupant) = ((*age + 1) & (usize::MAX >> (SLOT_BITS + 1)), None);
            self.free.push(slot);
            self.used -= 1;
        }
    }

    /// Slots in use.
    #[must_use]
    pub fn len(&self) -> usize {
        self.used
    }

    /// Whether no slot is in use.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.used == 0
    }

    /// What is in the slots.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.slots.iter().filter_map(|(_, occupant)| occupant.as_ref())
    }

    /// The tokens in use.
    #[must_use]
    pub fn tokens(&self) -> Vec<Token> {
        let used = self.slots.iter().enumerate().filter(|(_, (_, occupant))| occupant.is_some());
        used.map(|(slot, (age, _))| slot | (age << SLOT_BITS)).collect()
    }
}
