//! Operators' edits of the table: conflicts, lost and late writes, platform outages and restores, and invalid edits.

use leverstream_standin::platform::Faults;
use leverstream_table::Change;
use leverstream_tests::{Fleet, change, until};
use serde_json::json;

/// A row that is valid without backend servers.
fn row() -> serde_json::Value {
    json!({ "taken_over": true })
}

/// A change that applies only while the cell still has the value `was`.
fn conditional_change(cell: &str, was: serde_json::Value, to: serde_json::Value) -> Change {
    Change { was: Some(was), ..change(cell, to) }
}

#[actix_rt::test]
async fn of_two_concurrent_edits_of_a_cell_one_conflicts_and_names_the_stored_value() {
    let fleet = Fleet::start(&["a", "b"]).await;
    fleet.add_service("shop", row(), &[]).await;
    let (one, two) = (&fleet.daemons[0], &fleet.daemons[1]);
    let first = [conditional_change("shop.queue", json!(64), json!(10))];
    let second = [conditional_change("shop.queue", json!(64), json!(20))];
    let (first, second) = futures_util::future::join(
        one.edit("edit-1", "ann", &first),
        two.edit("edit-2", "ben", &second),
    )
    .await;
    let mut statuses = [first.0, second.0];
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409], "{first:?} {second:?}");
    let (refused, stored_value) = if first.0 == 409 { (first.1, "20") } else { (second.1, "10") };
    assert_eq!(refused["error"], "edit-conflict");
    assert_eq!(refused["outcome"], "not-run");
    assert!(
        refused["detail"].as_str().is_some_and(|text| text.contains(stored_value)),
        "{refused}"
    );
    assert_eq!(fleet.platform.doc("shop").await.expect("the service is stored").version, 2);
}

#[actix_rt::test]
async fn concurrent_edits_of_different_cells_are_both_stored() {
    let fleet = Fleet::start(&["a", "b"]).await;
    fleet.add_service("shop", row(), &[]).await;
    let first = [conditional_change("shop.queue", json!(64), json!(10))];
    let second = [conditional_change("shop.floor_percent", json!(50), json!(70))];
    let (first, second) = futures_util::future::join(
        fleet.daemons[0].edit("edit-1", "ann", &first),
        fleet.daemons[1].edit("edit-2", "ben", &second),
    )
    .await;
    assert_eq!((first.0, second.0), (200, 200), "{first:?} {second:?}");
    let doc = fleet.platform.doc("shop").await.expect("the service is stored");
    assert_eq!((doc.version, doc.row.queue, doc.row.floor_percent), (3, 10, 70));
}

#[actix_rt::test]
async fn an_edit_whose_write_answer_is_lost_is_stored_once_and_reported_as_accepted() {
    let fleet = Fleet::start(&["a"]).await;
    fleet.add_service("shop", row(), &[]).await;
    fleet.platform.set_faults(&Faults { lose_put_answers: 1, ..Faults::default() }).await;
    let changes = [change("shop.queue", json!(7))];
    let (status, body) = fleet.daemons[0].edit("edit-lost", "ann", &changes).await;
    assert_eq!((status, &body["version"]), (200, &json!(2)), "{body}");
    let doc = fleet.platform.doc("shop").await.expect("the service is stored");
    assert_eq!(doc.version, 2);
    assert_eq!(doc.edits.iter().filter(|edit| edit.id == "edit-lost").count(), 1);
    let (status, body) = fleet.daemons[0].edit("edit-lost", "ann", &changes).await;
    assert_eq!((status, &body["landed_before"]), (200, &json!(true)), "{body}");
}

#[actix_rt::test]
async fn an_edit_that_the_platform_writes_late_is_stored_once() {
    let fleet = Fleet::start(&["a"]).await;
    fleet.add_service("shop", row(), &[]).await;
    let late = Faults { late_puts: 1, late_ms: 4_000, ..Faults::default() };
    fleet.platform.set_faults(&late).await;
    let changes = [change("shop.queue", json!(7))];
    let (status, body) = fleet.daemons[0].edit("edit-late", "ann", &changes).await;
    assert_eq!(status, 200, "{body}");
    // The delayed first write arrives after the second has been stored, so its condition no longer holds.
    until("the late write arrives", || async {
        (fleet.platform.counts().await.get("late").copied() == Some(1)).then_some(())
    })
    .await;
    let doc = fleet.platform.doc("shop").await.expect("the service is stored");
    assert_eq!(doc.version, 2);
    assert_eq!(doc.edits.iter().filter(|edit| edit.id == "edit-late").count(), 1);
}

#[actix_rt::test]
async fn edits_during_a_platform_outage_are_refused_and_not_stored() {
    let fleet = Fleet::start(&["a"]).await;
    fleet.add_service("shop", row(), &[]).await;
    fleet.platform.set_faults(&Faults { away: true, ..Faults::default() }).await;
    let changes = [change("shop.queue", json!(7))];
    let (status, body) = fleet.daemons[0].edit("edit-1", "ann", &changes).await;
    assert_eq!((status, &body["error"]), (503, &json!("platform-away")), "{body}");
    assert_eq!(body["outcome"], "not-run");
    fleet.platform.set_faults(&Faults::default()).await;
    assert_eq!(fleet.platform.doc("shop").await.expect("the service is stored").version, 1);
}

