//! Layout of a record in the file.
//!
//! A frame is the length of the record plus one (so that a hole of zeros is no record), a checksum, and the record; both
//! numbers are 32 bits wide, little-endian. The checksum covers the length, the record and the checksum of the frame
//! before.

/// Bytes before the record itself.
const HEADER_BYTES: usize = 8;

/// Checksum "before" the first frame of a file.
pub(crate) const FIRST_CHECKSUM: u32 = 0x5348_524c;

/// Appends the frame of `record` to `out` and returns its checksum.
pub(crate) fn write_frame(out: &mut Vec<u8>, previous_checksum: u32, record: &[u8]) -> u32 {
    let length = (record.len() as u32 + 1).to_le_bytes();
    let checksum = frame_checksum(previous_checksum, length, record);
    out.extend_from_slice(&length);
    out.extend_from_slice(&checksum.to_le_bytes());
    out.extend_from_slice(record);
    checksum
}

/// The valid frames at the start of a file.
pub(crate) struct Scan {
    pub(crate) records: Vec<Vec<u8>>,
    /// Length of the valid part in bytes.
    pub(crate) length: u64,
    /// Checksum of the last valid frame.
    pub(crate) checksum: u32,
}

/// Reads frames up to the first one that is torn, garbled or missing.
pub(crate) fn scan(content: &[u8]) -> Scan {
    let mut found = Scan { records: Vec::new(), length: 0, checksum: FIRST_CHECKSUM };
    let mut rest = content;
    while let Some((record, checksum)) = read_frame(rest, found.checksum) {
        let frame_bytes = HEADER_BYTES + record.len();
        found.records.push(record.to_vec());
        found.length += frame_bytes as u64;
        found.checksum = checksum;
        rest = &rest[frame_bytes..];
    }
    found
}

fn read_frame(content: &[u8], previous_checksum: u32) -> Option<(&[u8], u32)> {
    let (length, after_length) = content.split_first_chunk::<4>()?;
    let (checksum, after_header) = after_length.split_first_chunk::<4>()?;
    let record_length = u32::from_le_bytes(*length).checked_sub(1)? as usize;
    let record = after_header.get(..record_length)?;
    let checksum = u32::from_le_bytes(*checksum);
    let valid = checksum == frame_checksum(previous_checksum, *length, record);
    valid.then_some((record, checksum))
}

fn frame_checksum(previous_checksum: u32, length: [u8; 4], record: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&previous_checksum.to_le_bytes());
    hasher.update(&length);
    hasher.update(record);
    hasher.finalize()
}
