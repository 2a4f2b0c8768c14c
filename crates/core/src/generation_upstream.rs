use std::time::Duration;

use crate::clock::Instant;
use crate::generation::{Command, Outcome, Settings};
use crate::id::{Attempt, Branch, Target};

/// The maximum number of probes before the first token of the first attempt.
const MAX_FIRST_TOKEN_PROBES: u32 = 4;

/// The engine side of a generation: attempts, silence detection, probes and failover to another target.
#[derive(Debug)]
pub(crate) struct Upstream {
    settings: Settings,
    branch: Branch,
    epoch: u32,
    /// The attempt number of the latest open or attach.
    attempt: Option<Attempt>,
    target: Option<Target>,
    silence_timeout: Duration,
    phase: Phase,
    /// The number of probes since the target's last token. Repeated silence means that the stream hangs although the
    /// engine answers probes.
    probes: u32,
    /// Whether the current target has sent a token.
    has_sent_token: bool,
    /// Whether the time until the next frame is a valid sample of the engine's gap.
    is_gap_valid: bool,
    failed: Vec<Target>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No attempt is wanted: the generation has not started, is suspended or has finished.
    Idle,
    /// Waiting for the selection of a target.
    Choosing,
    /// Waiting before the next selection.
    Backoff { until: Instant },
    /// Waiting for a token since `since`.
    Running { since: Instant },
    /// Waiting for the answer to an attach.
    Probing { until: Instant },
    /// Reading is paused.
    Paused,
}

impl Upstream {
    pub(crate) fn new(settings: Settings, branch: Branch, epoch: u32) -> Self {
        Self {
            settings,
            branch,
            epoch,
            attempt: None,
            target: None,
            silence_timeout: Duration::ZERO,
            phase: Phase::Idle,
            probes: 0,
            has_sent_token: false,
            is_gap_valid: false,
            failed: Vec::new(),
        }
    }

    pub(crate) fn attempt(&self) -> Option<Attempt> {
        self.attempt
    }

    pub(crate) fn target(&self) -> Option<&Target> {
        self.target.as_ref()
    }

    pub(crate) fn is_paused(&self) -> bool {
        self.phase == Phase::Paused
    }

    /// Returns whether frames of the current attempt are accepted.
    pub(crate) fn is_open(&self) -> bool {
        matches!(
            self.phase,
            Phase::Running { .. } | Phase::Probing { .. } | Phase::Paused
        )
    }

    pub(crate) fn deadline(&self) -> Option<Instant> {
        match self.phase {
            Phase::Idle | Phase::Choosing | Phase::Paused => None,
            Phase::Backoff { until } | Phase::Probing { until } => Some(until),
            Phase::Running { since } => Some(since + self.timeout()),
        }
    }

    pub(crate) fn request_target(&mut self, out: &mut Vec<Command>) {
        self.phase = Phase::Choosing;
        out.push(Command::ChooseTarget {
            failed: self.failed.clone(),
        });
    }

    pub(crate) fn open(&mut self, now: Instant, target: Target, silence_timeout: Duration, out: &mut Vec<Command>) {
        if self.phase != Phase::Choosing {
            return;
        }
        let Some(attempt) = self.next_attempt(out) else {
            return;
        };
        self.silence_timeout = silence_timeout;
        self.probes = 0;
        self.has_sent_token = false;
        self.is_gap_valid = false;
        self.phase = Phase::Running { since: now };
        self.target = Some(target.clone());
        out.push(Command::Open { target, attempt });
    }

    pub(crate) fn set_silence_timeout(&mut self, silence_timeout: Duration) {
        self.silence_timeout = silence_timeout;
    }

    pub(crate) fn target_unavailable(&mut self, now: Instant, retry: Option<Duration>, out: &mut Vec<Command>) {
        if self.phase != Phase::Choosing {
            return;
        }
        match retry {
            Some(wait) => self.phase = Phase::Backoff { until: now + wait },
            None => out.push(Command::End(Outcome::NoTarget)),
        }
    }

    pub(crate) fn attempt_accepted(&mut self, now: Instant, attempt: Attempt) {
        if self.attempt == Some(attempt) && matches!(self.phase, Phase::Probing { .. }) {
            self.phase = Phase::Running { since: now };
        }
    }

    /// Records that a frame was accepted.
    pub(crate) fn frame_accepted(&mut self, now: Instant, out: &mut Vec<Command>) {
        if let (Phase::Running { since }, true, Some(target)) = (self.phase, self.is_gap_valid, &self.target) {
            out.push(Command::RecordGap {
                target: target.clone(),
                gap: now - since,
            });
        }
        self.probes = 0;
        self.has_sent_token = true;
        self.is_gap_valid = true;
        if !self.is_paused() {
            self.phase = Phase::Running { since: now };
        }
    }

