//! Checks that all decisions of a gateway VM use the one clock that advances while the machine is suspended.

use std::path::Path;

/// Names in the source that read other clocks, which stop while the machine is suspended or jump.
const OTHER_CLOCKS: [&str; 3] = ["Instant::now", "SystemTime", "unix_ms"];

/// Files that set timers by another clock: the code they wake reads the one clock before it acts.
const FILES_WITH_TIMERS: [&str; 1] = ["evidence.rs"];

#[test]
fn decision_code_reads_no_clock_that_stops_or_jumps() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let decide = ["core", "gateway", "health", "member", "route", "suspect", "workspace"];
    let folders = decide.map(|name| crates.join(format!("leverstream-{name}/src")));
    let mut files: Vec<_> = folders.iter().flat_map(|folder| files_below(folder)).collect();
    files.extend(files_below(&crates.join("../platform/src")));
    assert!(files.len() > 50, "the sources are found");
    for file in files {
        let name = file.file_name().and_then(|name| name.to_str()).expect("a name");
        let text = std::fs::read_to_string(&file).expect("the source can be read");
        let found = OTHER_CLOCKS.iter().find(|other| text.contains(**other));
        assert!(
            found.is_none() || FILES_WITH_TIMERS.contains(&name),
            "{}: {found:?}",
            file.display()
        );
    }
}

/// Returns all Rust sources below a folder.
fn files_below(folder: &Path) -> Vec<std::path::PathBuf> {
    let entries = std::fs::read_dir(folder).expect("the folder can be read");
    let paths = entries.map(|entry| entry.expect("an entry").path());
    paths
        .flat_map(|path| if path.is_dir() { files_below(&path) } else { vec![path] })
        .filter(|path| path.extension().is_some_and(|extension| extension == "rs"))
        .collect()
}
