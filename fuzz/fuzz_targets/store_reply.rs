//! What a store answers, in either version, cut anywhere: the client goes on whatever it is.
#![no_main]

use libfuzzer_sys::fuzz_target;
use std::collections::BTreeMap;
use switchhill::net::resp::decode;
use switchhill_store::{Client, Told};

fuzz_target!(|input: (bool, Vec<Vec<u8>>)| {
    let (resp3, answers) = input;
    let told = Told {
        prefix: "p".into(),
        timeout: 200.0,
        period: 1000.0,
        gateways: 2,
        ordinal: 0,
        seed: 7,
        addresses: 2,
        auth: None,
        resp3,
    };
    let (mut client, mut now) = (Client::new(told, 0.0), 0.0);
    for bytes in answers {
        now += 130.0;
        client.turn(now, BTreeMap::from([(7, (1.0, 4.0))]));
        client.connected(now);
        let mut rest = &bytes[..];
        while let Ok(Some((reply, used))) = decode(rest, resp3) {
            assert!(used > 0 && used <= rest.len());
            rest = &rest[used..];
            client.reply(now, reply);
        }
    }
});
