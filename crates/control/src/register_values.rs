//! Decoded contents of the register's values.

use bytes::Bytes;
use switchhill_configuration::{ControlState, StateError};

/// Decodes values of the register. A value is met several times, as the current one of a change, as the one written and as
/// the one committed, and each is mostly the same as the one before; reading a large one takes long.
#[derive(Debug, Default)]
pub(crate) struct ValueDecoder {
    newest: Option<(Bytes, ControlState)>,
}

impl ValueDecoder {
    /// The content of a value.
    ///
    /// # Errors
    /// The value does not decode.
    pub(crate) fn decode(&mut self, data: &Bytes) -> Result<ControlState, StateError> {
        if let Some((_, state)) = self.newest.as_ref().filter(|(newest, _)| newest == data) {
            return Ok(state.clone());
        }
        let similar = self.newest.as_ref().and_then(|(_, state)| state.document.as_ref());
        let state = ControlState::decode_similar(data, similar)?;
        self.remember(data.clone(), state.clone());
        Ok(state)
    }

    /// Keeps the content of a value that was encoded here.
    pub(crate) fn remember(&mut self, data: Bytes, state: ControlState) {
        self.newest = Some((data, state));
    }
}
