//! What others may read of the module's state, and what outlives its settings. No decision is taken here.

use super::Brain;

impl Brain {
    /// Whether it gives a backend single tries at the most, since its attempts came to nothing.
    #[must_use]
    pub fn avoids(&self, backend: &str) -> bool {
        self.by_id.get(backend).is_some_and(|&index| self.servers[index].doubted())
    }
}
