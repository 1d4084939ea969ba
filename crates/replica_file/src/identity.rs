//! The identity of a replica, and the first byte of each record, which tells its kind.

/// First byte of the record that names the replica.
const IDENTITY_TAG: u8 = 0;

/// First byte of the register's records.
const REGISTER_TAG: u8 = 1;

/// Who a replica is; an empty disk takes a new identity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Number of the replica.
    pub replica: u64,
    /// Whether it is of the first electorate.
    pub genesis: bool,
}

impl Identity {
    pub(crate) fn record(self) -> Vec<u8> {
        let mut record = vec![IDENTITY_TAG, u8::from(self.genesis)];
        record.extend(self.replica.to_be_bytes());
        record
    }
}

pub(crate) fn read_identity(record: &[u8]) -> Option<Identity> {
    match record {
        [IDENTITY_TAG, genesis, replica @ ..] => {
            let replica = u64::from_be_bytes(replica.try_into().ok()?);
            Some(Identity { replica, genesis: *genesis == 1 })
        }
        _ => None,
    }
}

pub(crate) fn register_record(record: Vec<u8>) -> Option<Vec<u8>> {
    record.strip_prefix(&[REGISTER_TAG]).map(<[u8]>::to_vec)
}

pub(crate) fn tagged(record: &[u8]) -> Vec<u8> {
    let mut tagged = Vec::with_capacity(record.len() + 1);
    tagged.push(REGISTER_TAG);
    tagged.extend_from_slice(record);
    tagged
}
