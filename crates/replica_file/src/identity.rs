//! Encoding of the replica's identity and of the tag byte that starts each record.

use bytes::Bytes;

/// Tag of the record that holds the replica's identity.
const IDENTITY_TAG: u8 = 0;

/// Tag of the records of the register.
pub(crate) const REGISTER_TAG: u8 = 1;

/// Identity of a replica. A replica that starts on an empty disk is assigned a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Unique number of the replica.
    pub replica: u64,
    /// Whether the replica is a member of the first electorate.
    pub genesis: bool,
}

impl Identity {
    pub(crate) fn encode(self) -> Vec<u8> {
        let mut record = vec![IDENTITY_TAG, u8::from(self.genesis)];
        record.extend(self.replica.to_be_bytes());
        record
    }
}

pub(crate) fn decode_identity(record: &[u8]) -> Option<Identity> {
    match record {
        [IDENTITY_TAG, genesis, replica @ ..] => {
            let replica = u64::from_be_bytes(replica.try_into().ok()?);
            Some(Identity { replica, genesis: *genesis == 1 })
        }
        _ => None,
    }
}

pub(crate) fn decode_register_record(record: Bytes) -> Option<Bytes> {
    (record.first() == Some(&REGISTER_TAG)).then(|| record.slice(1..))
}
