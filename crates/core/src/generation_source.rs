use std::time::Duration;

use crate::clock::Instant;
use crate::generation::{Command, Outcome, Settings};
use crate::id::{Attempt, Branch, Target};

/// The number of probes before the first token of the first attempt.
const FIRST_TOKEN_PROBES: u32 = 4;

/// The engine side of a generation: attempts, silence, probe and move to another target.
#[derive(Debug)]
pub(crate) struct Source {
    settings: Settings,
    branch: Branch,
    epoch: u32,
    /// The number of the latest open or attach.
    attempt: Option<Attempt>,
    target: Option<Target>,
    silence: Duration,
    phase: Phase,
    /// The probes since the target's last token. Repeated silence means that the stream is stuck although the engine
    /// answers.
    probes: u32,
    /// Whether the current target has sent a token.
    flowing: bool,
    /// Whether the next gap says something about the engine.
    measured: bool,
    failed: Vec<Target>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Not wanted: not begun, suspended or ended.
    Idle,
    /// Waiting for the choice of a target.
    Asking,
    /// Waiting to ask again.
    Backoff { until: Instant },
    /// Waiting for a token since `since`.
    Running { since: Instant },
    /// Waiting for the answer to an attach.
    Probing { until: Instant },
    /// Not read from.
    Paused,
}

impl Source {
    pub(crate) fn new(settings: Settings, branch: Branch, epoch: u32) -> Self {
        Self {
            settings,
            branch,
            epoch,
            attempt: None,
            target: None,
            silence: Duration::ZERO,
            phase: Phase::Idle,
            probes: 0,
            flowing: false,
            measured: false,
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

    /// Returns whether frames of the current attempt are wanted.
    pub(crate) fn is_open(&self) -> bool {
        matches!(
            self.phase,
            Phase::Running { .. } | Phase::Probing { .. } | Phase::Paused
        )
    }

    pub(crate) fn deadline(&self) -> Option<Instant> {
        match self.phase {
            Phase::Idle | Phase::Asking | Phase::Paused => None,
            Phase::Backoff { until } | Phase::Probing { until } => Some(until),
            Phase::Running { since } => Some(since + self.limit()),
        }
    }

    pub(crate) fn ask(&mut self, out: &mut Vec<Command>) {
        self.phase = Phase::Asking;
        out.push(Command::ChooseTarget {
            failed: self.failed.clone(),
        });
    }

    pub(crate) fn choose(&mut self, now: Instant, target: Target, silence: Duration, out: &mut Vec<Command>) {
        if self.phase != Phase::Asking {
            return;
        }
        let Some(attempt) = self.next_attempt(out) else {
            return;
        };
        self.silence = silence;
        self.probes = 0;
        self.flowing = false;
        self.measured = false;
        self.phase = Phase::Running { since: now };
        self.target = Some(target.clone());
        out.push(Command::Open { target, attempt });
    }

    pub(crate) fn set_silence(&mut self, silence: Duration) {
        self.silence = silence;
    }

    pub(crate) fn lack(&mut self, now: Instant, retry: Option<Duration>, out: &mut Vec<Command>) {
        if self.phase != Phase::Asking {
            return;
        }
        match retry {
            Some(wait) => self.phase = Phase::Backoff { until: now + wait },
            None => out.push(Command::End(Outcome::NoTarget)),
        }
    }

    pub(crate) fn accepted(&mut self, now: Instant, attempt: Attempt) {
        if self.attempt == Some(attempt) && matches!(self.phase, Phase::Probing { .. }) {
            self.phase = Phase::Running { since: now };
        }
    }

    /// Notes an accepted frame.
    pub(crate) fn progress(&mut self, now: Instant, out: &mut Vec<Command>) {
        if let (Phase::Running { since }, true, Some(target)) = (self.phase, self.measured, &self.target) {
            out.push(Command::Observe {
                target: target.clone(),
                gap: now - since,
            });
        }
        self.probes = 0;
        self.flowing = true;
        self.measured = true;
        if !self.is_paused() {
            self.phase = Phase::Running { since: now };
        }
    }

    pub(crate) fn closed(&mut self, now: Instant, attempt: Attempt, refused: bool, next: u32, out: &mut Vec<Command>) {
        if self.attempt != Some(attempt) {
            return;
        }
        match self.phase {
            Phase::Running { .. } if self.flowing && self.may_probe() && !refused => self.probe(now, next, out),
            Phase::Running { .. } | Phase::Probing { .. } => self.move_on(out),
            Phase::Idle | Phase::Asking | Phase::Backoff { .. } | Phase::Paused => {}
        }
    }

    pub(crate) fn lost(&mut self, target: &Target, out: &mut Vec<Command>) {
        if self.is_open() && self.target.as_ref() == Some(target) {
            self.move_on(out);
        }
    }

    /// Gives the current target up and asks for another.
    pub(crate) fn move_on(&mut self, out: &mut Vec<Command>) {
        self.cancel(out);
        if let Some(target) = self.target.take() {
            self.failed.retain(|failed| *failed != target);
            self.failed.push(target);
        }
        self.ask(out);
    }

    /// Cancels the current attempt and wants no more tokens.
    pub(crate) fn stop(&mut self, out: &mut Vec<Command>) {
        if self.is_open() {
            self.cancel(out);
        }
        self.phase = Phase::Idle;
    }

    /// Wants no more tokens after the engine has ended the generation.
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
            // The next gap contains the pause and says nothing about the engine.
            self.measured = false;
            out.push(Command::Unpause { attempt });
        }
    }

    /// Counts silence from now on, because the time before passed while this process was paused.
    pub(crate) fn restart_clock(&mut self, now: Instant) {
        match &mut self.phase {
            Phase::Running { since } => {
                *since = now;
                self.measured = false;
            }
            Phase::Probing { until } => *until = now + self.settings.probe,
            Phase::Idle | Phase::Asking | Phase::Backoff { .. } | Phase::Paused => {}
        }
    }

    pub(crate) fn tick(&mut self, now: Instant, next: u32, out: &mut Vec<Command>) {
        if self.deadline().is_none_or(|deadline| now < deadline) {
            return;
        }
        match self.phase {
            Phase::Backoff { .. } => self.ask(out),
            Phase::Running { .. } if self.may_probe() => self.probe(now, next, out),
            Phase::Running { .. } | Phase::Probing { .. } => self.move_on(out),
            Phase::Idle | Phase::Asking | Phase::Paused => {}
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
        self.measured = false;
        self.phase = Phase::Probing {
            until: now + self.settings.probe,
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

    /// Before the first token, an engine may be busy with other prompts, so it is asked more often whether it still has
    /// the request. After a loss the caller has been waiting, so the request moves on sooner.
    fn may_probe(&self) -> bool {
        let waits_for_first = !self.flowing && self.failed.is_empty();
        self.probes < if waits_for_first { FIRST_TOKEN_PROBES } else { 1 }
    }

    fn limit(&self) -> Duration {
        if self.flowing {
            return self.silence;
        }
        if self.failed.is_empty() {
            return self.settings.first_token;
        }
        self.settings.resumed_first_token
    }

    /// Takes the next number, or ends the generation when the numbers of the epoch are used up.
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
