//! Measures the memory and CPU time per ledger entry of a request that must run at most once.

use std::sync::Arc;

use leverstream_ticket::{
    BeginOutcome, Ledger, LedgerSettings, Reply, StoredResult, Ticket, TicketIssuer,
};
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::{AllocatedBytes, TARGET, measure_allocation, print_row, time_us};

/// Measures the memory and CPU time per ledger entry of a request that must run at most once.
pub(super) fn measure_ledger(allocated: AllocatedBytes) {
    const COUNT: usize = 100_000;
    let settings = LedgerSettings { max_requests: 10 * COUNT, max_answer_bytes: 16 << 20 };
    let issuer = TicketIssuer::new(1, 120_000, &mut StdRng::seed_from_u64(1));
    let ticket = Ticket { stem: issuer.stem(0), nonce: 7 };
    let answer = Arc::new(Reply { status: 200, headers: Vec::new(), body: vec![0; 100].into() });
    let ((ledger, begin_us), bytes) = measure_allocation(allocated, || {
        let ledger = Ledger::new(settings);
        let mut number = 0;
        let begin_us = time_us(COUNT as u32, || {
            number += 1;
            let key = format!("{number:032x}");
            if let BeginOutcome::Run(entry) = ledger.begin(&issuer, &ticket, &key, [0; 32], || 1) {
                entry.finish(StoredResult::Answer(Arc::clone(&answer)));
            }
        });
        (ledger, begin_us)
    });
    let entry_bytes = bytes / COUNT as f64;
    let requests_per_s = 0.02 * TARGET.requests_per_s / TARGET.nodes as f64;
    print_row(
        "a ledger entry, kept for its ticket's 120 s",
        &format!("{entry_bytes:.0} B, {begin_us:.1} us"),
        &format!(
            "{requests_per_s:.1} requests/s if 1 in 50 is non-repeatable: {:.1} MB",
            requests_per_s * 120.0 * entry_bytes / 1e6
        ),
    );
    drop(ledger);
}
