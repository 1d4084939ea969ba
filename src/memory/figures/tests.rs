//! Counters by class: escaping of names, values, and the limit on classes.

use super::{Gauges, Metrics, Outcome};

#[test]
fn a_class_that_is_removed_and_added_again_keeps_its_counts() {
    let mut metrics = Metrics::default();
    metrics.set_classes(["a", "b"].into_iter());
    metrics.count(metrics.slot(1).expect("configured"), Outcome::Busy);
    metrics.set_classes(["a"].into_iter());
    assert_eq!(metrics.slot(1), None);
    metrics.set_classes(["c", "b", "a"].into_iter());
    metrics.count(metrics.slot(1).expect("configured"), Outcome::Busy);
    let text = metrics.render(Gauges { inflight: 3, hosts_listed: 2, hosts_down: 1 });
    assert!(text.contains("edge_relay.calls.b.busy:2|c\n"), "{text}");
    assert!(text.contains("edge_relay.inflight:3|g\n") && text.contains("hosts_down:1|g\n"), "{text}");
}

#[test]
fn special_characters_in_names_are_escaped_without_collisions() {
    let mut metrics = Metrics::default();
    metrics.set_classes(["a.b", "a b", "a\n:1|c", "%2e"].into_iter());
    let text = metrics.render(Gauges::default());
    assert_eq!(text.lines().count(), 4 * 3 + 6, "{text}");
    for line in text.lines() {
        let (name, value) = line.split_once(':').expect("a value");
        assert!(name.starts_with("edge_relay.") && matches!(value, "0|c" | "0|g"), "{line}");
    }
    let mut names: Vec<&str> = text.lines().collect();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), 18);
}

#[test]
fn the_number_of_classes_with_counters_is_bounded() {
    let mut metrics = Metrics::default();
    for n in 0..2000 {
        let name = format!("class-{n}");
        metrics.set_classes(["kept", name.as_str()].into_iter());
        metrics.count(0, Outcome::Success);
    }
    assert!(metrics.classes.len() <= super::MAX_CLASSES);
    assert!(metrics.render(Gauges::default()).contains("calls.kept.success:2000|c"));
}
