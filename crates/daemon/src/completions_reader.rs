//! The caller side of a generation: selection and formatting of the next events.

use std::convert::Infallible;
use std::fmt::Write as _;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hawthornpost_core::backlog::Stream;

use hawthornpost_core::generation::{Event, Outcome};
use hawthornpost_core::id::{Model, Request};
use hawthornpost_core::wire::Finish;
use http_body_util::channel::Sender;
use serde_json::json;
use tokio::sync::oneshot;

use crate::error::{Error, Result};
use crate::generations::Generations;
use crate::generations_running::Running;

/// The largest chunk in bytes; a chunk may be larger if it contains a single token. The memory is reserved for the
/// lifetime of the connection, because a full backlog can shrink only when callers receive their next chunks.
const MAX_CHUNK_BYTES: usize = 1024;
/// The length of the `id:` line with the longest index.
const MAX_ID_LINE_BYTES: usize = 15;
/// The retry delay for callers while the backlog is full.
const BACKLOG_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Reads the released tokens of a generation for one connection of its caller.
///
/// Dropping it starts the grace period for the caller to reconnect, unless a later connection has replaced it.
pub(crate) struct Reader {
    generations: Rc<Generations>,
    running: Rc<Running>,
    /// The number of the connection.
    number: u64,
    next: u32,
    /// Whether the end of the answer was sent.
    end_sent: bool,
    /// The memory reserved for the chunk that is being written.
    _buffer: Stream,
}

/// Text that is being written to the connection; dropping it signals that it has been written.
struct Text {
    text: String,
    _written: oneshot::Sender<()>,
}

impl AsRef<[u8]> for Text {
    fn as_ref(&self) -> &[u8] {
        self.text.as_bytes()
    }
}

/// The next part of an answer for a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Chunk {
    /// The tokens with these indexes.
    Tokens(Range<u32>),
    /// The end of the answer.
    End(Option<Finish>),
    /// The caller has to continue at another entry host.
    HandOver,
    /// A later connection of the caller has replaced this one.
    Replaced,
    /// The answer cannot be continued here.
    Failed(&'static str),
}

impl Reader {
    /// Connects a caller that needs the tokens from index `next` on.
    ///
    /// # Errors
    ///
    /// Fails with a retry delay when too many bytes wait for slow readers.
    pub(crate) fn new(generations: &Rc<Generations>, running: &Rc<Running>, next: u32) -> Result<Self> {
        let mut buffer = generations.budget.open(running.account.clone(), generations.now());
        let reserved = buffer.grow(MAX_CHUNK_BYTES);
        // Suspending a generation does not free the memory of the chunk that its connection is writing.
        buffer.set_suspended(true);
        let number = running.latest_reader.get() + 1;
        running.latest_reader.set(number);
        // Wakes an earlier connection of the same caller, which then ends.
        running.released.notify_one();
        let reader = Self {
            generations: Rc::clone(generations),
            running: Rc::clone(running),
            number,
            next,
            end_sent: false,
            _buffer: buffer,
        };
        // When the reservation failed, dropping the reader here starts the grace period.
        reserved.map_err(|_bound| Error::unavailable("too many bytes wait for slow readers", BACKLOG_RETRY_AFTER))?;
        Ok(reader)
    }

    pub(crate) fn request(&self) -> Request {
        self.running.request
    }

    pub(crate) fn model(&self) -> Model {
        self.running.machine().completion().model.clone()
    }

    /// Passes the text of a chunk to the connection and waits until it is written. Returns whether the caller is still
    /// connected.
    pub(crate) async fn write(&self, text: String, sender: &mut Sender<Bytes, Infallible>) -> bool {
        let (written, wait) = oneshot::channel();
        let owner = Text {
            text,
            _written: written,
        };
        let sent = sender.send_data(Bytes::from_owner(owner)).await;
        if sent.is_ok() {
            // The connection drops the text once it is written, which closes the channel.
            let _ = wait.await;
        }
        sent.is_ok()
    }

    /// Waits for the next chunk.
    pub(crate) async fn next(&self) -> Chunk {
        loop {
            if let Some(chunk) = self.poll_next() {
                return chunk;
            }
            self.running.released.notified().await;
        }
    }

    /// Records that a chunk has been written, and returns whether more chunks follow.
    pub(crate) fn confirm(&mut self, chunk: &Chunk) -> bool {
        let Chunk::Tokens(range) = chunk else {
            self.end_sent = matches!(chunk, Chunk::End(_));
            return false;
        };
        self.next = range.end;
        let next = self.next;
        // The last token is confirmed together with the end of the answer, which is a separate chunk.
        let is_last = self.running.machine().is_finished() && next == self.running.machine().transcript().len();
        if !is_last {
            self.generations.dispatch(&self.running, Event::Read { next });
        }
        true
    }

