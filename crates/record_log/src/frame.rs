//! On-disk format of a record.
//!
//! A frame consists of the length of the record plus one, a checksum and the record. Length and checksum are 32-bit
//! little-endian integers. The length is stored plus one so that a run of zero bytes is not a valid frame. The checksum
//! covers the length, the record and the checksum of the previous frame.

use bytes::Bytes;

/// Size of the length and the checksum that precede the record.
const HEADER_BYTES: usize = 8;

/// Value that the first frame of a file uses as the previous checksum.
pub(crate) const INITIAL_CHECKSUM: u32 = 0x5348_524c;

/// Header of the frame of the record that consists of `parts`, and its checksum.
pub(crate) fn frame_header(previous_checksum: u32, parts: &[&[u8]]) -> ([u8; HEADER_BYTES], u32) {
    let record_bytes: usize = parts.iter().map(|part| part.len()).sum();
    let length = (record_bytes as u32 + 1).to_le_bytes();
    let checksum = frame_checksum(previous_checksum, length, parts);
    let mut header = [0; HEADER_BYTES];
    header[..4].copy_from_slice(&length);
    header[4..].copy_from_slice(&checksum.to_le_bytes());
    (header, checksum)
}

/// The longest valid prefix of a file.
pub(crate) struct Scan {
    /// The records, each a part of the content.
    pub(crate) records: Vec<Bytes>,
    /// Length of the valid prefix in bytes.
    pub(crate) length: u64,
    /// Checksum of the last valid frame.
    pub(crate) checksum: u32,
}

/// Reads frames up to the first one that is torn, corrupt or missing.
pub(crate) fn scan(content: &Bytes) -> Scan {
    let mut valid = Scan { records: Vec::new(), length: 0, checksum: INITIAL_CHECKSUM };
    let mut rest = &content[..];
    while let Some((record, checksum)) = read_frame(rest, valid.checksum) {
        let frame_bytes = HEADER_BYTES + record.len();
        valid.records.push(content.slice_ref(record));
        valid.length += frame_bytes as u64;
        valid.checksum = checksum;
        rest = &rest[frame_bytes..];
    }
    valid
}

fn read_frame(content: &[u8], previous_checksum: u32) -> Option<(&[u8], u32)> {
    let (length, after_length) = content.split_first_chunk::<4>()?;
    let (checksum, after_header) = after_length.split_first_chunk::<4>()?;
    let record_length = u32::from_le_bytes(*length).checked_sub(1)? as usize;
    let record = after_header.get(..record_length)?;
    let checksum = u32::from_le_bytes(*checksum);
    let matches = checksum == frame_checksum(previous_checksum, *length, &[record]);
    matches.then_some((record, checksum))
}

fn frame_checksum(previous_checksum: u32, length: [u8; 4], parts: &[&[u8]]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&previous_checksum.to_le_bytes());
    hasher.update(&length);
    parts.iter().for_each(|part| hasher.update(part));
    hasher.finalize()
}
