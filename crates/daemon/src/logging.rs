//! Log output through `fern`, as text or JSON lines.

use hawthornpost_core::id::Entry;
use jiff::Timestamp;
use log::Record;
use log::kv::Key;
use serde_json::json;

use std::fmt::Arguments;

use crate::error::{Kind, Result};
use crate::event::NUMBER_KEY;
use crate::settings::{LogFormat, LogSettings};

/// Installs the logger of the process.
///
/// # Errors
///
/// Fails when the log file cannot be opened or a logger is already installed.
pub fn start(settings: &LogSettings, entry: &Entry) -> Result<()> {
    let format = settings.format;
    let entry = entry.clone();
    let dispatch = fern::Dispatch::new()
        .level(settings.level)
        .level_for("jsonrpsee_server", log::LevelFilter::Warn)
        .level_for("jsonrpsee_core", log::LevelFilter::Warn)
        .format(move |out, message, record| out.finish(format_args!("{}", line(format, &entry, message, record))));
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

fn line(format: LogFormat, entry: &Entry, message: &Arguments<'_>, record: &Record<'_>) -> String {
    let number = record
        .key_values()
        .get(Key::from(NUMBER_KEY))
        .and_then(|value| value.to_u64());
    let (time, level) = (Timestamp::now(), record.level());
    match format {
        LogFormat::Text => {
            let number = number.map_or_else(String::new, |number| format!("E{number} "));
            format!(
                "{time:.3} {level:<5} {entry} {number}{}",
                escape_control(&message.to_string())
            )
        }
        LogFormat::Json => json!({
            "time": format!("{time:.3}"),
            "level": level.as_str(),
            "entry": entry.as_str(),
            "module": record.target(),
            "event": number,
            "message": message.to_string(),
        })
        .to_string(),
    }
}

/// Escapes control characters, so that text from a target cannot forge a log line.
fn escape_control(text: &str) -> String {
    let mut line = String::with_capacity(text.len());
    for character in text.chars() {
        if character.is_control() {
            line.extend(character.escape_default());
        } else {
            line.push(character);
        }
    }
    line
}
