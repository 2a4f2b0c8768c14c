//! State of a stream that is kept between attempts.

use std::rc::Rc;

use crate::availability::Availability;
use crate::backup::{self, Backup, Copier};
use crate::fleet::{Criteria, Need};
use crate::gateway::Gateway;
use crate::job::Job;
use crate::screening::Screening;
use crate::speed::Queue;
use crate::stream_output::Output;
use crate::stream_retries::Retries;
use crate::target::Target;
use crate::trial;
use crate::trial_wait::Wait;

/// The state of a stream between and during attempts.
pub(crate) struct Progress {
    /// The shared state of the process.
    pub gateway: Rc<Gateway>,
    /// The request.
    pub job: Job,
    /// The output to the caller.
    pub output: Output,
    /// The attempts and their failures.
    pub retries: Retries,
    /// The ids of engines that failed.
    pub excluded: Vec<String>,
    /// The id of the last event that the caller has received.
    pub last_event: Option<u64>,
    /// The copy that the engine replicates to another engine.
    pub backup: Option<Backup>,
    /// Creates a new copy after the backup has failed.
    pub copier: Copier,
    /// The work at the engine when the attempt was sent that reads the prompt; `None` after its first event.
    pub queue: Option<Queue>,
    /// Observes whether an engine begins to answer the prompt.
    pub screening: Screening,
    /// The wait for the outcome of the attempt, for the trial of a version.
    pub wait: Option<Wait>,
}

impl Progress {
    /// Creates the state of a new stream.
    pub(crate) fn new(gateway: &Rc<Gateway>, job: Job, output: Output) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            last_event: job.metadata.last_event,
            screening: Screening::new(gateway, &job),
            job,
            output,
            retries: Retries::default(),
            excluded: Vec::new(),
            backup: None,
            copier: Copier::default(),
            queue: None,
            wait: None,
        }
    }

    /// Counts a stream that has begun, unless the caller resumes one.
    pub(crate) fn count_usage(&self) {
        if self.job.metadata.last_event.is_none() {
            self.gateway.count_usage(&self.job, self.gateway.now());
        }
    }

    /// Returns the resources that the stream needs at an engine.
    pub(crate) fn need(&self) -> Need {
        let engine = self.gateway.table().engine(&self.job.service);
        Need {
            prompt_tokens: self.job.metadata.prompt_tokens,
            memory_tokens: self.job.metadata.prompt_tokens + self.job.metadata.output_tokens,
            capacity: engine.map_or(u64::MAX, |engine| engine.memory_tokens),
        }
    }

    /// Records the work that an engine does before it answers the prompt, from which its speed is learned for admission.
    pub(crate) fn record_queue(&mut self, target: &Target, prompt_tokens: u64) {
        if !self.gateway.limits().admission {
            return;
        }
        let queue = self.gateway.fleet().borrow().queue(&target.id);
        self.queue = queue.map(|queue| Queue {
            prefill_tokens: queue.prefill_tokens.saturating_add(prompt_tokens),
            ..queue
        });
    }

    /// Chooses an engine for the backup copy; `None` if the service or the route does not support backups.
    pub(crate) fn choose_backup(&self, target: &Target, need: Need) -> Option<Rc<Target>> {
        let engine = self.gateway.table().engine(&self.job.service)?;
        if !engine.backups || !self.job.route.resumable {
            return None;
        }
        let criteria = Criteria {
            service: &self.job.service,
            versions: &self.gateway.stable_versions(&self.job.service),
            excluded: &self.excluded,
        };
        let mut fleet = self.gateway.fleet().borrow_mut();
        fleet.choose_backup(self.gateway.now(), target, criteria, need)
    }

    /// Returns whether a slow engine may be given up, and reserves the retry for that. A stream that cannot be resumed
    /// elsewhere waits for its engine until the deadline.
    pub(crate) fn may_give_up(&mut self, target: &Target) -> bool {
        if self.job.time_left(&self.gateway).is_zero() {
            return true;
        }
        self.job.route.resumable && self.has_alternative(target) && self.retries.try_reserve(&self.gateway, &self.job)
    }

    /// Returns whether another engine than the current one holds a copy of the stream, or could run it and is not suspect.
    fn has_alternative(&self, target: &Target) -> bool {
        let now = self.gateway.now();
        let mut fleet = self.gateway.fleet().borrow_mut();
        if self
            .backup
            .as_ref()
            .is_some_and(|backup| fleet.is_usable(now, &backup.target.id))
        {
            return true;
        }
        let criteria = Criteria {
            service: &self.job.service,
            versions: &self.gateway.stable_versions(&self.job.service),
            excluded: std::slice::from_ref(&target.id),
        };
        let other = fleet.choose_stream(now, criteria, self.need());
        other.is_some_and(|other| !fleet.is_suspect(now, &other.id))
    }

    /// Starts a new copy of the run if its backup has failed.
    pub(crate) fn maintain_backup(&mut self, target: &Rc<Target>) {
        let has_failed = self.backup.as_ref().is_some_and(|backup| {
            let availability = self
                .gateway
                .fleet()
                .borrow()
                .availability(self.gateway.now(), &backup.target.id);
            !availability.is_some_and(Availability::holds_copies)
        });
        if !has_failed {
            return;
        }
        self.backup = None;
        let transfer = backup::Transfer {
            source: Rc::clone(target),
            request: self.job.metadata.id.clone(),
            need: self.need(),
            excluded: self.excluded.clone(),
        };
        self.copier.start(&self.gateway, transfer);
    }

    /// Starts to wait for an outcome at an engine.
    pub(crate) fn start_wait(&mut self, target: &Target, latency: trial::Latency) {
        self.wait = Some(Wait::start(&self.gateway, &self.job.route.name, target, latency));
    }

    /// Records the outcome of an attempt for the trial of a version.
    pub(crate) fn record_trial(&mut self, target: &Target, outcome: trial::Outcome) {
        let is_counted = self.wait.take().is_some_and(Wait::end);
        if is_counted {
            self.gateway.record_baseline(&self.job.route.name, target, outcome);
        } else {
            self.gateway.record_outcome(&self.job.route.name, target, outcome);
        }
    }

    /// Records the mean interval between the events so far, if the engine that sent the first one sent all of them and its
    /// interval is not recorded yet.
    pub(crate) fn record_event_interval(&mut self, target: &Target) {
        let Some(first) = self.output.first_at.filter(|_| self.wait.is_some()) else {
            return;
        };
        let intervals = u32::try_from(self.output.events.saturating_sub(1)).unwrap_or(u32::MAX);
        if intervals > 0 {
            let interval = self.output.last_at.since(first) / intervals;
            self.record_trial(target, trial::Outcome::Streamed(interval));
        }
    }
}
