//! Checks that the pages of the documentation agree with the code.

use fulmardrift::{EVENTS, KEYS, TEAM_KEYS};

#[test]
fn the_event_page_lists_exactly_the_events() {
    let page = include_str!("../docs/events.md");
    for event in EVENTS {
        let row = format!("| {} | {:?} | {} |", event.code, event.level, event.name);
        assert!(page.contains(&row), "not on the page: {row}");
    }
    let rows = page
        .lines()
        .filter(|line| line.starts_with("| ") && line.as_bytes()[2].is_ascii_digit());
    assert_eq!(rows.count(), EVENTS.len());
    let mut codes: Vec<u16> = EVENTS.iter().map(|event| event.code).collect();
    codes.dedup();
    assert_eq!(codes.len(), EVENTS.len(), "a code is used twice");
}

#[test]
fn the_settings_page_lists_every_key_with_values_default_and_help() {
    let page = include_str!("../docs/settings.md");
    let keys = KEYS.iter().map(|spec| (spec.name.to_owned(), spec));
    let team_keys = TEAM_KEYS
        .iter()
        .map(|spec| (format!("teams.NAME.{}", spec.name), spec));
    for (name, spec) in keys.chain(team_keys) {
        let row = page
            .lines()
            .find(|line| line.starts_with(&format!("| {name} |")));
        let row = row.unwrap_or_else(|| panic!("not on the page: {name}"));
        assert!(row.contains(&spec.kind.accepted_values()), "{row}");
        assert!(
            row.contains(spec.default) && row.contains(spec.help),
            "{row}"
        );
        assert!(
            spec.default.is_empty()
                || fulmardrift::check_setting("", &example_key(&name), spec.default).is_ok()
        );
    }
}

/// Returns a settings key for a name on the page, with a team's name filled in.
fn example_key(name: &str) -> String {
    name.replace("NAME", "desk")
}

#[test]
fn every_example_configuration_is_valid() {
    for file in std::fs::read_dir("examples/local").unwrap() {
        let path = file.unwrap().path();
        fulmardrift::Config::read(&path).unwrap();
    }
}

#[test]
fn every_test_named_on_the_promises_page_exists() {
    let page = include_str!("../docs/promises.md");
    let mut found = 0;
    for word in page.split(|c: char| !(c.is_ascii_alphanumeric() || matches!(c, ':' | '_' | '/'))) {
        let Some((file, test)) = word.split_once("::") else {
            continue;
        };
        let source = std::fs::read_to_string(format!("tests/{file}.rs")).unwrap();
        assert!(
            source.contains(&format!("fn {test}()")),
            "no such test: {word}"
        );
        found += 1;
    }
    assert!(found > 30, "{found}");
    assert!(
        !page.contains("|  |") && !page.contains("| |"),
        "a table has an empty cell"
    );
}
