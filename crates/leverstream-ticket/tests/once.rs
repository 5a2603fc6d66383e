//! Tickets and the ledger: what may begin, wait, be refused or forgotten.

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

/// How long tickets hold here.
const TTL_MS: u64 = 100;

/// A mint of a process.
fn mint(home: u64) -> TicketIssuer {
    TicketIssuer::new(home, TTL_MS, &mut StdRng::seed_from_u64(home))
}

/// A ledger with room.
fn ledger() -> Arc<Ledger> {
    Ledger::new(LedgerSettings { max_requests: 1_000, max_answer_bytes: 1_000 })
}

/// An answer of some bytes.
fn answer(bytes: usize) -> StoredResult {
    StoredResult::Answer(Arc::new(Reply {
        status: 200,
        headers: Vec::new(),
        body: vec![0; bytes].into(),
    }))
}

/// Begins work at a time.
fn begin(
    ledger: &Arc<Ledger>,
    mint: &TicketIssuer,
    ticket: &Ticket,
    key: &str,
    now_ms: u64,
) -> BeginOutcome {
    ledger.begin(mint, ticket, key, [0; 32], || now_ms)
}

/// Begins work that must be the first.
fn run(
    ledger: &Arc<Ledger>,
    mint: &TicketIssuer,
    ticket: &Ticket,
    key: &str,
    now_ms: u64,
) -> RunGuard {
    match begin(ledger, mint, ticket, key, now_ms) {
        BeginOutcome::Run(guard) => guard,
        BeginOutcome::Wait(_) => panic!("it waits"),
        BeginOutcome::Refuse(kind) => panic!("refused: {kind}"),
    }
}

#[test]
fn tickets_hold_for_their_time_at_their_home_only() {
    let (home, other) = (mint(1), mint(2));
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
fn work_that_did_not_run_frees_its_key_and_all_else_keeps_it() {
    let (mint, ledger) = (mint(1), ledger());
    let ticket = Ticket { stem: mint.stem(0), nonce: 5 };
    run(&ledger, &mint, &ticket, "a", 1).finish(StoredResult::Failed(Kind::QueueFull));
    run(&ledger, &mint, &ticket, "a", 2).finish(StoredResult::Failed(Kind::AnswerTimeout));
    assert!(matches!(begin(&ledger, &mint, &ticket, "a", 3), BeginOutcome::Wait(_)));
    drop(run(&ledger, &mint, &ticket, "b", 4));
    assert!(matches!(begin(&ledger, &mint, &ticket, "b", 5), BeginOutcome::Wait(_)));
}

#[tokio::test(flavor = "current_thread")]
async fn who_waits_hears_of_the_end_even_after_the_ticket_expired() {
    let (mint, ledger) = (mint(1), ledger());
    let ticket = Ticket { stem: mint.stem(0), nonce: 5 };
    let guard = run(&ledger, &mint, &ticket, "a", 1);
    let BeginOutcome::Wait(waiter) = begin(&ledger, &mint, &ticket, "a", 2) else {
        panic!("it waits")
    };
    ledger.remove_expired(TTL_MS);
    guard.finish(answer(1));
    assert_eq!(waiter.wait().await, answer(1));
    assert!(ledger.is_empty() && ledger.answer_bytes() == 0);
}

#[tokio::test(flavor = "current_thread")]
async fn answers_spill_but_that_work_ran_stays_known() {
    let (mint, ledger) = (mint(1), ledger());
    let ticket = Ticket { stem: mint.stem(0), nonce: 5 };
    for key in ["a", "b", "c"] {
        run(&ledger, &mint, &ticket, key, 1).finish(answer(400));
    }
    assert!(ledger.answer_bytes() <= 1_000);
    let BeginOutcome::Wait(oldest) = begin(&ledger, &mint, &ticket, "a", 2) else {
        panic!("it is known")
    };
    assert_eq!(oldest.wait().await, StoredResult::Dropped);
    let BeginOutcome::Wait(last) = begin(&ledger, &mint, &ticket, "c", 2) else {
        panic!("it is known")
    };
    assert_eq!(last.wait().await, answer(400));
}

#[test]
fn the_clock_is_read_inside_the_ledgers_lock() {
    // A process paused before the lock would enter with an old time after its work was forgotten.
    let (mint, ledger) = (mint(1), ledger());
    let ticket = Ticket { stem: mint.stem(0), nonce: 5 };
    run(&ledger, &mint, &ticket, "a", 1).finish(answer(1));
    let clock = Cell::new(1_u64);
    let now_ms = || {
        // Whatever time passes before the lock is held has passed when the clock is read.
        clock.set(clock.get() + TTL_MS);
        clock.get()
    };
    let late = ledger.begin(&mint, &ticket, "a", [0; 32], now_ms);
    assert!(matches!(late, BeginOutcome::Refuse(Kind::TicketExpired)));
}

/// What happens to a ledger.
#[derive(Clone, Debug)]
enum Step {
    /// Work of a key arrives.
    Arrive(u8),
    /// The oldest running work ends, well or not, perhaps without having run.
    End(u8),
    /// Time passes.
    Pass(u64),
}

/// Any step.
fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0_u8..4).prop_map(Step::Arrive),
        (0_u8..3).prop_map(Step::End),
        (0_u64..60).prop_map(Step::Pass),
    ]
}

proptest! {
    #[test]
    fn no_key_of_a_ticket_runs_twice(steps in prop::collection::vec(step(), 1..80)) {
        let (mint, ledger) = (mint(1), ledger());
        let ticket = Ticket { stem: mint.stem(0), nonce: 5 };
        let mut now_ms = 0;
        let mut running: Vec<(u8, RunGuard)> = Vec::new();
        let mut ran: HashMap<u8, u32> = HashMap::new();
        for step in steps {
            match step {
                Step::Pass(ms) => now_ms += ms,
                Step::Arrive(key) => {
                    if let BeginOutcome::Run(guard) = begin(&ledger, &mint, &ticket, &key.to_string(), now_ms) {
                        prop_assert!(now_ms < TTL_MS);
                        *ran.entry(key).or_default() += 1;
                        running.push((key, guard));
                    }
                }
                Step::End(how) if !running.is_empty() => {
                    let (key, guard) = running.remove(0);
                    match how {
                        0 => guard.finish(answer(300)),
                        1 => guard.finish(StoredResult::Failed(Kind::AnswerCut)),
                        _ => {
                            *ran.entry(key).or_default() -= 1;
                            guard.finish(StoredResult::Failed(Kind::Shed));
                        }
                    }
                }
                Step::End(_) => {}
            }
            prop_assert!(ran.values().all(|runs| *runs <= 1));
            prop_assert!(ledger.answer_bytes() <= 1_000);
        }
    }

    #[test]
    fn tickets_survive_their_text_and_nothing_else_passes(home: u64, minted_ms: u64, nonce: u64, tag: [u8; 16], text in ".{0,120}") {
        let ticket = Ticket { stem: Stem { home, minted_ms, tag }, nonce };
        prop_assert_eq!(Ticket::parse(&ticket.to_string()), Some(ticket));
        let _ = Ticket::parse(&text);
        let guessed = Ticket { stem: Stem { home: 1, minted_ms: 0, tag }, nonce };
        prop_assert_eq!(mint(1).check(&guessed, 0), Err(TicketError::Invalid));
    }
}
