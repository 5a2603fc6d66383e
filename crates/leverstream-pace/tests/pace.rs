//! Tests the token bucket and the exponential backoff.

use leverstream_pace::{Backoff, TokenBucket};
use rand::SeedableRng;
use rand::rngs::StdRng;

#[test]
fn token_bucket_allows_its_burst_and_then_its_rate() {
    let mut bucket = TokenBucket::new(10.0, 5.0, 0);
    let taken = (0..1_000).filter(|ms| bucket.try_take(*ms)).count();
    assert!((14..=15).contains(&taken), "{taken}");
    // A clock that goes backwards adds no tokens.
    assert!(!bucket.try_take(0));
}

#[test]
fn backoff_doubles_with_jitter_up_to_the_limit() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut backoff = Backoff::new(100, 1_000);
    let delays_ms: Vec<u64> = (0..8).map(|_| backoff.next_delay_ms(&mut rng)).collect();
    assert!(
        (50..=100).contains(&delays_ms[0])
            && delays_ms[4..].iter().all(|delay_ms| (500..=1_000).contains(delay_ms))
    );
    backoff.reset();
    assert!(backoff.next_delay_ms(&mut rng) <= 100);
}
