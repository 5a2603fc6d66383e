//! The subcommand that runs a gateway VM: settings, signals and reload.

use std::env;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, SystemTime};

use leverstream_gateway::{Gateway, Settings};
use leverstream_observe::{LevelFilter, LogWriter, log_panics};
use tracing::{error, info, warn};

use crate::signals::Signals;
use crate::{EXIT_INVALID_SETTINGS, EXIT_START_FAILED};

/// The environment variable with the path of the settings file, used if the command line gives none.
const SETTINGS_VARIABLE: &str = "LEVERSTREAM_SETTINGS";

/// The interval at which the modification time of the settings file is checked, for changes without a SIGHUP.
const SETTINGS_POLL_MS: u64 = 2_000;

/// Returns the settings file that the environment specifies.
pub fn settings_file() -> Result<PathBuf, String> {
    env::var_os(SETTINGS_VARIABLE)
        .map(PathBuf::from)
        .ok_or_else(|| format!("specify the settings FILE, or set {SETTINGS_VARIABLE} to its path"))
}

/// Runs a gateway VM until a signal stops it.
pub fn run(file: &Path) -> ExitCode {
    let settings = match load(file) {
        Ok(settings) => settings,
        Err(fault) => {
            eprintln!("{}: {fault}", file.display());
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    let log_writer = LogWriter::start(LevelFilter::INFO);
    log_panics();
    let code = actix_rt::System::new().block_on(async move {
        // A signal that comes while the VM starts is handled once it listens; by default it would end the process.
        let Some(signals) = Signals::install() else {
            error!("cannot install the signal handlers");
            return ExitCode::from(EXIT_START_FAILED);
        };
        let gateway = match Gateway::open(settings).await {
            Ok(gateway) => gateway,
            Err(fault) => {
                error!(%fault, "cannot start");
                return ExitCode::from(EXIT_START_FAILED);
            }
        };
        serve(&gateway, file, signals).await
    });
    log_writer.flush();
    code
}

/// Reads and validates the settings file.
fn load(file: &Path) -> Result<Settings, String> {
    let text = std::fs::read_to_string(file).map_err(|error| error.to_string())?;
    Settings::from_toml(&text).map_err(|error| error.to_string())
}

/// Serves until SIGTERM or SIGINT; reloads the settings on SIGHUP and when the file changes.
async fn serve(gateway: &Gateway, file: &Path, mut signals: Signals) -> ExitCode {
    let mut last_modified = modified_at(file);
    loop {
        let is_hangup = tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.interrupt.recv() => break,
            _ = signals.hangup.recv() => true,
            () = tokio::time::sleep(Duration::from_millis(SETTINGS_POLL_MS)) => false,
        };
        let modified = modified_at(file);
        if is_hangup || modified != last_modified {
            last_modified = modified;
            reload(gateway, file);
        }
    }
    stop(gateway, signals).await;
    ExitCode::SUCCESS
}

/// Shuts down gracefully; a SIGINT in the meantime stops the process at once, a SIGTERM does not.
async fn stop(gateway: &Gateway, mut signals: Signals) {
    let stopping = gateway.stop();
    tokio::pin!(stopping);
    loop {
        tokio::select! {
            () = &mut stopping => return,
            _ = signals.terminate.recv() => info!("already stopping"),
            _ = signals.interrupt.recv() => {
                warn!("second signal received; stopping at once");
                return;
            }
        }
    }
}

/// Reloads the settings; invalid ones are logged and the previous ones stay in force.
fn reload(gateway: &Gateway, file: &Path) {
    match load(file) {
        Ok(settings) => gateway.reload(&settings),
        Err(fault) => warn!(%fault, "changed settings are invalid; keeping the previous ones"),
    }
}

/// Returns the modification time of the file, or `None` if it cannot be read.
fn modified_at(file: &Path) -> Option<SystemTime> {
    std::fs::metadata(file).and_then(|data| data.modified()).ok()
}
