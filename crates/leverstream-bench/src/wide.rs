//! A service of so many backend servers that each is asked once in seconds, in simulated time.
//!
//! The pattern: thousands of backend servers in five data halls, dozens of VMs, and requests that can reach only a
//! part of the backend servers while what was learned of one still holds. A third of the backend servers are in an
//! episode of errors at any time, each by itself. The model drives the types that serve.

mod figures;
mod run;
mod service;

pub use figures::Figures;
pub use run::run;
pub use service::{SERVICES, Service, Stream};

use std::fmt::Write;

/// Runs each service with some seeds and writes a table as Markdown.
pub fn table(seeds: u64) -> String {
    let mut out = String::from(
        "| service | failed, once (%) | failed, again (%) | late (%) | p99, once (ms) | opened a request | far (%) | in use \
         | told a request (B) |\n|---|---|---|---|---|---|---|---|---|\n",
    );
    std::thread::scope(|scope| {
        let rows = SERVICES.iter().map(|service| {
            let all = move || (1..=seeds).map(|seed| run(service, seed)).collect::<Vec<_>>();
            (service.name, scope.spawn(all))
        });
        // All are begun before the first is waited for.
        let rows: Vec<_> = rows.collect();
        for (name, row) in rows {
            let all = row.join().expect("the model does not panic");
            // Writing to a string cannot fail.
            let _ = writeln!(out, "| {name} | {} |", Figures::mean(&all));
        }
    });
    out
}
