//! Settings files and the table that a process holds.

use leverstream_node::{Book, Settings};
use leverstream_table::ServiceDoc;
use yare::parameterized;

/// A settings file that holds together.
const GOOD: &str = r#"
vm = "vm-1"
hall = "hall-1"
[callers]
listen = "127.0.0.1:0"
[peers]
listen = "127.0.0.1:0"
key = "sixteen characters"
[operators]
listen = "127.0.0.1:0"
key = "sixteen characters"
[platform]
url = "http://127.0.0.1:1"
"#;

/// The faults of a file, a line each.
fn faults(text: &str) -> String {
    Settings::from_toml(text).err().map(|error| error.to_string()).unwrap_or_default()
}

#[test]
fn a_short_file_is_enough_and_the_example_is_a_whole_one() {
    assert_eq!(faults(GOOD), "");
    let example = Settings::example().to_toml();
    assert_eq!(
        faults(&example),
        "peers.key: give at least 16 characters\noperators.key: give at least 16 characters"
    );
}

#[test]
fn every_fault_is_told_at_once_with_its_place() {
    let text = GOOD
        .replace("vm = \"vm-1\"", "vmm = \"x\"")
        .replace("listen = \"127.0.0.1:0\"\n[peers]", "listen = 7\nthreads = \"two\"\n[peers]");
    let faults = faults(&text);
    for place in [
        "vmm: is no key",
        "vm: is missing",
        "callers.listen: is a integer",
        "callers.threads: is a string",
    ] {
        assert!(faults.contains(place), "{place} in {faults}");
    }
}

#[parameterized(
    address = { "listen = \"127.0.0.1:0\"\n[peers]", "listen = \"here\"\n[peers]", "callers.listen: give an IP address" },
    key = { "key = \"sixteen characters\"\n[operators]", "key = \"short\"\n[operators]", "peers.key: give at least 16" },
    picker = { "[platform]", "[traffic]\npicker = \"best\"\n[platform]", "traffic.picker: give one of" },
    level = { "[platform]", "[log]\nlevel = \"loud\"\n[platform]", "log.level: give off" },
    times = { "[platform]", "[times]\nticket_ttl_ms = 1\n[platform]", "times.ticket_ttl_ms: give at least twice" },
    syntax = { "[platform]", "[platform", "file: TOML parse error at line" },
)]
fn faults_name_their_place(from: &str, to: &str, wanted: &str) {
    let faults = faults(&GOOD.replace(from, to));
    assert!(faults.contains(wanted), "{faults}");
}

/// A version of a service.
fn doc(service: &str, version: u64) -> ServiceDoc {
    ServiceDoc { version, ..ServiceDoc::empty(service) }
}

#[test]
fn the_highest_version_stays_and_tables_compare_whatever_the_order() {
    let (mut one, mut two) = (Book::open(), Book::open());
    for (service, version) in [("a", 1), ("b", 5), ("a", 3), ("a", 2), ("b", 5)] {
        one.adopt(doc(service, version));
    }
    assert_eq!((one.version("a"), one.version("b")), (3, 5));
    assert!(!one.adopt(doc("a", 3)) && !one.adopt(doc("b", 4)));
    two.adopt(doc("b", 5));
    assert_ne!(one.fingerprint(), two.fingerprint());
    let versions = one.versions_differing(two.buckets());
    assert_eq!(two.outdated(&versions), ["a"]);
    two.adopt(doc("a", 3));
    assert_eq!(one.fingerprint(), two.fingerprint());
    assert!(one.versions_differing(two.buckets()).is_empty());
}
