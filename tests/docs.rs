//! The pages and the code say the same.

use fulmardrift::{EVENTS, KEYS, TEAM_KEYS};

#[test]
fn every_event_is_in_the_catalogue_and_no_other() {
    let page = include_str!("../docs/events.md");
    for event in EVENTS {
        let row = format!("| {} | {:?} | {} |", event.code, event.level, event.name);
        assert!(page.contains(&row), "missing: {row}");
    }
    let rows = page
        .lines()
        .filter(|l| l.starts_with("| ") && l.as_bytes()[2].is_ascii_digit());
    assert_eq!(rows.count(), EVENTS.len());
    let mut codes: Vec<u16> = EVENTS.iter().map(|e| e.code).collect();
    codes.dedup();
    assert_eq!(codes.len(), EVENTS.len(), "a code is used twice");
}

#[test]
fn every_setting_is_on_its_page_with_range_and_default() {
    let page = include_str!("../docs/settings.md");
    let fixed = KEYS.iter().map(|spec| (spec.name.to_owned(), spec));
    let teams = TEAM_KEYS
        .iter()
        .map(|spec| (format!("teams.NAME.{}", spec.name), spec));
    for (name, spec) in fixed.chain(teams) {
        let row = page.lines().find(|l| l.starts_with(&format!("| {name} |")));
        let row = row.unwrap_or_else(|| panic!("missing: {name}"));
        assert!(row.contains(&spec.kind.accepted_values()), "{row}");
        assert!(
            row.contains(spec.default) && row.contains(spec.help),
            "{row}"
        );
        assert!(
            spec.default.is_empty()
                || fulmardrift::check_setting("", &sample(&name), spec.default).is_ok()
        );
    }
}

fn sample(name: &str) -> String {
    name.replace("NAME", "desk")
}

#[test]
fn every_example_file_is_fine() {
    for file in std::fs::read_dir("examples/local").unwrap() {
        let path = file.unwrap().path();
        fulmardrift::Config::read(&path).unwrap();
    }
}

#[test]
fn every_test_and_trace_named_for_a_promise_exists() {
    let page = include_str!("../docs/promises.md");
    let mut named = 0;
    for word in page.split(|c: char| !(c.is_ascii_alphanumeric() || matches!(c, ':' | '_'))) {
        let Some((file, test)) = word.split_once("::") else {
            continue;
        };
        let source = std::fs::read_to_string(format!("tests/{file}.rs")).unwrap();
        assert!(source.contains(&format!("fn {test}()")), "{word}");
        named += 1;
    }
    assert!(named > 30, "{named}");
    assert!(
        !page.contains("|  |") && !page.contains("| |"),
        "an empty cell"
    );
}
