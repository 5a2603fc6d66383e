use log::LevelFilter;
use simplelog::{ConfigBuilder, WriteLogger};

/// Opens the log on standard error.
///
/// Each line is the time, the level and a short sentence with the prefix of the part that wrote
/// it. Libraries are logged from warnings up.
pub fn open_logs(level: LevelFilter) {
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str("leverstream")
        .add_filter_allow_str("leverctl")
        .build();
    // A second logger in one process is a mistake of tests only; the first one stays.
    let _ = WriteLogger::init(level, config, std::io::stderr());
}
