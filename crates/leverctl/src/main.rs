//! The operators' command line: it edits the table, shows its history and the state of the fleet, and makes requests as
//! a caller.
//!
//! Exit codes: 0 success, 1 rejected or failed, 2 wrong usage, 3 conflict with another edit, 4 outcome unknown, 5 no VM
//! could be reached.

mod api;
mod args;
mod error;
mod fleet;
mod request;
mod table;

use std::process::ExitCode;

use crate::api::Api;
use crate::args::{Command, options};
use crate::error::CtlError;

/// Runs the command.
fn main() -> ExitCode {
    let options = options().run();
    let result = actix_rt::System::new().block_on(async {
        let api = Api::new(options.at, options.key, options.who);
        run(&api, options.command, options.json).await
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("leverctl: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

/// Runs one command.
async fn run(api: &Api, command: Command, json: bool) -> Result<(), CtlError> {
    match command {
        Command::Table(command) => table::run(api, command, json).await,
        Command::Status => fleet::status(api, json).await,
        Command::Health { service } => fleet::health(api, &service, json).await,
        Command::Top { service, rounds, every_ms } => {
            fleet::top(api, &service, rounds, every_ms).await
        }
        Command::Ask { callers, hall, service } => {
            request::ask(callers, hall.as_deref(), &service).await
        }
        Command::Request(args) => request::request(args, json).await,
    }
}
