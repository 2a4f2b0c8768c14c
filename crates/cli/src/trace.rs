//! The `trace` command: selects the log lines that concern one request.

use std::collections::BTreeSet;
use std::io;

use serde_json::Value;

use crate::Session;
use crate::arguments::Trace;
use crate::error::{Kind, Result};

/// Event numbers of changes in the state of a process, as opposed to events of requests.
const STATE_EVENTS: std::ops::Range<u64> = 901..950;
/// Event numbers of target failures.
const FAILURE_EVENTS: std::ops::Range<u64> = 942..950;
/// The fields that are printed at the start of a line or not at all.
const PREFIX_FIELDS: [&str; 6] = ["time", "level", "entry", "event", "what", "request"];

impl Trace {
    pub(crate) fn run(&self, session: &Session) -> Result<()> {
        let text = io::read_to_string(io::stdin()).map_err(|source| Kind::ReadStdin { source })?;
        let lines = text.lines().filter_map(parse_line).collect::<Vec<_>>();
        let mut related = related_lines(&lines, &self.request);
        if related.is_empty() {
            return Err(Kind::RequestNotFound {
                request: self.request.clone(),
            }
            .into());
        }
        related.sort_by(|left, right| text_field(left, "time").cmp(text_field(right, "time")));
        let text = related.iter().map(|line| format_line(line)).collect::<Vec<_>>();
        session.output.result(&related, text.join("\n"))
    }
}

/// Decodes a line. A prefix that a log collector put before the JSON object is skipped.
fn parse_line(line: &str) -> Option<Value> {
    let start = line.find('{')?;
    let value = serde_json::from_str::<Value>(&line[start..]).ok()?;
    value["event"].is_number().then_some(value)
}

/// Returns the lines of a request, and the state events of its targets and entry hosts between the start of the
/// request and its last line.
fn related_lines<'a>(lines: &'a [Value], request: &str) -> Vec<&'a Value> {
    let request_lines = lines.iter().filter(|line| text_field(line, "request") == request);
    let request_lines = request_lines.collect::<Vec<_>>();
    let times = request_lines
        .iter()
        .map(|line| start_time(line))
        .chain(request_lines.iter().map(|line| text_field(line, "time").to_owned()));
    let times = times.collect::<BTreeSet<_>>();
    let (Some(first), Some(last)) = (times.first(), times.last()) else {
        return Vec::new();
    };
    let fields = ["target", "from", "to"];
    let targets = request_lines
        .iter()
        .flat_map(|line| fields.map(|field| text_field(line, field)));
    let targets = targets.filter(|target| !target.is_empty()).collect::<BTreeSet<_>>();
    let entries = request_lines
        .iter()
        .map(|line| text_field(line, "entry"))
        .collect::<BTreeSet<_>>();
    let is_related = |line: &&Value| {
        let is_in_time = (first.as_str()..=last.as_str()).contains(&text_field(line, "time"));
        let event = line["event"].as_u64().unwrap_or_default();
        let is_state = STATE_EVENTS.contains(&event);
        let target = text_field(line, "target");
        let is_own_host = entries.contains(text_field(line, "entry"));
        let is_failure = FAILURE_EVENTS.contains(&event);
        // All hosts log changes of the target list, so only the lines of the request's hosts are relevant. A failure is
        // logged only by the host that detected it, so failures are taken from any host.
        let is_own_target = targets.contains(target) && (is_own_host || is_failure);
        is_in_time && is_state && (is_own_target || (target.is_empty() && is_own_host))
    };
    let related = lines.iter().filter(is_related);
    request_lines.iter().copied().chain(related).collect()
}

/// Returns the time of a line minus its `took_ms`, or the time itself if the line has no `took_ms`.
fn start_time(line: &Value) -> String {
    let time = text_field(line, "time");
    let (Ok(at), Some(took)) = (time.parse::<jiff::Timestamp>(), line["took_ms"].as_i64()) else {
        return time.to_owned();
    };
    let start = at - jiff::SignedDuration::from_millis(took);
    format!("{start:.3}")
}

fn text_field<'a>(line: &'a Value, field: &str) -> &'a str {
    line[field].as_str().unwrap_or_default()
}

/// Formats a line for terminal output: time, entry host, event number, description and the remaining fields.
fn format_line(line: &Value) -> String {
    let fields = line.as_object().into_iter().flatten();
    let fields = fields.filter(|(name, _)| !PREFIX_FIELDS.contains(&name.as_str()));
    let fields = fields.map(|(name, value)| {
        format!(
            "{name}={}",
            value.as_str().map_or_else(|| value.to_string(), str::to_owned)
        )
    });
    format!(
        "{} {} {} {}: {}",
        text_field(line, "time"),
        text_field(line, "entry"),
        line["event"],
        text_field(line, "what"),
        fields.collect::<Vec<_>>().join(" "),
    )
}
