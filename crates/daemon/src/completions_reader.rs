//! The caller's side of a generation: which tokens it gets next, and their form.

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

/// The bytes of a piece, except that it has at least one token. They are reserved for the whole connection, because a
/// full backlog can only shrink when callers get their next pieces.
const PIECE_BYTES: usize = 1024;
/// The bytes of the line with the longest index.
const ID_BYTES: usize = 15;
/// When a caller should come back after the backlog was full.
const FULL_RETRY: Duration = Duration::from_secs(1);

/// Reads the released tokens of a generation for one connection of its caller.
///
/// Dropping it starts the grace time, unless a later connection of the caller has taken its place.
pub(crate) struct Reader {
    generations: Rc<Generations>,
    running: Rc<Running>,
    /// The number of the connection.
    number: u64,
    next: u32,
    /// Whether the end of the answer was sent.
    ended: bool,
    /// The bytes of the piece that is being written.
    _buffer: Stream,
}

/// Text that the connection is writing.
struct Text {
    text: String,
    _written: oneshot::Sender<()>,
}

impl AsRef<[u8]> for Text {
    fn as_ref(&self) -> &[u8] {
        self.text.as_bytes()
    }
}

/// What a caller gets next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Piece {
    /// The tokens of these indexes.
    Tokens(Range<u32>),
    /// The end of the answer.
    End(Option<Finish>),
    /// The caller has to continue at another entry host.
    HandOver,
    /// A later connection of the caller has taken this one's place.
    Replaced,
    /// The answer cannot be continued here.
    Failed(&'static str),
}

impl Reader {
    /// Connects a caller that needs the tokens from `next`.
    ///
    /// # Errors
    ///
    /// Fails with a time to retry when too many bytes are held for slow readers.
    pub(crate) fn new(generations: &Rc<Generations>, running: &Rc<Running>, next: u32) -> Result<Self> {
        let mut buffer = generations.ledger.open(running.account.clone(), generations.now());
        let reserved = buffer.grow(PIECE_BYTES);
        // Suspending a generation does not free what its connection is writing.
        buffer.set_suspended(true);
        let number = running.reader.get() + 1;
        running.reader.set(number);
        // An earlier connection of the same caller stops waiting.
        running.released.notify_one();
        let reader = Self {
            generations: Rc::clone(generations),
            running: Rc::clone(running),
            number,
            next,
            ended: false,
            _buffer: buffer,
        };
        // Dropping the reader starts the grace time of a generation without a caller.
        reserved.map_err(|_bound| Error::unavailable("too many bytes wait for slow readers", FULL_RETRY))?;
        Ok(reader)
    }

    pub(crate) fn request(&self) -> Request {
        self.running.request
    }

    pub(crate) fn model(&self) -> Model {
        self.running.machine().completion().model.clone()
    }

    /// Passes the text of a piece to the connection and waits until it is written. Returns whether the caller is there.
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

    /// Waits for the next piece.
    pub(crate) async fn next(&self) -> Piece {
        loop {
            if let Some(piece) = self.ready() {
                return piece;
            }
            self.running.released.notified().await;
        }
    }

    /// Notes that the caller has a piece, and returns whether more follow.
    pub(crate) fn took(&mut self, piece: &Piece) -> bool {
        let Piece::Tokens(range) = piece else {
            self.ended = matches!(piece, Piece::End(_));
            return false;
        };
        self.next = range.end;
        let next = self.next;
        // The end is only known to have reached the caller with its own piece.
        let is_last = self.running.machine().is_finished() && next == self.running.machine().tape().len();
        if !is_last {
            self.generations.feed(&self.running, Event::Read { next });
        }
        true
    }

    pub(crate) fn whole_text(&self) -> String {
        let machine = self.running.machine();
        machine.tape().text(0..machine.released()).to_owned()
    }

    /// Returns the error for a caller that waits for the whole answer.
    pub(crate) fn failure(&self) -> Error {
        let outcome = self.running.machine().outcome();
        Error::failed(describe(outcome), "send the request again")
    }

    fn ready(&self) -> Option<Piece> {
        let machine = self.running.machine();
        if self.running.reader.get() != self.number {
            // Wake the connection that has taken this one's place.
            self.running.released.notify_one();
            return Some(Piece::Replaced);
        }
        let released = machine.released();
        if self.next < released {
            return Some(Piece::Tokens(self.next..released));
        }
        if machine.is_finished() {
            return Some(Piece::End(machine.tape().finish()));
        }
        match machine.outcome() {
            None => None,
            Some(Outcome::HandedOver) => Some(Piece::HandOver),
            outcome => Some(Piece::Failed(describe(outcome))),
        }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        if self.running.reader.get() != self.number {
            return;
        }
        let next = self.next;
        let event = if self.ended {
            Event::Read { next }
        } else {
            Event::CallerGone
        };
        self.generations.feed(&self.running, event);
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

/// Writes events in the form of the OpenAI completions API.
pub(crate) struct Format {
    /// What all events of an answer have before the text of their token.
    head: String,
    handle: String,
    entry: Option<std::net::SocketAddr>,
}

impl Format {
    pub(crate) fn new(reader: &Reader) -> Self {
        // Everything but text and end is the same for all tokens and is written once.
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

    /// Writes the events of a piece, and shortens it when it has more tokens than are sent at a time.
    pub(crate) fn events(&self, reader: &Reader, piece: &mut Piece) -> String {
        match piece {
            Piece::Tokens(range) => self.tokens(reader, range),
            Piece::End(finish) => format!("{}data: [DONE]\n\n", self.event("", *finish)),
            Piece::HandOver => self.handover(reader),
            Piece::Replaced => String::new(),
            Piece::Failed(error) => {
                let problem = json!({ "error": { "message": error, "type": "server_error" } });
                format!("event: error\ndata: {problem}\n\n")
            }
        }
    }

    fn tokens(&self, reader: &Reader, range: &mut Range<u32>) -> String {
        let machine = reader.running.machine();
        let mut events = String::new();
        for index in range.clone() {
            let event = self.event(machine.tape().text(index..index + 1), None);
            if !events.is_empty() && events.len() + event.len() + ID_BYTES > PIECE_BYTES {
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
