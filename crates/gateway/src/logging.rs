//! Log output: one JSON line per event, written without blocking from a bounded buffer.

use std::fmt::Arguments;
use std::io::{self, Write};
use std::sync::{Arc, Mutex, PoisonError};

use hawthornpost_core::id::Entry;
use jiff::Timestamp;
use log::Record;
use log::kv::Key;
use nix::fcntl::{FcntlArg, OFlag, fcntl};

use crate::error::{Kind, Result};
use crate::event::NUMBER_KEY;
use crate::settings::LogSettings;

/// The maximum size of the log buffer. Lines that do not fit are dropped and counted.
const MAX_BUFFER_BYTES: usize = 256 << 10;

/// Buffer of log lines that have not been written yet.
#[derive(Clone, Debug, Default)]
pub struct Buffer {
    shared: Arc<Mutex<Pending>>,
}

#[derive(Debug, Default)]
struct Pending {
    bytes: Vec<u8>,
    dropped: u64,
}

impl Buffer {
    /// Writes as much as the output accepts without blocking; the rest stays buffered.
    pub fn flush_to(&self, output: &mut impl Write) {
        let mut pending = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        let mut written = 0;
        while written < pending.bytes.len() {
            match output.write(&pending.bytes[written..]) {
                Ok(0) => break,
                Ok(count) => written += count,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                // A full pipe accepts the rest later; lines for a closed pipe are dropped once the buffer is full.
                Err(_) => break,
            }
        }
        pending.bytes.drain(..written);
    }

    /// Returns the number of lines dropped since the last call.
    pub fn take_dropped(&self) -> u64 {
        let mut pending = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut pending.dropped)
    }
}

impl Write for Buffer {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let mut pending = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        if pending.bytes.len() + buf.len() > MAX_BUFFER_BYTES {
            pending.dropped += 1;
        } else {
            pending.bytes.extend_from_slice(buf);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Installs the logger of the process and returns its buffer, which the caller has to flush to standard output.
///
/// # Errors
///
/// Fails when standard output cannot be made non-blocking or a logger is already installed.
pub fn start(settings: LogSettings, entry: &Entry) -> Result<Buffer> {
    let flags = fcntl(io::stdout(), FcntlArg::F_GETFL).map_err(|error| Kind::Runtime { source: error.into() })?;
    let flags = OFlag::from_bits_truncate(flags) | OFlag::O_NONBLOCK;
    fcntl(io::stdout(), FcntlArg::F_SETFL(flags)).map_err(|error| Kind::Runtime { source: error.into() })?;
    let buffer = Buffer::default();
    let entry = entry.clone();
    fern::Dispatch::new()
        .level(log::LevelFilter::Off)
        .level_for("hawthornpost", settings.level)
        .format(move |out, message, record| out.finish(format_args!("{}", line(&entry, message, record))))
        .chain(Box::new(buffer.clone()) as Box<dyn Write + Send>)
        .apply()
        .map_err(|source| Kind::Logging { source })?;
    Ok(buffer)
}

/// Formats a line. The message of an event is a JSON object, whose fields are appended to the common ones.
fn line(entry: &Entry, message: &Arguments<'_>, record: &Record<'_>) -> String {
    let number = record.key_values().get(Key::from(NUMBER_KEY));
    let number = number.and_then(|value| value.to_u64()).unwrap_or_default();
    let fields = message.to_string();
    let fields = fields.strip_prefix('{').unwrap_or("}");
    let separator = if fields == "}" { "" } else { "," };
    let (time, level) = (Timestamp::now(), record.level());
    format!(r#"{{"time":"{time:.3}","level":"{level}","entry":"{entry}","event":{number}{separator}{fields}"#)
}
