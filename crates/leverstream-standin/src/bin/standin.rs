//! Runs a stand-in as a process and prints the address that it listens on.

use std::net::SocketAddr;

use bpaf::Bpaf;
use leverstream_standin::{backend, platform};

/// Runs one of leverstream's stand-ins.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
enum Command {
    /// Runs the platform.
    #[bpaf(command)]
    Platform {
        /// Where to listen.
        #[bpaf(argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
        listen: SocketAddr,
    },
    /// Runs a backend server.
    #[bpaf(command)]
    Backend {
        /// Where to listen.
        #[bpaf(argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
        listen: SocketAddr,
        /// Its name.
        #[bpaf(argument("NAME"), fallback("backend".to_owned()))]
        name: String,
        /// How many requests it runs at once.
        #[bpaf(argument("COUNT"), fallback(2))]
        slots: usize,
    },
}

/// Runs the stand-in until it is killed.
#[actix_web::main]
async fn main() -> std::io::Result<()> {
    let (address, server) = match command().run() {
        Command::Platform { listen } => platform::bind(listen)?,
        Command::Backend { listen, name, slots } => backend::bind(listen, &name, slots)?,
    };
    println!("{address}");
    server.await
}
