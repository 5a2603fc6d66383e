//! Tests which requests run, wait for a duplicate or are rejected, and when their records are removed.

use std::cell::Cell;
use std::collections::HashMap;
use std::sync::Arc;

use leverstream_error::Kind;
use leverstream_ticket::{
    BeginOutcome, Ledger, LedgerSettings, Reply, RunGuard, Stem, StoredResult, Ticket, TicketError,
    TicketIssuer,
};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// How long tickets are valid in these tests.
const TTL_MS: u64 = 100;

/// The ticket issuer of one process, with a secret derived from its id.
fn issuer(home: u64) -> TicketIssuer {
    TicketIssuer::new(home, TTL_MS, &mut StdRng::seed_from_u64(home))
}

/// A ledger for 1000 requests and 1000 bytes of answers.
fn ledger() -> Arc<Ledger> {
    Ledger::new(LedgerSettings { max_requests: 1_000, max_answer_bytes: 1_000 })
}

/// A stored answer with a body of this size.
fn answer(bytes: usize) -> StoredResult {
    StoredResult::Answer(Arc::new(Reply {
        status: 200,
        headers: Vec::new(),
        body: vec![0; bytes].into(),
    }))
}

/// Begins a request at this time.
fn begin(
    ledger: &Arc<Ledger>,
    issuer: &TicketIssuer,
    ticket: &Ticket,
    key: &str,
    now_ms: u64,
) -> BeginOutcome {
    ledger.begin(issuer, ticket, key, [0; 32], || now_ms)
}

/// Begins a request that must be the first with its key.
fn run(
    ledger: &Arc<Ledger>,
    issuer: &TicketIssuer,
    ticket: &Ticket,
    key: &str,
    now_ms: u64,
) -> RunGuard {
    match begin(ledger, issuer, ticket, key, now_ms) {
        BeginOutcome::Run(guard) => guard,
        BeginOutcome::Wait(_) => panic!("the request is a duplicate"),
        BeginOutcome::Refuse(kind) => panic!("the request is refused: {kind}"),
    }
}

#[test]
fn ticket_is_valid_only_at_its_home_and_until_it_expires() {
    let (home, other) = (issuer(1), issuer(2));
    let ticket = Ticket { stem: home.stem(10), nonce: 5 };
    assert_eq!(home.check(&ticket, 10), Ok(()));
    assert_eq!(home.check(&ticket, 109), Ok(()));
    assert_eq!(home.check(&ticket, 110), Err(TicketError::Expired));
    assert_eq!(home.check(&ticket, 9), Err(TicketError::Invalid));
    assert_eq!(other.check(&ticket, 10), Err(TicketError::OtherHome(1)));
    let same_home_restarted = TicketIssuer::new(1, TTL_MS, &mut StdRng::seed_from_u64(9));
    assert_eq!(same_home_restarted.check(&ticket, 10), Err(TicketError::Invalid));
}

#[test]
fn key_is_free_again_only_after_a_request_that_did_not_run() {
    let (issuer, ledger) = (issuer(1), ledger());
    let ticket = Ticket { stem: issuer.stem(0), nonce: 5 };
    run(&ledger, &issuer, &ticket, "a", 1).finish(StoredResult::Failed(Kind::QueueFull));
    run(&ledger, &issuer, &ticket, "a", 2).finish(StoredResult::Failed(Kind::AnswerTimeout));
    assert!(matches!(begin(&ledger, &issuer, &ticket, "a", 3), BeginOutcome::Wait(_)));
    drop(run(&ledger, &issuer, &ticket, "b", 4));
    assert!(matches!(begin(&ledger, &issuer, &ticket, "b", 5), BeginOutcome::Wait(_)));
}

#[tokio::test(flavor = "current_thread")]
async fn waiting_duplicate_receives_the_result_after_the_ticket_expired() {
    let (issuer, ledger) = (issuer(1), ledger());
    let ticket = Ticket { stem: issuer.stem(0), nonce: 5 };
    let guard = run(&ledger, &issuer, &ticket, "a", 1);
    let BeginOutcome::Wait(waiter) = begin(&ledger, &issuer, &ticket, "a", 2) else {
        panic!("the duplicate does not wait")
    };
    ledger.remove_expired(TTL_MS);
    guard.finish(answer(1));
    assert_eq!(waiter.wait().await, answer(1));
    assert!(ledger.is_empty() && ledger.answer_bytes() == 0);
}

