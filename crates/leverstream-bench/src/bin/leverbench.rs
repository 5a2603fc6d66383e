//! Measures: gray failures, load, slopes.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;
use leverstream_bench::load::Way;
use leverstream_bench::{decide, gray, load, wide};

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
        /// Only the chosen policy and the shift of work alone
        chosen: bool,
        /// Where to draw the plots
        #[bpaf(argument("FOLDER"), optional)]
        plots: Option<PathBuf>,
    },
    /// Runs the matrix of a gateway's decisions and prints its tables
    #[bpaf(command)]
    Decide {
        /// How many seeds
        #[bpaf(argument("COUNT"), fallback(5))]
        seeds: u64,
    },
    /// Runs services of thousands of backend servers and prints a table
    #[bpaf(command)]
    Wide {
        /// How many seeds
        #[bpaf(argument("COUNT"), fallback(2))]
        seeds: u64,
    },
    /// Compares requests through a daemon with the same requests straight to a backend server
    #[bpaf(command)]
    Load {
        /// The backend server
        #[bpaf(argument("ADDRESS"))]
        direct: SocketAddr,
        /// The daemon
        #[bpaf(argument("ADDRESS"))]
        via: SocketAddr,
        /// The service
        #[bpaf(argument("SERVICE"))]
        service: String,
        /// The path
        #[bpaf(argument("PATH"), fallback("/".to_owned()))]
        path: String,
        /// Requests a second, several with commas between
        #[bpaf(argument("RATES"), fallback("500".to_owned()))]
        rates: String,
        /// How long to send at each rate
        #[bpaf(argument("COUNT"), fallback(5))]
        seconds: u64,
        /// The daemon's process, to count its processor time
        #[bpaf(argument("PID"), optional)]
        pid: Option<u32>,
    },
    /// Opens idle connections and tells their cost in memory
    #[bpaf(command)]
    Idle {
        /// The daemon
        #[bpaf(argument("ADDRESS"))]
        at: SocketAddr,
        /// How many
        #[bpaf(argument("COUNT"), fallback(10_000))]
        count: usize,
        /// The daemon's process
        #[bpaf(argument("PID"))]
        pid: u32,
    },
}

/// Runs one measurement.
fn main() {
    match command().run() {
        Command::Gray { seeds, threads, chosen, plots } => {
            let policies = if chosen { &gray::POLICIES[..2] } else { &gray::POLICIES[..] };
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
        Command::Decide { seeds } => println!("{}", decide::table(seeds)),
        Command::Wide { seeds } => println!("{}", wide::table(seeds)),
        Command::Load { direct, via, service, path, rates, seconds, pid } => {
            let way =
                |name, address| Way { name, address, service: service.clone(), path: path.clone() };
            let rates: Vec<f64> = rates.split(',').filter_map(|rate| rate.parse().ok()).collect();
            let (direct, via) = (way("direct", direct), way("leverstream", via));
            actix_rt::System::new().block_on(load::compare(&direct, &via, &rates, seconds, pid));
        }
        Command::Idle { at, count, pid } => {
            actix_rt::System::new().block_on(load::idle(at, count, pid));
        }
    }
}
