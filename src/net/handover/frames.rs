//! What two processes of one gateway say to each other, in frames of a version, a kind, a length and a payload.

/// Changes with the frames or with what `State` holds. Another one is a plain start.
const VERSION: u8 = 2;
/// The largest payload.
pub const MOST_PAYLOAD: usize = 4 * 1024 * 1024;
/// What a frame says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Asks for the listening socket.
    Hello,
    /// Brings it.
    Listener,
    /// Asks for the state.
    Take,
    /// Brings it.
    State,
    /// Repeats an operator's call.
    Call,
}

pub(super) const KINDS: [Kind; 5] = [Kind::Hello, Kind::Listener, Kind::Take, Kind::State, Kind::Call];
/// Bytes before the payload.
pub(super) const HEAD: usize = 6;

/// A frame's bytes; `None` for a payload that is too large.
#[must_use]
pub fn frame(kind: Kind, payload: &[u8]) -> Option<Vec<u8>> {
    let length = u32::try_from(payload.len()).ok().filter(|n| *n as usize <= MOST_PAYLOAD)?;
    let mut bytes = vec![VERSION, kind as u8];
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(payload);
    Some(bytes)
}

/// A frame as it is read: its kind, its payload and its length in all.
pub type Whole<'a> = (Kind, &'a [u8], usize);

/// Reads one frame from the start of `bytes`: its kind, payload and length. `None` while it is not whole.
///
/// # Errors
/// What another version, or something else, wrote.
pub fn read_frame(bytes: &[u8]) -> Result<Option<Whole<'_>>, &'static str> {
    match bytes {
        [version, ..] if *version != VERSION => return Err("another version"),
        [_, kind, ..] if usize::from(*kind) >= KINDS.len() => return Err("an unknown frame"),
        _ if bytes.len() < HEAD => return Ok(None),
        _ => {}
    }
    let length = u32::from_le_bytes([bytes[2], bytes[3], bytes[4], bytes[5]]) as usize;
    if length > MOST_PAYLOAD {
        return Err("a frame that is too large");
    }
    let payload = bytes.get(HEAD..HEAD + length);
    Ok(payload.map(|payload| (KINDS[usize::from(bytes[1])], payload, HEAD + length)))
}