#[tokio::test(flavor = "current_thread")]
async fn evicted_answers_leave_the_record_that_their_requests_ran() {
    let (issuer, ledger) = (issuer(1), ledger());
    let ticket = Ticket { stem: issuer.stem(0), nonce: 5 };
    for key in ["a", "b", "c"] {
        run(&ledger, &issuer, &ticket, key, 1).finish(answer(400));
    }
    assert!(ledger.answer_bytes() <= 1_000);
    let BeginOutcome::Wait(oldest) = begin(&ledger, &issuer, &ticket, "a", 2) else {
        panic!("the request is not recorded")
    };
    assert_eq!(oldest.wait().await, StoredResult::Dropped);
    let BeginOutcome::Wait(last) = begin(&ledger, &issuer, &ticket, "c", 2) else {
        panic!("the request is not recorded")
    };
    assert_eq!(last.wait().await, answer(400));
}

#[test]
fn begin_reads_the_clock_while_it_holds_the_lock() {
    // With a time read before the lock was taken, a paused process would accept an expired ticket
    // whose request ran and was removed during the pause, and run it twice.
    let (issuer, ledger) = (issuer(1), ledger());
    let ticket = Ticket { stem: issuer.stem(0), nonce: 5 };
    run(&ledger, &issuer, &ticket, "a", 1).finish(answer(1));
    let clock = Cell::new(1_u64);
    let now_ms = || {
        // The ticket expires before the lock is taken, so the clock shows it as expired.
        clock.set(clock.get() + TTL_MS);
        clock.get()
    };
    let outcome = ledger.begin(&issuer, &ticket, "a", [0; 32], now_ms);
    assert!(matches!(outcome, BeginOutcome::Refuse(Kind::TicketExpired)));
}

/// One event of a random sequence.
#[derive(Clone, Debug)]
enum Step {
    /// A request with this key arrives.
    Arrive(u8),
    /// The oldest running request finishes: answered (0), with an unknown outcome (1) or not run (2).
    Finish(u8),
    /// This many milliseconds pass.
    Elapse(u64),
}

/// Generates an arbitrary step.
fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0_u8..4).prop_map(Step::Arrive),
        (0_u8..3).prop_map(Step::Finish),
        (0_u64..60).prop_map(Step::Elapse),
    ]
}

proptest! {
    #[test]
    fn no_key_of_a_ticket_runs_twice(steps in prop::collection::vec(step(), 1..80)) {
        let (issuer, ledger) = (issuer(1), ledger());
        let ticket = Ticket { stem: issuer.stem(0), nonce: 5 };
        let mut now_ms = 0;
        let mut running: Vec<(u8, RunGuard)> = Vec::new();
        let mut ran: HashMap<u8, u32> = HashMap::new();
        for step in steps {
            match step {
                Step::Elapse(ms) => now_ms += ms,
                Step::Arrive(key) => {
                    if let BeginOutcome::Run(guard) = begin(&ledger, &issuer, &ticket, &key.to_string(), now_ms) {
                        prop_assert!(now_ms < TTL_MS);
                        *ran.entry(key).or_default() += 1;
                        running.push((key, guard));
                    }
                }
                Step::Finish(result) if !running.is_empty() => {
                    let (key, guard) = running.remove(0);
                    match result {
                        0 => guard.finish(answer(300)),
                        1 => guard.finish(StoredResult::Failed(Kind::AnswerCut)),
                        _ => {
                            *ran.entry(key).or_default() -= 1;
                            guard.finish(StoredResult::Failed(Kind::Shed));
                        }
                    }
                }
                Step::Finish(_) => {}
            }
            prop_assert!(ran.values().all(|runs| *runs <= 1));
            prop_assert!(ledger.answer_bytes() <= 1_000);
        }
    }

    #[test]
    fn tickets_round_trip_through_text_and_forged_tags_are_rejected(home: u64, issued_ms: u64, nonce: u64, tag: [u8; 16], text in ".{0,120}") {
        let ticket = Ticket { stem: Stem { home, issued_ms, tag }, nonce };
        prop_assert_eq!(Ticket::parse(&ticket.to_string()), Some(ticket));
        let _ = Ticket::parse(&text);
        let guessed = Ticket { stem: Stem { home: 1, issued_ms: 0, tag }, nonce };
        prop_assert_eq!(issuer(1).check(&guessed, 0), Err(TicketError::Invalid));
    }
}
