//! Tests the table of error kinds and its copy in the documentation for callers.

use std::collections::HashSet;

use leverstream_error::{Kind, Outcome};

/// The table row of a kind in the documentation for callers.
fn table_row(kind: Kind) -> String {
    let answer = kind.answer();
    let after = answer.retry_after_ms.map_or("-".to_owned(), |ms| ms.to_string());
    format!("| `{kind}` | {} | {} | {} | {after} |", answer.status, answer.outcome, answer.next)
}

#[test]
fn documentation_for_callers_lists_exactly_these_kinds() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/callers.md");
    let page = std::fs::read_to_string(path).expect("the page can be read");
    let rows: Vec<String> = Kind::ALL.into_iter().map(table_row).collect();
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        let filled = page.replace("KINDS", &rows.join("\n"));
        std::fs::write(path, filled).expect("the page can be written");
    }
    let page = std::fs::read_to_string(path).expect("the page can be read");
    let rows_on_page: Vec<&str> = page
        .lines()
        .filter(|line| line.starts_with("| `") && line.matches('|').count() == 6)
        .collect();
    assert_eq!(rows_on_page, rows);
}

#[test]
fn kind_names_are_unique_and_parse_back_to_their_kinds() {
    let names: HashSet<String> = Kind::ALL.iter().map(ToString::to_string).collect();
    assert_eq!(names.len(), Kind::ALL.len());
    assert!(Kind::ALL.into_iter().all(|kind| Kind::from_name(&kind.to_string()) == Some(kind)));
}

#[test]
fn server_errors_that_did_not_run_give_a_retry_delay() {
    for kind in Kind::ALL {
        let answer = kind.answer();
        let is_server_error_not_run =
            (500..600).contains(&answer.status) && answer.outcome == Outcome::NotRun;
        assert!(!is_server_error_not_run || answer.retry_after_ms.is_some(), "{kind}");
    }
}

#[test]
fn combined_error_is_not_run_only_if_neither_attempt_ran() {
    for (first, next) in Kind::ALL.into_iter().flat_map(|a| Kind::ALL.map(|b| (a, b))) {
        let combined = first.combined_with(next);
        assert_eq!(
            combined.is_not_run(),
            first.is_not_run() && next.is_not_run(),
            "{first}, {next}"
        );
    }
}