#[actix_rt::test]
async fn a_platform_restored_to_an_older_table_is_overwritten_with_the_newer_one() {
    let fleet = Fleet::start(&["a", "b"]).await;
    fleet.add_service("shop", row(), &[]).await;
    fleet.platform.save().await;
    let version = fleet.daemons[0].must_edit(&[change("shop.queue", json!(7))]).await;
    fleet.wait_in_force("shop", version).await;
    fleet.platform.restore().await;
    until("the fleet writes the newer row to the platform", || async {
        let doc = fleet.platform.doc("shop").await?;
        (doc.version == 2 && doc.row.queue == 7).then_some(())
    })
    .await;
    for daemon in &fleet.daemons {
        assert_eq!(daemon.doc("shop").await.expect("the daemon holds the row").row.queue, 7);
    }
    let version = fleet.daemons[1].must_edit(&[change("shop.queue", json!(8))]).await;
    assert_eq!(version, 3);
}

#[actix_rt::test]
async fn an_invalid_edit_gets_a_listed_error_that_names_its_cause() {
    let fleet = Fleet::start(&["a"]).await;
    fleet.add_service("shop", row(), &[("b1", ([127, 0, 0, 1], 9).into())]).await;
    let cases = [
        ("shop.floor_percent", json!(101), 422, "edit-invalid", "shop.floor_percent"),
        ("shop.floor_percent", json!("x"), 422, "edit-invalid", "shop.floor_percent"),
        ("shop.colour", json!(1), 404, "cell-unknown", "shop.colour"),
        ("nothing.queue", json!(1), 404, "cell-unknown", "nothing.queue"),
        ("shop/b2", json!({"address": "127.0.0.1:9"}), 422, "edit-invalid", "b1"),
        ("shop/b1.address", json!("nowhere"), 422, "edit-invalid", "shop/b1.address"),
        ("shop.repeatable", json!(["get /x"]), 422, "edit-invalid", "capitals"),
    ];
    for (cell, to, status, error, hint) in cases {
        let (got, body) = fleet.daemons[0].edit("edit", "ann", &[change(cell, to)]).await;
        assert_eq!((got, &body["error"]), (status, &json!(error)), "{cell}: {body}");
        assert!(body["detail"].as_str().is_some_and(|text| text.contains(hint)), "{body}");
    }
    assert_eq!(fleet.platform.doc("shop").await.expect("the service is stored").version, 1);
}

#[actix_rt::test]
async fn leverctl_reports_conflicts_imports_and_history_by_exit_code_and_text() {
    let fleet = Fleet::start(&["a"]).await;
    let (code, text) = fleet.leverctl(0, &["table", "set", "shop={\"taken_over\":true}"]).await;
    assert_eq!((code, text.trim()), (0, "accepted with version 1"));
    let (code, text) = fleet.leverctl(0, &["table", "set", "--was", "1", "shop.queue=2"]).await;
    assert_eq!(code, 3, "{text}");
    let (_, csv) = fleet.leverctl(0, &["table", "export", "--csv"]).await;
    let file = fleet.folder().join("table.csv");
    std::fs::write(&file, csv.replace(",64,", ",65,")).expect("the file is written");
    let file = file.display().to_string();
    let (code, text) = fleet.leverctl(0, &["table", "diff", &file]).await;
    assert_eq!((code, text.trim()), (0, "shop.queue: 64 -> 65"));
    let (code, text) = fleet.leverctl(0, &["table", "import", &file]).await;
    assert_eq!((code, text.trim()), (0, "accepted with version 2"));
    std::fs::write(&file, csv.replace(",64,", ",66,")).expect("the file is written");
    let (code, text) = fleet.leverctl(0, &["table", "import", &file]).await;
    assert_eq!(code, 3, "{text}");
    let (code, text) = fleet.leverctl(0, &["table", "history", "shop"]).await;
    assert!(code == 0 && text.contains("shop.queue = 65"), "{text}");
    let (_, toml) = fleet.leverctl(0, &["table", "export"]).await;
    assert!(toml.contains("[services.shop.row]") && toml.contains("queue = 65"), "{toml}");
    let (code, _) = fleet.leverctl(0, &["--key", "wrong-key-of-16-chars", "status"]).await;
    assert_ne!(code, 0);
}

#[actix_rt::test]
async fn leverctl_shows_the_fleet_and_completes_its_commands() {
    let fleet = Fleet::start(&["a", "b"]).await;
    fleet.add_service("shop", row(), &[("b1", ([127, 0, 0, 1], 9).into())]).await;
    let (code, text) = fleet.leverctl(0, &["status"]).await;
    assert!(code == 0 && text.contains("shop") && text.contains("2/2"), "{text}");
    let (code, text) = fleet.leverctl(0, &["--json", "status"]).await;
    let report: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!((code, &report["services"]["shop"]["vms_with_it"]), (0, &json!(2)));
    let (code, text) = fleet.leverctl(0, &["health", "shop"]).await;
    assert!(code == 0 && text.contains("b1") && text.contains("serving"), "{text}");
    let (code, text) =
        fleet.leverctl(0, &["top", "--rounds", "2", "--every-ms", "10", "shop"]).await;
    assert!(code == 0 && text.matches("BACKEND").count() == 2, "{text}");
    let (code, text) = fleet.leverctl(0, &["health", "nothing"]).await;
    assert!(code == 1 && text.contains("service-unknown"), "{text}");
    let (_, text) = fleet.leverctl(0, &["--bpaf-complete-style-bash"]).await;
    assert!(text.contains("leverctl"), "{text}");
}
