use super::read_first;
use googletest::prelude::*;
use std::future::Future;
use std::path::PathBuf;
use std::time::Duration;

const WHOLE: &str = "nodeName: m-1\nip: 127.0.0.1\nzone: here\nportRange: [7000, 7001]\n";

/// A path of its own, whose file is removed at the end.
struct File(PathBuf);

impl File {
    fn new(name: &str) -> File {
        File(std::env::temp_dir().join(format!("switchhill-first-settings-{}-{name}", std::process::id())))
    }

    fn write(&self, text: &str) {
        std::fs::write(&self.0, text).expect("written");
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    runtime.expect("a runtime").block_on(test)
}

#[gtest]
fn a_file_that_its_writer_finishes_a_little_later_is_read_whole() {
    for (name, first) in [("missing", None), ("empty", Some("")), ("cut", Some("nodeName: m-1\nip: 127.0."))]
    {
        let file = File::new(name);
        if let Some(first) = first {
            file.write(first);
        }
        let finish = async {
            tokio::time::sleep(Duration::from_millis(300)).await;
            file.write(WHOLE);
        };
        let (read, ()) = run(async { tokio::join!(read_first(&file.0), finish) });
        expect_that!(read.expect("it is whole by now").node_name, eq("m-1"), "{name}");
    }
}

#[gtest]
fn a_fault_that_stays_is_told_in_one_line_with_file_line_and_field() {
    let file = File::new("faulty");
    file.write(&WHOLE.replace("[7000, 7001]", "[7000, many]"));
    let error = run(read_first(&file.0)).expect_err("the ports are wrong").to_string();
    expect_that!(error.lines().count(), eq(1), "{error}");
    expect_that!(error, contains_substring("line 4"));
}
