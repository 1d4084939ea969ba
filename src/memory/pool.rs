//! Connection table with generational tokens: a token becomes invalid when its slot is released.

/// Slot number in the low bits, generation of the slot above them.
pub type Token = usize;

const SLOT_BITS: u32 = 24;
const SLOT_MASK: usize = (1 << SLOT_BITS) - 1;

/// Table of values that are addressed by token.
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
    /// Reserves a slot and returns its token; the slot is empty until [`Slots::put`].
    pub fn reserve(&mut self) -> Token {
        self.used += 1;
        let slot = self.free.pop().unwrap_or_else(|| {
            self.slots.push((0, None));
            self.slots.len() - 1
        });
        slot | (self.slots[slot].0 << SLOT_BITS)
    }

    fn find(&mut self, token: Token) -> Option<&mut Option<T>> {
        let (generation, slot) = self.slots.get_mut(token & SLOT_MASK)?;
        (*generation == token >> SLOT_BITS).then_some(slot)
    }

    /// The value of a token, if the token is valid and its slot is not empty.
    pub fn get(&mut self, token: Token) -> Option<&mut T> {
        self.find(token)?.as_mut()
    }

    /// Removes the value from its slot; the slot stays reserved until it is released.
    pub fn take(&mut self, token: Token) -> Option<T> {
        self.find(token)?.take()
    }

    /// Stores a value in a reserved slot; a stale token has no effect.
    pub fn put(&mut self, token: Token, value: T) {
        if let Some(slot) = self.find(token) {
            *slot = Some(value);
        }
    }

    /// Frees a slot and invalidates its token.
    pub fn release(&mut self, token: Token) {
        if self.find(token).is_some() {
            let slot = token & SLOT_MASK;
            // A token in an event batch that is still being handled must not match the next value in the slot.
            let (generation, value) = &mut self.slots[slot];
            (*generation, *value) = ((*generation + 1) & (usize::MAX >> (SLOT_BITS + 1)), None);
            self.free.push(slot);
            self.used -= 1;
        }
    }

    /// Number of reserved slots.
    #[must_use]
    pub fn len(&self) -> usize {
        self.used
    }

    /// Whether no slot is reserved.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.used == 0
    }

    /// The stored values.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.slots.iter().filter_map(|(_, value)| value.as_ref())
    }

    /// Tokens of the slots that hold a value.
    #[must_use]
    pub fn tokens(&self) -> Vec<Token> {
        let used = self.slots.iter().enumerate().filter(|(_, (_, value))| value.is_some());
        used.map(|(slot, (generation, _))| slot | (generation << SLOT_BITS)).collect()
    }
}
