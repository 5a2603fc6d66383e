//! The checks of settings files and the local replica of the table.

use leverstream_node::{Settings, TableReplica};
use leverstream_table::ServiceDoc;
use yare::parameterized;

/// A valid settings file with only the required keys.
const VALID: &str = r#"
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

/// Returns the faults in a settings file, one per line.
fn faults(text: &str) -> String {
    Settings::from_toml(text).err().map(|error| error.to_string()).unwrap_or_default()
}

#[test]
fn a_file_with_the_required_keys_is_valid_and_the_example_lacks_only_secrets() {
    assert_eq!(faults(VALID), "");
    let example = Settings::example().to_toml();
    assert_eq!(
        faults(&example),
        "peers.key: must have at least 16 characters\noperators.key: must have at least 16 characters"
    );
}

#[test]
fn one_error_lists_all_faults_in_keys_and_types() {
    let text = VALID
        .replace("vm = \"vm-1\"", "vmm = \"x\"")
        .replace("listen = \"127.0.0.1:0\"\n[peers]", "listen = 7\nthreads = \"two\"\n[peers]");
    let faults = faults(&text);
    for location in [
        "vmm: is not a known key",
        "vm: is missing",
        "callers.listen: has the type integer",
        "callers.threads: has the type string",
    ] {
        assert!(faults.contains(location), "`{location}` is missing in {faults}");
    }
}

#[parameterized(
    address = { "listen = \"127.0.0.1:0\"\n[peers]", "listen = \"here\"\n[peers]", "callers.listen: must be an IP address" },
    key = { "key = \"sixteen characters\"\n[operators]", "key = \"short\"\n[operators]", "peers.key: must have at least 16" },
    picker = { "[platform]", "[traffic]\npicker = \"best\"\n[platform]", "traffic.picker: must be one of" },
    level = { "[platform]", "[log]\nlevel = \"loud\"\n[platform]", "log.level: must be off" },
    times = { "[platform]", "[times]\nticket_ttl_ms = 1\n[platform]", "times.ticket_ttl_ms: must be at least twice" },
    syntax = { "[platform]", "[platform", "file: TOML parse error at line" },
)]
fn a_fault_names_its_key(from: &str, to: &str, expected: &str) {
    let faults = faults(&VALID.replace(from, to));
    assert!(faults.contains(expected), "{faults}");
}

/// Creates an empty document of a service with a version.
fn doc(service: &str, version: u64) -> ServiceDoc {
    ServiceDoc { version, ..ServiceDoc::empty(service) }
}

#[test]
fn replicas_with_the_same_highest_versions_have_equal_fingerprints_in_any_order() {
    let (mut one, mut two) = (TableReplica::new(), TableReplica::new());
    for (service, version) in [("a", 1), ("b", 5), ("a", 3), ("a", 2), ("b", 5)] {
        one.merge(doc(service, version));
    }
    assert_eq!((one.version("a"), one.version("b")), (3, 5));
    assert!(!one.merge(doc("a", 3)) && !one.merge(doc("b", 4)));
    two.merge(doc("b", 5));
    assert_ne!(one.fingerprint(), two.fingerprint());
    let versions = one.versions_differing(two.buckets());
    assert_eq!(two.outdated(&versions), ["a"]);
    two.merge(doc("a", 3));
    assert_eq!(one.fingerprint(), two.fingerprint());
    assert!(one.versions_differing(two.buckets()).is_empty());
}
