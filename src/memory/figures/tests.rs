//! Counts by class: names, values, and how many are kept.

use super::{Gauges, Metrics, Outcome};

#[test]
fn a_class_that_is_dropped_and_comes_back_goes_on_counting() {
    let mut figures = Metrics::default();
    figures.set_classes(["a", "b"].into_iter());
    figures.count(figures.slot(1).expect("named"), Outcome::Busy);
    figures.set_classes(["a"].into_iter());
    assert_eq!(figures.slot(1), None);
    figures.set_classes(["c", "b", "a"].into_iter());
    figures.count(figures.slot(1).expect("named"), Outcome::Busy);
    let text = figures.render(Gauges { inflight: 3, hosts_listed: 2, hosts_down: 1 });
    assert!(text.contains("edge_relay.calls.b.busy:2|c\n"), "{text}");
    assert!(text.contains("edge_relay.inflight:3|g\n") && text.contains("hosts_down:1|g\n"), "{text}");
}

#[test]
fn awkward_names_break_neither_lines_nor_each_other() {
    let mut figures = Metrics::default();
    figures.set_classes(["a.b", "a b", "a\n:1|c", "%2e"].into_iter());
    let text = figures.render(Gauges::default());
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
fn names_seen_once_do_not_pile_up() {
    let mut figures = Metrics::default();
    for n in 0..2000 {
        let name = format!("class-{n}");
        figures.set_classes(["kept", name.as_str()].into_iter());
        figures.count(0, Outcome::Success);
    }
    assert!(figures.classes.len() <= super::MOST_CLASSES);
    assert!(figures.render(Gauges::default()).contains("calls.kept.success:2000|c"));
}
