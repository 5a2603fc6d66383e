//! Measures: gray failures, load, slopes.

use std::path::PathBuf;

use bpaf::Bpaf;
use leverstream_bench::gray;

/// Measures leverstream.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
enum Command {
    /// Runs the matrix of gray failures and prints its tables
    #[bpaf(command)]
    Gray {
        /// How many seeds
        #[bpaf(argument("COUNT"), fallback(5))]
        seeds: u64,
        /// How many threads
        #[bpaf(argument("COUNT"), fallback(4))]
        threads: usize,
        /// Only the chosen policy
        chosen: bool,
        /// Where to draw the plots
        #[bpaf(argument("FOLDER"), optional)]
        plots: Option<PathBuf>,
    },
}

/// Runs one measurement.
fn main() {
    match command().run() {
        Command::Gray { seeds, threads, chosen, plots } => {
            let policies = if chosen { &gray::POLICIES[..1] } else { &gray::POLICIES[..] };
            let summaries = gray::matrix(seeds, threads, policies);
            println!("{}", gray::tables(&summaries, policies));
            for (index, name) in [(0, "archive-day"), (1, "lookups-day")] {
                if let Some(folder) = &plots
                    && let Err(error) =
                        gray::plot(&summaries, index, &folder.join(format!("{name}.svg")))
                {
                    eprintln!("leverbench: {error}");
                }
            }
        }
    }
}
