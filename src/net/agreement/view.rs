//! What the thread tells the loop.

use super::wire::Wire;
use std::sync::Arc;
use switchhill_agreement::hosts::Hosts;
use switchhill_agreement::{MembershipView, Register, RegisterSnapshot, Version};

/// One register as the thread publishes it, with the contents of its active and pending versions where held.
#[derive(Clone, Debug)]
pub(in crate::net) struct Published<T> {
    pub(in crate::net) state: RegisterSnapshot,
    contents: Vec<(Version, Arc<T>)>,
}

impl<T> Default for Published<T> {
    fn default() -> Self {
        Self { state: RegisterSnapshot::default(), contents: Vec::new() }
    }
}

impl<T> Published<T> {
    /// The content of a version, where it is held.
    pub(in crate::net) fn content(&self, version: Option<Version>) -> Option<&Arc<T>> {
        self.contents.iter().find(|(held, _)| Some(*held) == version).map(|(_, content)| content)
    }

    /// Contents of a register's active and pending versions, made by `make` where they were not published before.
    pub(super) fn next(
        &self,
        register: &Register,
        wire: &Wire,
        make: impl Fn(&Arc<Vec<u8>>) -> Option<Arc<T>>,
    ) -> Self {
        let state = register.snapshot();
        let versions = [state.active, state.pending.map(|(version, _)| version), register.highest()];
        let mut contents: Vec<(Version, Arc<T>)> = Vec::new();
        for version in versions.into_iter().flatten() {
            let kept = self.content(Some(version)).cloned();
            let content = kept.or_else(|| wire.content(version).and_then(&make));
            if let Some(content) = content.filter(|_| contents.iter().all(|(held, _)| *held != version)) {
                contents.push((version, content));
            }
        }
        Self { state, contents }
    }
}

/// What the thread tells the loop.
#[derive(Clone, Debug, Default)]
pub(in crate::net) struct View {
    pub(in crate::net) settings: Published<Vec<u8>>,
    pub(in crate::net) hosts: Published<Hosts>,
    pub(super) members: Option<MembershipView>,
}
