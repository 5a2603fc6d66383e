//! The closed list of kinds and its page for callers.

use std::collections::HashSet;

use leverstream_error::{Kind, Outcome};

/// The line of a kind on the callers' page.
fn line(kind: Kind) -> String {
    let answer = kind.answer();
    let after = answer.retry_after_ms.map_or("-".to_owned(), |ms| ms.to_string());
    format!("| `{kind}` | {} | {} | {} | {after} |", answer.status, answer.outcome, answer.next)
}

#[test]
fn the_callers_page_has_exactly_these_kinds() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/callers.md");
    let page = std::fs::read_to_string(path).expect("the page is there");
    let lines: Vec<String> = Kind::ALL.into_iter().map(line).collect();
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        let filled = page.replace("KINDS", &lines.join("\n"));
        std::fs::write(path, filled).expect("the page is written");
    }
    let page = std::fs::read_to_string(path).expect("the page is there");
    let on_page: Vec<&str> = page
        .lines()
        .filter(|line| line.starts_with("| `") && line.matches('|').count() == 6)
        .collect();
    assert_eq!(on_page, lines);
}

#[test]
fn names_tell_kinds_apart_and_lead_back_to_them() {
    let names: HashSet<String> = Kind::ALL.iter().map(ToString::to_string).collect();
    assert_eq!(names.len(), Kind::ALL.len());
    assert!(Kind::ALL.into_iter().all(|kind| Kind::from_name(&kind.to_string()) == Some(kind)));
}

#[test]
fn what_may_be_retried_alike_says_when_to_come_back() {
    for kind in Kind::ALL {
        let answer = kind.answer();
        let is_own_fault = (500..600).contains(&answer.status) && answer.outcome == Outcome::NotRun;
        assert!(!is_own_fault || answer.retry_after_ms.is_some(), "{kind}");
    }
}

#[test]
fn two_attempts_have_not_run_only_if_neither_has() {
    for (first, next) in Kind::ALL.into_iter().flat_map(|a| Kind::ALL.map(|b| (a, b))) {
        let both = first.combined_with(next);
        assert_eq!(both.is_not_run(), first.is_not_run() && next.is_not_run(), "{first}, {next}");
    }
}
