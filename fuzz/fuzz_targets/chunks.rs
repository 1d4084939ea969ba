//! A body in chunks, cut anywhere: what is taken is never more than what came, and a cut changes nothing.
#![no_main]

use libfuzzer_sys::fuzz_target;
use switchhill::net::http1::{Chunks, Rest};

fuzz_target!(|input: (u8, Vec<u8>)| {
    let (cut, bytes) = input;
    let mut whole = Rest::Chunked(Chunks::default());
    let mut body = Vec::new();
    let used = whole.take(&bytes, &mut body);
    let mut pieces = Rest::Chunked(Chunks::default());
    let (mut read, mut at, mut end) = (Vec::new(), 0, 0);
    let step = usize::from(cut).max(1);
    while end < bytes.len() {
        end = (end + step).min(bytes.len());
        match pieces.take(&bytes[at..end], &mut read) {
            Ok(n) => at += n,
            Err(_) => {
                assert!(used.is_err());
                return;
            }
        }
    }
    if let Ok(used) = used {
        assert!(used <= bytes.len());
        assert_eq!((at, read), (used, body));
    }
});
