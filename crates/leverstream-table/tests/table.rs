//! Tests edits, validation, route rules and files of the table.

use leverstream_table::{
    Address, Applied, BackendRow, Cell, Change, Edit, MAX_DOC_BYTES, RouteRule, ServiceDoc,
    TableError, TableFile, apply, diff, from_csv, to_csv,
};
use proptest::prelude::*;
use serde_json::{Value, json};
use yare::parameterized;

/// An edit that sets these cells.
fn edit(id: &str, cells: &[(&str, Value)]) -> Edit {
    let changes = cells.iter().map(|(cell, to)| Change {
        cell: cell.parse().expect("a cell"),
        was: None,
        to: to.clone(),
    });
    Edit { id: id.to_owned(), who: "ann".to_owned(), changes: changes.collect() }
}

/// The document of a service with one backend server.
fn shop() -> ServiceDoc {
    let rows =
        [("shop", json!({ "taken_over": true })), ("shop/b1", json!({ "address": "10.0.0.1:80" }))];
    applied(apply(None, &edit("first", &rows), 0, 1))
}

/// Returns the document that an edit produced.
fn applied(result: Result<Applied, TableError>) -> ServiceDoc {
    match result {
        Ok(Applied::New(doc)) => *doc,
        other => panic!("the edit is not applied: {other:?}"),
    }
}

#[test]
fn repeated_edit_is_applied_once() {
    let doc = shop();
    let again = apply(Some(&doc), &edit("first", &[("shop.queue", json!(1))]), 9, 2);
    assert_eq!(again, Ok(Applied::Duplicate(1)));
}

#[test]
fn new_version_exceeds_the_highest_seen_version() {
    let doc = applied(apply(Some(&shop()), &edit("second", &[("shop.queue", json!(1))]), 41, 2));
    assert_eq!(doc.version, 42);
}

#[test]
fn change_of_a_cell_with_another_value_is_a_conflict_with_operator_and_value() {
    let doc = applied(apply(Some(&shop()), &edit("second", &[("shop.queue", json!(7))]), 0, 2));
    let mut stale = edit("third", &[("shop.queue", json!(8))]);
    stale.changes[0].was = Some(json!(64));
    let error = apply(Some(&doc), &stale, 0, 3).expect_err("the edit is rejected");
    let expected = TableError::Conflict {
        cell: "shop.queue".to_owned(),
        who: "ann".to_owned(),
        value: json!(7),
    };
    assert_eq!(error, expected);
}

#[test]
fn validation_returns_all_faults_at_once() {
    let invalid = [
        ("shop.floor_percent", json!(101)),
        ("shop.deadline_ms", json!(0)),
        ("shop/b1.slots", json!(0)),
        ("shop/b2", json!({ "address": "0.0.0.0:80" })),
    ];
    let Err(TableError::Invalid(faults)) = apply(Some(&shop()), &edit("bad", &invalid), 0, 2)
    else {
        panic!("the edit is not rejected as invalid");
    };
    let places: Vec<&str> = faults.0.iter().map(|fault| fault.place.as_str()).collect();
    assert_eq!(
        places,
        ["shop.floor_percent", "shop.deadline_ms", "shop/b1.slots", "shop/b2.address"]
    );
}

#[test]
fn document_above_the_size_limit_is_rejected() {
    let mut doc = shop();
    for number in 0..MAX_DOC_BYTES / 100 {
        let address = Address(
            format!("10.1.{}.{}:80", number / 250, number % 250).parse().expect("an address"),
        );
        let row = BackendRow { address, ..doc.backends["b1"].clone() };
        doc.backends.insert(format!("c{number}"), row);
    }
    assert!(matches!(doc.validate(), Err(TableError::Invalid(_))));
}

#[test]
fn removed_service_leaves_a_tombstone_with_a_higher_version() {
    let doc = applied(apply(Some(&shop()), &edit("gone", &[("shop", Value::Null)]), 0, 2));
    assert!(doc.removed && doc.backends.is_empty() && doc.version == 2);
}

#[parameterized(
    plain = { "GET /games/*", "GET", "/games/7", true },
    other_method = { "GET /games/*", "POST", "/games/7", false },
    any_method = { "* /games/*", "POST", "/games/7", true },
    exact_path = { "GET /games", "GET", "/games/7", false },
    parent_segment = { "GET /games/*", "GET", "/games/../orders", false },
    encoded_parent_segment = { "GET /games/*", "GET", "/games/%2E%2e/orders", false },
    double_slash = { "GET /games/*", "GET", "/games//orders", false },
)]
fn route_rule_matches_method_and_path(rule: &str, method: &str, path: &str, expected: bool) {
    let rule = RouteRule::try_from(rule.to_owned()).expect("a rule");
    assert_eq!(rule.matches(method, path), expected);
}

#[parameterized(
    lower_case = { "get /x" }, no_path = { "GET" }, query = { "GET /x?y" }, inner_wildcard = { "GET /*/x" },
    relative = { "GET x" }, two_spaces = { "GET  /x" },
)]
fn invalid_route_rules_are_rejected(rule: &str) {
    assert!(RouteRule::try_from(rule.to_owned()).is_err());
}

proptest! {
    #[test]
    fn rows_round_trip_through_toml_and_csv(weight in 0_u32..10_000, slots in 1_u32..10_000, queue in 0_u32..1_000, floor in 0_u8..=100) {
        let cells = [
            ("shop/b1.weight", json!(weight)), ("shop/b1.slots", json!(slots)),
            ("shop.queue", json!(queue)), ("shop.floor_percent", json!(floor)),
        ];
        let doc = applied(apply(Some(&shop()), &edit("second", &cells), 0, 2));
        let files = [
            TableFile::from_toml(&TableFile::from_docs([&doc]).to_toml()).expect("TOML"),
            from_csv(&to_csv([&doc])).expect("CSV"),
        ];
        for file in files {
            let parsed = file.into_docs().remove(0);
            prop_assert_eq!(diff(&doc, &parsed), vec![]);
            prop_assert_eq!(parsed.version, 2);
        }
    }

    #[test]
    fn applying_a_diff_gives_the_rows_of_the_other_document(weight in 0_u32..10_000, queue in 0_u32..1_000) {
        let from = shop();
        let cells = [
            ("shop/b1.weight", json!(weight)), ("shop.queue", json!(queue)),
            ("shop/b2", json!({ "address": "10.0.0.2:80" })),
        ];
        let to = applied(apply(Some(&from), &edit("second", &cells), 0, 2));
        let changes = diff(&from, &to);
        let edit = Edit { id: "third".to_owned(), who: "ben".to_owned(), changes };
        let edited = applied(apply(Some(&from), &edit, 0, 3));
        prop_assert_eq!((edited.row, edited.backends), (to.row, to.backends));
    }

    #[test]
    fn parsers_do_not_panic_on_arbitrary_text(text in ".{0,200}") {
        let _ = text.parse::<Cell>();
        let _ = RouteRule::try_from(text.clone());
        let _ = TableFile::from_toml(&text);
        let _ = from_csv(&text);
        let _ = ServiceDoc::from_json(text.as_bytes());
    }
}
