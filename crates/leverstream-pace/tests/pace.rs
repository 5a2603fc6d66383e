//! The bucket and the back-off.

use leverstream_pace::{Backoff, TokenBucket};
use rand::SeedableRng;
use rand::rngs::StdRng;

#[test]
fn a_bucket_gives_its_burst_and_then_its_rate() {
    let mut bucket = TokenBucket::new(10.0, 5.0, 0);
    let taken = (0..1_000).filter(|ms| bucket.try_take(*ms)).count();
    assert!((14..=15).contains(&taken), "{taken}");
    // A clock that goes back gives nothing.
    assert!(!bucket.try_take(0));
}

#[test]
fn waits_double_up_to_the_limit_with_jitter() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut backoff = Backoff::new(100, 1_000);
    let waits: Vec<u64> = (0..8).map(|_| backoff.next_delay_ms(&mut rng)).collect();
    assert!(
        (50..=100).contains(&waits[0])
            && waits[4..].iter().all(|wait| (500..=1_000).contains(wait))
    );
    backoff.reset();
    assert!(backoff.next_delay_ms(&mut rng) <= 100);
}
