//! Simulates services with so many backend servers that each receives a request only every few seconds.
//!
//! The model has thousands of backend servers in five data halls and dozens of VMs. Requests reach only a part of the
//! backend servers before what is known of them expires. At any time, a third of the backend servers are in an
//! episode of errors, independently of each other. The model drives the production types.

mod figures;
mod run;
mod service;
mod state;

pub use figures::Figures;
pub use run::run;
pub use service::{SERVICES, Service, Workload};

use std::fmt::Write;

/// Runs each service with the seeds 1 to `seeds` and returns a Markdown table.
pub fn table(seeds: u64) -> String {
    let mut out = String::from(
        "| service | failed, once (%) | failed, again (%) | late (%) | p99, once (ms) | opened a request | far (%) | in use \
         | told a request (B) |\n|---|---|---|---|---|---|---|---|---|\n",
    );
    std::thread::scope(|scope| {
        let rows = SERVICES.iter().map(|service| {
            let run_seeds = move || (1..=seeds).map(|seed| run(service, seed)).collect::<Vec<_>>();
            (service.name, scope.spawn(run_seeds))
        });
        // Collecting starts all threads before the first one is joined.
        let rows: Vec<_> = rows.collect();
        for (name, row) in rows {
            let all = row.join().expect("the model does not panic");
            // Writing to a string cannot fail.
            let _ = writeln!(out, "| {name} | {} |", Figures::mean(&all));
        }
    });
    out
}
