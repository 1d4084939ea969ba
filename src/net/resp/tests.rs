//! Replies of a store, whole, spoilt and cut.

use super::*;
use proptest::prelude::*;
use rstest::rstest;

#[rstest]
#[case::nested(&b"*1\r\n".repeat(200_000))]
#[case::nested_behind_others(&b"*2\r\n:1\r\n".repeat(100_000))]
#[case::nested_maps(&b"%1\r\n+a\r\n".repeat(100_000))]
#[case::nested_attributes(&b"|1\r\n+a\r\n".repeat(100_000))]
#[case::nested_streams(&b"*?\r\n".repeat(100_000))]
#[case::nested_sets(&b"~1\r\n".repeat(100_000))]
#[case::many(b"*2147483647\r\n")]
#[case::long(b"$2147483647\r\nab")]
#[case::endless(b"$999999999999999999999\r\n")]
#[case::negative(b"*-7\r\n")]
#[case::no_sign(b"hello\r\n")]
fn what_no_store_says_is_turned_down_or_waited_for(#[case] bytes: &[u8]) {
    for resp3 in [false, true] {
        assert!(!matches!(decode(bytes, resp3), Ok(Some(_))), "resp3 {resp3}");
    }
}

#[rstest]
#[case::nothing(b"$-1\r\n", false, Reply::Nil)]
#[case::no_execution(b"*-1\r\n", false, Reply::Nil)]
#[case::nothing_3(b"_\r\n", true, Reply::Nil)]
#[case::double_3(b",1.5\r\n", true, Reply::Text("1.5".into()))]
#[case::map_3(b"%1\r\n+proto\r\n:3\r\n", true, Reply::Many(vec![]))]
#[case::number(b":7\r\n", false, Reply::Text("7".into()))]
#[case::error(b"-OOM no\r\n", false, Reply::Error("OOM no".into()))]
#[case::several(b"*2\r\n$1\r\na\r\n$-1\r\n", false, Reply::Many(vec![Reply::Text("a".into()), Reply::Nil]))]
fn answers_are_read(#[case] bytes: &[u8], #[case] resp3: bool, #[case] reply: Reply) {
    assert_eq!(decode(bytes, resp3).expect("an answer"), Some((reply, bytes.len())));
}

proptest! {
    #[test]
    fn no_bytes_are_a_panic_or_longer_than_they_are(bytes: Vec<u8>, resp3: bool) {
        if let Ok(Some((_, used))) = decode(&bytes, resp3) {
            prop_assert!(used > 0 && used <= bytes.len());
        }
    }
}
