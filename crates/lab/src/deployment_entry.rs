//! An entry host: a daemon process that can be killed, frozen and restarted.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use procfs::process::Process;

/// A daemon process, running or stopped; dropping the value kills it.
#[derive(Debug)]
pub(crate) struct Entry {
    /// The name in the settings.
    pub(crate) name: String,
    /// The address for callers.
    pub(crate) address: SocketAddr,
    /// The highest sampled resident memory.
    pub(crate) peak_bytes: u64,
    program: PathBuf,
    settings: PathBuf,
    child: Option<Child>,
    /// The processor time of earlier processes of this entry host.
    past_cpu: Duration,
    exit_reported: bool,
}

impl Entry {
    /// Creates an entry host without starting its process.
    pub(crate) fn new(name: String, address: SocketAddr, program: PathBuf, settings: PathBuf) -> Self {
        Self {
            name,
            address,
            peak_bytes: 0,
            program,
            settings,
            child: None,
            past_cpu: Duration::ZERO,
            exit_reported: false,
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

    /// Kills the process with SIGKILL, which simulates a host failure.
    pub(crate) fn kill(&mut self) {
        self.past_cpu = self.cpu();
        if let Some(mut child) = self.child.take() {
            // Errors are ignored: the process may have exited already, which `sample` reports.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Suspends the process with SIGSTOP.
    pub(crate) fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Continues a suspended process with SIGCONT.
    pub(crate) fn thaw(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Samples the resident memory; returns false once when the process has exited on its own.
    pub(crate) fn sample(&mut self) -> bool {
        let status = self.child.as_mut().map(Child::try_wait);
        if matches!(status, Some(Ok(Some(_)))) && !self.exit_reported {
            self.exit_reported = true;
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
        self.past_cpu + Duration::from_secs_f64(ticks as f64 / procfs::ticks_per_second() as f64)
    }

    fn stat(&self) -> Option<procfs::process::Stat> {
        let pid = i32::try_from(self.child.as_ref()?.id()).ok()?;
        Process::new(pid).and_then(|process| process.stat()).ok()
    }

    fn signal(&self, signal: Signal) {
        // The pid is not reused before the child is reaped, so the signal cannot reach another process.
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
