//! The parts of a gateway that need no network: waiting, settings.

use leverstream_gateway::{Settings, Waiting};

#[test]
fn the_more_urgent_is_woken_first_and_then_who_came_first() {
    let mut waiting = Waiting::default();
    let numbers = [waiting.number(), waiting.number(), waiting.number()];
    let mut late = waiting.enter(2, numbers[0]);
    let mut first = waiting.enter(0, numbers[1]);
    let mut second = waiting.enter(0, numbers[2]);
    assert!(waiting.has_before(2, numbers[0]));
    assert!(!waiting.has_before(0, numbers[1]));
    waiting.wake(1);
    assert!(first.try_recv().is_ok() && second.try_recv().is_err() && late.try_recv().is_err());
    drop(second);
    assert_eq!(waiting.count(), 1);
    waiting.wake(1);
    assert!(late.try_recv().is_ok());
}

/// Settings that are complete.
const SETTINGS: &str = r#"
vm = "a"
hall = "h1"
region = "r"
[listen]
callers = "127.0.0.1:1"
readiness = "127.0.0.1:2"
directory = "127.0.0.1:3"
peers = "127.0.0.1:4"
metrics = "127.0.0.1:5"
[peers]
seeds = ["127.0.0.1:4"]
[machine]
cores = 0.2
link_mbps = 1000
[store]
address = "127.0.0.1:6"
[retries]
ratio = 0.2
window_s = 10
slack = 62.5
[stop]
grace_s = 6
"#;

#[test]
fn complete_settings_are_read() {
    let settings = Settings::from_toml(SETTINGS).expect("they are complete");
    assert_eq!(settings.allowance().window_ms, 10_000);
    assert_eq!(settings.grace_ms(), 6_000);
}

#[test]
fn settings_at_fault_name_the_field() {
    let cases = [
        ("callers = \"127.0.0.1:1\"", "", "callers"),
        ("slack = 62.5", "slack = \"many\"", "slack"),
        ("slack = 62.5", "slack = -1", "retries.slack"),
        ("ratio = 0.2", "ratio = nan", "retries.ratio"),
        ("window_s = 10", "window_s = 900", "retries.window_s"),
        ("hall = \"h1\"", "hall = \"h1\"\nextra = 1", "extra"),
        ("seeds = [\"127.0.0.1:4\"]", "seeds = [\"nowhere\"]", "seeds"),
    ];
    for (present, instead, named) in cases {
        let text = SETTINGS.replacen(present, instead, 1);
        let error = Settings::from_toml(&text).expect_err("they are refused").to_string();
        assert!(error.contains(named), "{error}");
    }
}
