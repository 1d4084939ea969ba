//! Tests of the frames.

use super::frames::{frame, read_frame, Kind, HEAD, KINDS, MOST_PAYLOAD};
use proptest::prelude::*;

proptest! {
    #[test]
    fn a_frame_comes_back_whole_and_never_before_its_end(kind in 0..5usize, payload: Vec<u8>, cut: prop::sample::Index) {
        let bytes = frame(KINDS[kind], &payload).expect("small");
        prop_assert_eq!(read_frame(&bytes), Ok(Some((KINDS[kind], &payload[..], bytes.len()))));
        prop_assert_eq!(read_frame(&bytes[..cut.index(bytes.len())]), Ok(None));
    }

    #[test]
    fn whatever_comes_is_read_without_a_panic(bytes: Vec<u8>) {
        let _ = read_frame(&bytes);
        let _ = postcard::from_bytes::<crate::core::state::State>(&bytes);
    }
}

#[test]
fn other_versions_and_sizes_are_turned_down_before_they_are_waited_for() {
    assert!(frame(Kind::State, &vec![0; MOST_PAYLOAD + 1]).is_none());
    let mut bytes = frame(Kind::Call, b"cordon s-1").expect("small");
    assert!(read_frame(&[9]).is_err());
    bytes[1] = 77;
    assert!(read_frame(&bytes).is_err());
    let mut huge = frame(Kind::State, &[]).expect("small");
    huge[2..HEAD].copy_from_slice(&u32::MAX.to_le_bytes());
    assert!(read_frame(&huge).is_err());
}