    pub(crate) fn full_text(&self) -> String {
        let machine = self.running.machine();
        machine.transcript().text(0..machine.released()).to_owned()
    }

    /// Returns the error for a caller of a non-streamed answer.
    pub(crate) fn failure(&self) -> Error {
        let outcome = self.running.machine().outcome();
        Error::failed(describe(outcome), "send the request again")
    }

    fn poll_next(&self) -> Option<Chunk> {
        let machine = self.running.machine();
        if self.running.latest_reader.get() != self.number {
            // Wakes the connection that has replaced this one.
            self.running.released.notify_one();
            return Some(Chunk::Replaced);
        }
        let released = machine.released();
        if self.next < released {
            return Some(Chunk::Tokens(self.next..released));
        }
        if machine.is_finished() {
            return Some(Chunk::End(machine.transcript().finish()));
        }
        match machine.outcome() {
            None => None,
            Some(Outcome::HandedOver) => Some(Chunk::HandOver),
            outcome => Some(Chunk::Failed(describe(outcome))),
        }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        if self.running.latest_reader.get() != self.number {
            return;
        }
        let next = self.next;
        let event = if self.end_sent {
            Event::Read { next }
        } else {
            Event::CallerGone
        };
        self.generations.dispatch(&self.running, event);
    }
}

fn describe(outcome: Option<Outcome>) -> &'static str {
    match outcome {
        None | Some(Outcome::Completed) => "the answer is not complete",
        Some(Outcome::Cancelled) => "the request was cancelled",
        Some(Outcome::Fenced) => "another entry continues the answer; resume with the handle",
        Some(Outcome::HandedOver) => "this entry is leaving; resume with the handle at another one",
        Some(Outcome::NoTarget) => "no engine of the version is left",
        Some(Outcome::Deadline) => "the answer took too long",
        Some(Outcome::Attempts) => "too many engines failed",
    }
}

/// Formats events according to the OpenAI completions API.
pub(crate) struct Format {
    /// The common start of all events of an answer, up to the token text.
    head: String,
    handle: String,
    entry: Option<std::net::SocketAddr>,
}

impl Format {
    pub(crate) fn new(reader: &Reader) -> Self {
        // Everything except text and finish reason is the same for all events and is formatted only once.
        let head = format!(
            "data: {{\"id\":{},\"object\":\"text_completion\",\"model\":{},\"choices\":[{{\"index\":0,\"text\":",
            json!(reader.request()),
            json!(reader.model())
        );
        Self {
            head,
            handle: reader.generations.handle(&reader.running).unwrap_or_default(),
            entry: None,
        }
    }

    /// Formats the events of a chunk, and shortens the chunk when its events exceed [`MAX_CHUNK_BYTES`].
    pub(crate) fn events(&self, reader: &Reader, chunk: &mut Chunk) -> String {
        match chunk {
            Chunk::Tokens(range) => self.tokens(reader, range),
            Chunk::End(finish) => format!("{}data: [DONE]\n\n", self.event("", *finish)),
            Chunk::HandOver => self.handover(reader),
            Chunk::Replaced => String::new(),
            Chunk::Failed(error) => {
                let problem = json!({ "error": { "message": error, "type": "server_error" } });
                format!("event: error\ndata: {problem}\n\n")
            }
        }
    }

    fn tokens(&self, reader: &Reader, range: &mut Range<u32>) -> String {
        let machine = reader.running.machine();
        let mut events = String::new();
        for index in range.clone() {
            let event = self.event(machine.transcript().text(index..index + 1), None);
            if !events.is_empty() && events.len() + event.len() + MAX_ID_LINE_BYTES > MAX_CHUNK_BYTES {
                range.end = index;
                break;
            }
            // Writing to a string cannot fail.
            let _ = write!(events, "id: {index}\n{event}");
        }
        events
    }

    fn event(&self, text: &str, finish: Option<Finish>) -> String {
        format!(
            "{}{},\"finish_reason\":{}}}]}}\n\n",
            self.head,
            json!(text),
            json!(finish)
        )
    }

    fn handover(&self, reader: &Reader) -> String {
        let request = reader.request();
        let other = reader.generations.replicas.ranked(&request).into_iter().next();
        let entry = other.map(|member| member.callers).or(self.entry);
        let data = json!({ "handle": self.handle, "entry": entry });
        format!("event: handover\ndata: {data}\n\n")
    }
}
