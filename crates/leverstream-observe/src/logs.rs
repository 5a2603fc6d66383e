//! Plain text logs on standard error.

use log::LevelFilter;
use simplelog::{ConfigBuilder, WriteLogger};

/// Installs the logger that writes to standard error.
///
/// Each line has the time, the level and a message. Only the targets of leverstream and leverctl
/// are logged.
pub fn init_stderr_log(level: LevelFilter) {
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str("leverstream")
        .add_filter_allow_str("leverctl")
        .build();
    // Only tests install a second logger in one process; the first one stays.
    let _ = WriteLogger::init(level, config, std::io::stderr());
}