    pub(crate) fn attempt_closed(
        &mut self,
        now: Instant,
        attempt: Attempt,
        refused: bool,
        next: u32,
        out: &mut Vec<Command>,
    ) {
        if self.attempt != Some(attempt) {
            return;
        }
        match self.phase {
            Phase::Running { .. } if self.has_sent_token && self.may_probe() && !refused => self.probe(now, next, out),
            Phase::Running { .. } | Phase::Probing { .. } => self.fail_over(out),
            Phase::Idle | Phase::Choosing | Phase::Backoff { .. } | Phase::Paused => {}
        }
    }

    pub(crate) fn target_lost(&mut self, target: &Target, out: &mut Vec<Command>) {
        if self.is_open() && self.target.as_ref() == Some(target) {
            self.fail_over(out);
        }
    }

    /// Abandons the current target and requests another.
    pub(crate) fn fail_over(&mut self, out: &mut Vec<Command>) {
        self.cancel(out);
        if let Some(target) = self.target.take() {
            self.failed.retain(|failed| *failed != target);
            self.failed.push(target);
        }
        self.request_target(out);
    }

    /// Cancels the current attempt.
    pub(crate) fn stop(&mut self, out: &mut Vec<Command>) {
        if self.is_open() {
            self.cancel(out);
        }
        self.phase = Phase::Idle;
    }

    /// Stops expecting tokens after the engine finished the generation.
    pub(crate) fn finish(&mut self) {
        self.phase = Phase::Idle;
    }

    pub(crate) fn pause(&mut self, out: &mut Vec<Command>) {
        if let (true, Some(attempt)) = (self.is_open(), self.attempt) {
            self.phase = Phase::Paused;
            out.push(Command::Pause { attempt });
        }
    }

    pub(crate) fn unpause(&mut self, now: Instant, out: &mut Vec<Command>) {
        if let (Phase::Paused, Some(attempt)) = (self.phase, self.attempt) {
            self.phase = Phase::Running { since: now };
            // The next gap includes the pause, so it is not a sample of the engine's latency.
            self.is_gap_valid = false;
            out.push(Command::Unpause { attempt });
        }
    }

    /// Restarts the silence timer, because the time before passed while this process was paused.
    pub(crate) fn restart_clock(&mut self, now: Instant) {
        match &mut self.phase {
            Phase::Running { since } => {
                *since = now;
                self.is_gap_valid = false;
            }
            Phase::Probing { until } => *until = now + self.settings.probe_timeout,
            Phase::Idle | Phase::Choosing | Phase::Backoff { .. } | Phase::Paused => {}
        }
    }

    pub(crate) fn tick(&mut self, now: Instant, next: u32, out: &mut Vec<Command>) {
        if self.deadline().is_none_or(|deadline| now < deadline) {
            return;
        }
        match self.phase {
            Phase::Backoff { .. } => self.request_target(out),
            Phase::Running { .. } if self.may_probe() => self.probe(now, next, out),
            Phase::Running { .. } | Phase::Probing { .. } => self.fail_over(out),
            Phase::Idle | Phase::Choosing | Phase::Paused => {}
        }
    }

    fn probe(&mut self, now: Instant, from: u32, out: &mut Vec<Command>) {
        let Some(target) = self.target.clone() else {
            return;
        };
        let Some(attempt) = self.next_attempt(out) else {
            return;
        };
        self.probes += 1;
        self.is_gap_valid = false;
        self.phase = Phase::Probing {
            until: now + self.settings.probe_timeout,
        };
        out.push(Command::Attach { target, attempt, from });
    }

    fn cancel(&self, out: &mut Vec<Command>) {
        if let (Some(target), Some(attempt)) = (&self.target, self.attempt) {
            out.push(Command::CancelAttempt {
                target: target.clone(),
                branch: self.branch,
                attempt,
            });
        }
    }

    /// Returns whether the engine may be probed again instead of being replaced.
    ///
    /// Before the first token of the first attempt, an engine may be busy with other prompts, so more probes are
    /// allowed. After a failure the caller has already been waiting, so the request fails over sooner.
    fn may_probe(&self) -> bool {
        let awaits_first_token = !self.has_sent_token && self.failed.is_empty();
        self.probes < if awaits_first_token { MAX_FIRST_TOKEN_PROBES } else { 1 }
    }

    fn timeout(&self) -> Duration {
        if self.has_sent_token {
            return self.silence_timeout;
        }
        if self.failed.is_empty() {
            return self.settings.first_token_timeout;
        }
        self.settings.resumed_first_token_timeout
    }

    /// Allocates the next attempt number, or ends the generation when the numbers of the epoch are exhausted.
    fn next_attempt(&mut self, out: &mut Vec<Command>) -> Option<Attempt> {
        let next = self.attempt.map_or(Attempt::first(self.epoch), Attempt::next);
        if next.epoch() != u64::from(self.epoch) {
            self.phase = Phase::Idle;
            out.push(Command::End(Outcome::Attempts));
            return None;
        }
        self.attempt = Some(next);
        Some(next)
    }
}
