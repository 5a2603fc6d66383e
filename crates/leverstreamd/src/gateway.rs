use std::env;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, SystemTime};

use actix_rt::signal::unix::{Signal, SignalKind, signal};
use leverstream_gateway::{Gateway, Settings};
use leverstream_observe::{LevelFilter, LogWriter};
use tracing::{error, info, warn};

use crate::{BAD_SETTINGS, BAD_START};

/// The variable that names the settings file when the command line does not.
const SETTINGS_VARIABLE: &str = "LEVERSTREAM_SETTINGS";

/// How often the settings file is looked at for a change that no signal told of.
const LOOK_MS: u64 = 2_000;

/// The settings file that the environment names.
pub fn settings_file() -> Result<PathBuf, String> {
    env::var_os(SETTINGS_VARIABLE)
        .map(PathBuf::from)
        .ok_or_else(|| format!("name the settings FILE, or set {SETTINGS_VARIABLE} to its path"))
}

/// Runs a gateway VM until it is told to stop.
pub fn run(file: &Path) -> ExitCode {
    let settings = match load(file) {
        Ok(settings) => settings,
        Err(fault) => {
            eprintln!("{}: {fault}", file.display());
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    let log_writer = LogWriter::start(LevelFilter::INFO);
    let code = actix_rt::System::new().block_on(async move {
        let gateway = match Gateway::open(settings).await {
            Ok(gateway) => gateway,
            Err(fault) => {
                error!(%fault, "cannot start");
                return ExitCode::from(BAD_START);
            }
        };
        serve(&gateway, file).await
    });
    log_writer.flush();
    code
}

/// Reads the settings.
fn load(file: &Path) -> Result<Settings, String> {
    let text = std::fs::read_to_string(file).map_err(|error| error.to_string())?;
    Settings::from_toml(&text).map_err(|error| error.to_string())
}

/// Serves until a signal asks for the end; settings that change meanwhile are read again.
async fn serve(gateway: &Gateway, file: &Path) -> ExitCode {
    let signals =
        [SignalKind::terminate(), SignalKind::interrupt(), SignalKind::hangup()].map(signal);
    let [Ok(mut terminate), Ok(mut interrupt), Ok(mut hangup)] = signals else {
        error!("signals cannot be heard");
        return ExitCode::from(BAD_START);
    };
    let mut seen = changed_at(file);
    loop {
        let is_told = tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => true,
            () = tokio::time::sleep(Duration::from_millis(LOOK_MS)) => false,
        };
        let present = changed_at(file);
        if is_told || present != seen {
            seen = present;
            reload(gateway, file);
        }
    }
    stop(gateway, &mut terminate, &mut interrupt).await;
    ExitCode::SUCCESS
}

/// Stops as planned; a second SIGINT ends the stop at once.
async fn stop(gateway: &Gateway, terminate: &mut Signal, interrupt: &mut Signal) {
    let stopping = gateway.stop();
    tokio::pin!(stopping);
    loop {
        tokio::select! {
            () = &mut stopping => return,
            _ = terminate.recv() => info!("already stopping"),
            _ = interrupt.recv() => {
                warn!("a second signal ends it at once");
                return;
            }
        }
    }
}

/// Reads the settings again; those that cannot be used change nothing.
fn reload(gateway: &Gateway, file: &Path) {
    match load(file) {
        Ok(settings) => gateway.reload(&settings),
        Err(fault) => warn!(%fault, "changed settings refused; the last stay in force"),
    }
}

/// When the file was last changed.
fn changed_at(file: &Path) -> Option<SystemTime> {
    std::fs::metadata(file).and_then(|data| data.modified()).ok()
}
