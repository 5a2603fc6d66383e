//! Runs the simulations and load tests of leverstream.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;
use leverstream_bench::load::Endpoint;
use leverstream_bench::{decide, gray, load, wide};

/// Runs simulations and load tests of leverstream.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
enum Command {
    /// Simulates the matrix of gray failures and prints its tables
    #[bpaf(command)]
    Gray {
        /// Number of seeds
        #[bpaf(argument("COUNT"), fallback(5))]
        seeds: u64,
        /// Number of threads
        #[bpaf(argument("COUNT"), fallback(4))]
        threads: usize,
        /// Only the leverstream policy and load shifting without ejection
        chosen: bool,
        /// Folder for the plots
        #[bpaf(argument("FOLDER"), optional)]
        plots: Option<PathBuf>,
    },
    /// Simulates how gateway VMs choose backend servers and prints the tables
    #[bpaf(command)]
    Decide {
        /// Number of seeds
        #[bpaf(argument("COUNT"), fallback(5))]
        seeds: u64,
    },
    /// Simulates services with thousands of backend servers and prints a table
    #[bpaf(command)]
    Wide {
        /// Number of seeds
        #[bpaf(argument("COUNT"), fallback(2))]
        seeds: u64,
    },
    /// Compares requests via a daemon with requests directly to a backend server
    #[bpaf(command)]
    Load {
        /// Address of the backend server
        #[bpaf(argument("ADDRESS"))]
        direct: SocketAddr,
        /// Address of the daemon
        #[bpaf(argument("ADDRESS"))]
        via: SocketAddr,
        /// Name of the service
        #[bpaf(argument("SERVICE"))]
        service: String,
        /// Path of the requests
        #[bpaf(argument("PATH"), fallback("/".to_owned()))]
        path: String,
        /// Request rates per second, separated by commas
        #[bpaf(argument("RATES"), fallback("500".to_owned()))]
        rates: String,
        /// Duration at each rate, in seconds
        #[bpaf(argument("COUNT"), fallback(5))]
        seconds: u64,
        /// Process ID of the daemon, to measure its CPU time
        #[bpaf(argument("PID"), optional)]
        pid: Option<u32>,
    },
    /// Opens idle connections and prints their memory cost
    #[bpaf(command)]
    Idle {
        /// Address of the daemon
        #[bpaf(argument("ADDRESS"))]
        at: SocketAddr,
        /// Number of connections
        #[bpaf(argument("COUNT"), fallback(10_000))]
        count: usize,
        /// Process ID of the daemon
        #[bpaf(argument("PID"))]
        pid: u32,
    },
}

/// Runs one subcommand.
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
            let endpoint = |name, address| Endpoint {
                name,
                address,
                service: service.clone(),
                path: path.clone(),
            };
            let rates: Vec<f64> = rates.split(',').filter_map(|rate| rate.parse().ok()).collect();
            let (direct, via) = (endpoint("direct", direct), endpoint("leverstream", via));
            actix_rt::System::new().block_on(load::compare(&direct, &via, &rates, seconds, pid));
        }
        Command::Idle { at, count, pid } => {
            actix_rt::System::new().block_on(load::measure_idle(at, count, pid));
        }
    }
}
