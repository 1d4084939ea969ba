//! The check of commit titles that README.md tells to set up.
#![allow(missing_docs)]

use rstest::rstest;
use std::path::Path;
use std::process::Command;

/// Whether the check lets a message pass.
fn passes(name: &str, message: &str) -> bool {
    let file = std::env::temp_dir().join(format!("switchhill-title-{}-{name}", std::process::id()));
    std::fs::write(&file, message).expect("written");
    let check = Path::new(env!("CARGO_MANIFEST_DIR")).join(".githooks/commit-msg");
    let status = Command::new("sh").arg(check).arg(&file).status().expect("sh runs");
    std::fs::remove_file(&file).expect("removed");
    status.success()
}

#[rstest]
#[case::short("short", "a".repeat(20), true)]
#[case::longest("longest", "a".repeat(89), true)]
#[case::too_long("too-long", "a".repeat(90), false)]
#[case::counted_in_characters("characters", "\u{e9}".repeat(89), true)]
#[case::after_a_comment("comment", format!("# {}\n\n{}", "c".repeat(200), "a".repeat(89)), true)]
#[case::with_a_long_body("body", format!("title\n\n{}", "b".repeat(200)), true)]
fn a_title_of_ninety_characters_or_more_is_rejected(
    #[case] name: &str,
    #[case] message: String,
    #[case] expected: bool,
) {
    assert_eq!(passes(name, &message), expected);
}
