//! Log output through `fern`, as text or JSON lines.

use hawthornpost_core::id::Entry;
use serde_json::json;

use crate::error::{Kind, Result};
use crate::settings::{LogFormat, LogSettings};

/// Starts logging for the process.
///
/// # Errors
///
/// Fails when the log file cannot be opened or logging is already started.
pub fn start(settings: &LogSettings, entry: &Entry) -> Result<()> {
    let format = settings.format;
    let entry = entry.clone();
    let dispatch = fern::Dispatch::new()
        .level(settings.level)
        .level_for("jsonrpsee_server", log::LevelFilter::Warn)
        .level_for("jsonrpsee_core", log::LevelFilter::Warn)
        .format(move |out, message, record| match format {
            LogFormat::Text => out.finish(format_args!("{:<5} {entry} {message}", record.level())),
            LogFormat::Json => {
                let line = json!({
                    "level": record.level().as_str(),
                    "entry": entry.as_str(),
                    "module": record.target(),
                    "message": message.to_string(),
                });
                out.finish(format_args!("{line}"));
            }
        });
    let dispatch = match &settings.file {
        None => dispatch.chain(std::io::stderr()),
        Some(path) => {
            let file = fern::log_file(path).map_err(|source| Kind::ReadFile {
                path: path.clone(),
                source,
            })?;
            dispatch.chain(file)
        }
    };
    dispatch.apply().map_err(|source| Kind::Logging { source }.into())
}
