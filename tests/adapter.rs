//! The adapter from bytes in to bytes out, and the module's limits of size.
#![allow(missing_docs)]

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn drill(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_switchhill-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("starts");
    // A drill that stops at a bad line closes its input early; that is not this helper's concern.
    let _ = child.stdin.take().expect("piped").write_all(input.as_bytes());
    child.wait_with_output().expect("ends")
}

fn text(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).expect("UTF-8")
}

const BOOT: &str = r#"{"kind":"newInstance","i":0,"randomSeed":5,"bootInfo":{"az":0,"balancers":2,"new":{},"discovery":"automatic","familyInfo":{"meterMs":1000.0,"unitsTop":3},"limits":{"cancel":true,"maxAttempts":3,"mayDuplicate":true},"report":{"fields":["tps"],"how":"off"},"requestClasses":[{"effect":"retryable","keyScope":"all","lateValue":0.0,"onTimeMs":1500.0,"windowMs":5000.0,"worth":3.0}],"rules":{"coldShare":0.2,"fallMultiple":2.5,"overloadForMs":1000.0,"warmUpMs":9000.0},"tariffs":[{"mostAtOnce":6.0,"pays":1.0,"rate":2.0}]}}"#;
const LIST: &str = r#"{"kind":"sync","i":0,"how":"SAVED","seqNo":1,"nodesList":[{"backend":"10.1.2.3:8000","campus":0,"familyType":0,"block":0,"state":"Ready","rating":1}]}"#;
const KNOCK: &str = r#"{"kind":"knock","i":0,"ticket":"00608d1f5d3a91c4","fromNo":0,"tariff":0,"entryPoints":2,"caller":4,"budgetMs":900.0,"units":1,"priority":0,"news":1}"#;

fn batch(lines: &[&str]) -> String {
    format!("{{\"kind\":\"beginBatch\",\"timeMs\":5.0}}\n{}\n{{\"kind\":\"go\"}}\n", lines.join("\n"))
}

#[test]
fn framing_from_bytes_to_bytes() {
    let input = format!("{}{}", batch(&[]), batch(&[BOOT, LIST, KNOCK, r#"{"kind":"later","what":1}"#]));
    let done = drill(&input);
    assert!(done.status.success(), "{}", text(&done.stderr));
    let lines: Vec<&str> = text(&done.stdout).lines().collect();
    assert_eq!(lines[0], r#"{"kind":"done"}"#);
    assert_eq!(lines.last(), Some(&r#"{"kind":"done"}"#));
    let attempt =
        r#"{"kind":"attempt","i":0,"ticket":"00608d1f5d3a91c4","tryForMs":900.0,"backend":"10.1.2.3:8000"}"#;
    assert!(lines.contains(&attempt), "{lines:?}");
}

#[test]
fn a_killed_instance_may_start_anew_in_the_same_batch() {
    let kill = r#"{"kind":"kill","i":0}"#;
    let stale = r#"{"kind":"ring","i":0,"tag":1}"#;
    let done = drill(&batch(&[BOOT, LIST, kill, stale, BOOT, LIST, KNOCK]));
    assert!(done.status.success(), "{}", text(&done.stderr));
    assert_eq!(text(&done.stdout).matches("\"attempt\"").count(), 1);
}

#[test]
fn bad_input_names_line_and_field_and_leaves_no_half_reply() {
    let bad = |from: &str, to: &str| batch(&[&BOOT.replace(from, to), LIST, KNOCK]);
    let cases = [
        (
            batch(&[BOOT, LIST, &KNOCK.replace("\"priority\":0", "\"priority\":9")]),
            "line 4: field `priority`",
        ),
        (batch(&[BOOT, LIST, &KNOCK.replace("\"tariff\":0", "\"tariff\":1")]), "line 4: field `tariff`"),
        (batch(&[BOOT, LIST, &KNOCK.replace("900.0", "\"x\"")]), "line 4: field `budgetMs`"),
        (batch(&[BOOT, &LIST.replace("Ready", "Odd")]), "line 3: field `nodesList[0].state`"),
        (batch(&[KNOCK]), "line 2: field `i`"),
        (batch(&[BOOT, "{\"kind\":"]), "line 3: "),
        (bad("\"balancers\":2", "\"balancers\":0"), "line 2: field `bootInfo.balancers`"),
        (bad("\"rate\":2.0", "\"rate\":-2.0"), "line 2: field `bootInfo.tariffs[0].rate`"),
        (bad("\"new\":{}", "\"penalties\":{\"probe\":-1}"), "line 2: field `bootInfo.penalties.probe`"),
        (bad("\"new\":{}", "\"ordinal\":-1"), "line 2: field `bootInfo.ordinal`"),
        (bad("\"worth\":3.0", "\"worth\":true"), "line 2: field `bootInfo.requestClasses[0].worth`"),
        (bad("retryable", "perhaps"), "line 2: field `bootInfo.requestClasses[0].effect`"),
    ];
    for (input, says) in cases {
        let done = drill(&input);
        assert!(!done.status.success(), "{says}");
        assert!(text(&done.stderr).contains(says), "{says}: {}", text(&done.stderr));
        assert!(done.stdout.is_empty(), "{says}: {}", text(&done.stdout));
    }
}

#[test]
fn the_module_stays_within_its_size() {
    let text = include_str!("../src/decision_engine.rs");
    assert!(text.lines().filter(|l| !l.trim().is_empty()).count() <= 1010);
    assert!(text.lines().all(|l| l.chars().count() <= 110));
}
