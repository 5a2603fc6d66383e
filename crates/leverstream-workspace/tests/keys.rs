//! API keys: how credentials are parsed, and how long knowledge of keys stays valid.

use leverstream_workspace::{
    Credentials, CredentialsError, KeyHasher, Lease, Workspace, Workspaces,
};
use yare::parameterized;

/// Creates the key hasher of one fleet.
fn hasher() -> KeyHasher {
    KeyHasher::derive("a fleet")
}

/// Creates one workspace with one key.
fn workspaces() -> Workspaces {
    let keys = vec![hasher().digest(b"the-key")];
    let workspace = Workspace { name: "one".to_owned(), rank: 0, allotment: None, keys };
    Workspaces::build(vec![workspace]).expect("they are sound")
}

#[parameterized(
    as_usual = { &["Bearer the-key"], Ok(()) },
    any_case = { &["bEARER   the-key "], Ok(()) },
    none = { &[], Err(CredentialsError::Missing) },
    another_key = { &["Bearer other-key"], Err(CredentialsError::Unknown) },
    its_start = { &["Bearer the-ke"], Err(CredentialsError::Unknown) },
    another_scheme = { &["Basic the-key"], Err(CredentialsError::Malformed) },
    no_scheme = { &["the-key"], Err(CredentialsError::Malformed) },
    no_key = { &["Bearer "], Err(CredentialsError::Malformed) },
    two_words = { &["Bearer the-key the-key"], Err(CredentialsError::Malformed) },
    a_list = { &["Bearer the-key,Bearer the-key"], Err(CredentialsError::Malformed) },
    twice = { &["Bearer the-key", "Bearer the-key"], Err(CredentialsError::Malformed) },
    no_text = { &["Bearer the-key\u{7f}"], Err(CredentialsError::Malformed) },
)]
fn only_a_single_complete_bearer_key_is_accepted(
    values: &[&str],
    expected: Result<(), CredentialsError>,
) {
    let credentials = Credentials::read(values.iter().map(|value| value.as_bytes()), &hasher());
    assert_eq!(credentials.workspace(&workspaces()).map(|_| ()), expected);
    assert!(!format!("{credentials:?}").contains("the-key"));
}

/// How long a removed key may go on working, in milliseconds.
const REVOKE_MS: u64 = 5_000;

#[test]
fn a_lease_ends_before_the_revocation_deadline() {
    let mut lease = Lease::open(REVOKE_MS);
    assert!(!lease.holds(0));
    assert!(lease.renew(1_000, 0));
    assert!(lease.holds(1_000) && lease.holds(5_400));
    assert!(!lease.holds(5_500));
}

#[test]
fn the_age_of_an_answer_counts_from_its_question() {
    let mut lease = Lease::open(REVOKE_MS);
    // Asked at 1,000 ms and answered that the other VM's knowledge was 300 ms old; the answer was read
    // at 4,000 ms, after a freeze.
    assert!(lease.renew(1_000, 300));
    assert_eq!(lease.age_ms(4_000), Some(3_300));
    // An older answer that arrives later changes nothing.
    assert!(!lease.renew(900, 250));
    assert_eq!(lease.age_ms(4_000), Some(3_300));
}

#[test]
fn a_lease_accepts_knowledge_from_before_the_process_start() {
    let mut lease = Lease::open(REVOKE_MS);
    assert!(lease.renew(50, 800));
    assert_eq!(lease.age_ms(60), Some(810));
    assert!(lease.holds(3_700) && !lease.holds(3_760));
}
