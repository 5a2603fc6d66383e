//! The daemon: runs one VM of a fleet with the settings of a file.

mod gateway;
mod signals;

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use leverstream_node::{Node, Settings};
use leverstream_observe::{Traces, init_stderr_log};
use signals::Signals;

/// The exit code for a missing or invalid settings file.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// The exit code for a failure to start.
const EXIT_START_FAILED: u8 = 3;

/// Serves callers as one VM of a leverstream fleet.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Runs the daemon until SIGTERM or SIGINT; a SIGINT during the stop ends it at once.
    #[bpaf(command)]
    Run {
        /// The settings file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Runs a VM of a gateway fleet on the users' platform, until SIGTERM.
    #[bpaf(command)]
    Gateway {
        /// The settings file; SIGHUP reloads it
        #[bpaf(positional("FILE"), fallback_with(gateway::settings_file))]
        file: PathBuf,
    },
    /// Checks a settings file and reports every fault.
    #[bpaf(command)]
    Check {
        /// The settings file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Prints a settings file with all keys.
    #[bpaf(command)]
    Example,
}

/// Runs the command.
fn main() -> ExitCode {
    match command().run() {
        Command::Run { file } => match load(&file) {
            Ok(settings) => run(settings),
            Err(code) => code,
        },
        Command::Gateway { file } => gateway::run(&file),
        Command::Check { file } => match load(&file) {
            Ok(_) => {
                println!("{}: ok", file.display());
                ExitCode::SUCCESS
            }
            Err(code) => code,
        },
        Command::Example => {
            print!("{}", Settings::example().to_toml());
            ExitCode::SUCCESS
        }
    }
}

/// Reads a settings file, or prints all faults in it.
fn load(file: &PathBuf) -> Result<Settings, ExitCode> {
    let text = std::fs::read_to_string(file).map_err(|error| {
        eprintln!("{}: {error}", file.display());
        ExitCode::from(EXIT_INVALID_SETTINGS)
    })?;
    Settings::from_toml(&text).map_err(|error| {
        for line in error.to_string().lines() {
            eprintln!("{}: {line}", file.display());
        }
        ExitCode::from(EXIT_INVALID_SETTINGS)
    })
}

/// Runs the daemon until a signal stops it.
fn run(settings: Settings) -> ExitCode {
    init_stderr_log(settings.log.level.parse().unwrap_or(log::LevelFilter::Info));
    actix_rt::System::new().block_on(async move {
        let traces = match open_traces(&settings) {
            Ok(traces) => traces,
            Err(code) => return code,
        };
        // A signal that comes while the VM starts is handled once it listens; by default it would end the process.
        let Some(signals) = Signals::install() else {
            log::error!("node: cannot install the signal handlers.");
            return ExitCode::from(EXIT_START_FAILED);
        };
        let node = match Node::start(settings).await {
            Ok(node) => node,
            Err(error) => {
                log::error!("node: cannot start: {error}.");
                return ExitCode::from(EXIT_START_FAILED);
            }
        };
        let code = serve(&node, signals).await;
        if let Some(traces) = traces {
            traces.close();
        }
        code
    })
}

/// Starts the export of traces if the settings specify a collector.
fn open_traces(settings: &Settings) -> Result<Option<Traces>, ExitCode> {
    let endpoint = &settings.traces.otlp;
    if endpoint.is_empty() {
        return Ok(None);
    }
    Traces::start(endpoint, &settings.vm).map(Some).map_err(|error| {
        log::error!("node: {error}.");
        ExitCode::from(EXIT_START_FAILED)
    })
}

/// Waits for a signal, then shuts down gracefully. A SIGINT meanwhile stops the process at once; a SIGTERM does not, as
/// a supervisor may send it again.
async fn serve(node: &Node, mut signals: Signals) -> ExitCode {
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.interrupt.recv() => break,
            _ = signals.hangup.recv() => log_hangup(),
        }
    }
    let stopping = node.stop();
    tokio::pin!(stopping);
    loop {
        tokio::select! {
            () = &mut stopping => break,
            _ = signals.terminate.recv() => log::info!("node: already stopping."),
            _ = signals.hangup.recv() => log_hangup(),
            _ = signals.interrupt.recv() => {
                log::warn!("node: second signal received; stopping at once.");
                break;
            }
        }
    }
    ExitCode::SUCCESS
}

/// Logs a SIGHUP, which changes nothing: the settings are read at the start only.
fn log_hangup() {
    log::info!("node: SIGHUP changes nothing; settings are read at the start.");
}
