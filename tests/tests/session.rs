//! End-to-end sessions of callers and operators, compared with golden files.

use awc::http::Method;
use leverstream_caller::CallRequest;
use leverstream_standin::backend::Report;
use leverstream_tests::{Backend, Fleet, change, until};
use serde_json::json;

/// The transcript of a session, compared with a golden file at its end.
struct Transcript {
    /// The lines, with addresses replaced by names.
    lines: Vec<String>,
    /// Replacements: an address and the name that stands for it.
    names: Vec<(String, String)>,
}

impl Transcript {
    /// Adds a line, with addresses replaced by names.
    fn note(&mut self, line: &str) {
        let named =
            self.names.iter().fold(line.to_owned(), |text, (from, to)| text.replace(from, to));
        self.lines.push(named);
    }

    /// Compares the lines with a golden file; writes the file first if `UPDATE_GOLDEN` is set.
    fn check(&self, name: &str) {
        let path = format!("{}/golden/{name}.txt", env!("CARGO_MANIFEST_DIR"));
        let text = self.lines.join("\n") + "\n";
        if std::env::var_os("UPDATE_GOLDEN").is_some() {
            std::fs::write(&path, &text).expect("the golden file is written");
        }
        let golden = std::fs::read_to_string(&path).expect("the golden file is there");
        assert_eq!(text, golden, "the session differs from {path}");
    }
}

#[actix_rt::test]
async fn an_edit_of_an_address_takes_effect_on_every_daemon() {
    let fleet = Fleet::start(&["hall-a", "hall-b", "hall-c"]).await;
    let (one, two) = (Backend::start("one", 2), Backend::start("two", 2));
    let mut transcript = Transcript { lines: Vec::new(), names: Vec::new() };
    transcript.names.extend([
        (one.address.to_string(), "ADDRESS-ONE".to_owned()),
        (two.address.to_string(), "ADDRESS-TWO".to_owned()),
    ]);

    let row = format!("archive={}", json!({ "taken_over": true, "repeatable": ["GET /*"] }));
    let backend = format!("archive/b1={}", json!({ "address": one.address.to_string() }));
    let (code, text) = fleet.leverctl(0, &["table", "set", &row, &backend]).await;
    transcript.note(&format!("leverctl table set archive archive/b1 -> {code}: {}", text.trim()));
    fleet.wait_in_force("archive", 1).await;
    record_answers(&fleet, &mut transcript, "one").await;

    let cell = format!("archive/b1.address={}", two.address);
    let (code, text) = fleet.leverctl(2, &["table", "set", &cell]).await;
    transcript.note(&format!("leverctl table set {cell} -> {code}: {}", text.trim()));
    fleet.wait_in_force("archive", 2).await;
    record_answers(&fleet, &mut transcript, "two").await;

    let (code, text) = fleet.leverctl(1, &["table", "show", "archive"]).await;
    transcript.note(&format!("leverctl table show archive -> {code}:"));
    text.lines().for_each(|line| transcript.note(line));
    transcript.check("edit-moves-service");
}

/// Asks each daemon for addresses, sends a request to one, and records which backend server answers.
async fn record_answers(fleet: &Fleet, transcript: &mut Transcript, wanted: &str) {
    for (index, daemon) in fleet.daemons.iter().enumerate() {
        let mut caller = daemon.caller("archive");
        let answer = until("the daemon names three addresses", || async {
            let answer = daemon.caller("archive").ask().await.ok()?;
            (answer.addresses.len() == 3).then_some(answer)
        })
        .await;
        transcript.note(&format!(
            "vm-{index}: ask archive -> {} addresses, taken over: {}",
            answer.addresses.len(),
            answer.taken_over
        ));
        let body = until("the wanted backend server answers", || {
            caller.invalidate_answer();
            let mut caller = daemon.caller("archive");
            async move {
                let work = CallRequest {
                    method: Method::GET,
                    path: "/games/7".to_owned(),
                    body: "".into(),
                    timeout_ms: 5_000,
                };
                let reply = caller.call(&work).await.ok()?;
                let report: Report = serde_json::from_slice(&reply.body).ok()?;
                (report.backend == wanted).then_some(report)
            }
        })
        .await;
        transcript.note(&format!(
            "vm-{index}: {} {} -> answered by {}",
            body.method, body.path, body.backend
        ));
    }
}

#[actix_rt::test]
async fn callers_of_a_service_not_taken_over_get_its_script_addresses() {
    let fleet = Fleet::start(&["hall-a"]).await;
    let row = json!({ "taken_over": false, "script_addresses": ["127.0.0.1:9"] });
    fleet.add_service("lobby", row, &[]).await;
    let answer = fleet.daemons[0].caller("lobby").ask().await.expect("an answer");
    assert!(!answer.taken_over);
    assert_eq!(answer.addresses[0].address.to_string(), "127.0.0.1:9");
    assert_eq!(answer.addresses[0].ticket, None);
    let version = fleet.daemons[0].must_edit(&[change("lobby.taken_over", json!(true))]).await;
    assert_eq!(version, 2);
}
