//! An entry host: a daemon in a process of its own that can be killed, paused and started again.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use procfs::process::Process;

/// A daemon, running or not; dropping it kills the process.
#[derive(Debug)]
pub(crate) struct Entry {
    /// The name in the settings.
    pub(crate) name: String,
    /// The address for callers.
    pub(crate) address: SocketAddr,
    /// The highest resident memory that was seen.
    pub(crate) peak_bytes: u64,
    program: PathBuf,
    settings: PathBuf,
    child: Option<Child>,
    /// The processor time of the processes that ended.
    spent: Duration,
    ended_early: bool,
}

impl Entry {
    /// Prepares a daemon with a settings file.
    pub(crate) fn new(name: String, address: SocketAddr, program: PathBuf, settings: PathBuf) -> Self {
        Self {
            name,
            address,
            peak_bytes: 0,
            program,
            settings,
            child: None,
            spent: Duration::ZERO,
            ended_early: false,
        }
    }

    /// Starts the process.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be run.
    pub(crate) fn start(&mut self) -> io::Result<()> {
        let mut command = Command::new(&self.program);
        command.arg("--config").arg(&self.settings).stdin(Stdio::null());
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// Ends the process without warning, as a failed host does.
    pub(crate) fn kill(&mut self) {
        self.spent = self.cpu();
        if let Some(mut child) = self.child.take() {
            // The process may have ended by itself, which `sample` has recorded.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Pauses the process.
    pub(crate) fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Continues a paused process.
    pub(crate) fn thaw(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Reads the resident memory; returns false when the process ended although nothing ended it.
    pub(crate) fn sample(&mut self) -> bool {
        let status = self.child.as_mut().map(Child::try_wait);
        if matches!(status, Some(Ok(Some(_)))) && !self.ended_early {
            self.ended_early = true;
            return false;
        }
        if let Some(stat) = self.stat() {
            self.peak_bytes = self.peak_bytes.max(stat.rss * procfs::page_size());
        }
        true
    }

    /// Returns the processor time of all processes of this entry host so far.
    pub(crate) fn cpu(&self) -> Duration {
        let ticks = self.stat().map_or(0, |stat| stat.utime + stat.stime);
        self.spent + Duration::from_secs_f64(ticks as f64 / procfs::ticks_per_second() as f64)
    }

    fn stat(&self) -> Option<procfs::process::Stat> {
        let pid = i32::try_from(self.child.as_ref()?.id()).ok()?;
        Process::new(pid).and_then(|process| process.stat()).ok()
    }

    fn signal(&self, signal: Signal) {
        // A child that was not waited for keeps its pid, so that the signal never reaches another process.
        if let Some(pid) = self.child.as_ref().and_then(|child| i32::try_from(child.id()).ok()) {
            let _ = kill(Pid::from_raw(pid), signal);
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}
