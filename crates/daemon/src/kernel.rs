//! The kernel: one loop on one thread, the context that plug-ins share, and the phases of a run.

use std::any::{Any, TypeId, type_name};
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use hawthornpost_core::discovery::{self, Command, Drain};
use serde_json::Value;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::LocalSet;

use crate::error::{Kind, Result};
use crate::event::Event;
use crate::plugin;
use crate::settings::Settings;
use crate::timer::Timer;

/// How often a draining daemon looks whether its work has ended.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// Returns one section of the state dump.
type Dump = Box<dyn Fn() -> Value>;

/// What the plug-ins of one daemon share.
pub struct Context {
    settings: Settings,
    timer: Timer,
    phase: watch::Sender<Phase>,
    parts: RefCell<HashMap<TypeId, Rc<dyn Any>>>,
    dumps: RefCell<BTreeMap<&'static str, Dump>>,
    work: Rc<RefCell<usize>>,
}

/// The phase of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// New work is taken.
    Running,
    /// The address is no longer given out; new work is taken until callers' addresses have lapsed.
    Leaving,
    /// No new work is taken; running work finishes.
    Draining,
    /// The time for running work is over; streams end in a way that callers can resume elsewhere.
    HandingOver,
    /// The process ends.
    Stopped,
}

/// Marks a piece of work that a graceful shutdown waits for; dropping it ends the work.
#[derive(Debug)]
pub struct Work {
    count: Rc<RefCell<usize>>,
}

impl Context {
    /// Creates a context without parts.
    pub fn new(settings: Settings) -> Rc<Self> {
        Rc::new(Self {
            settings,
            timer: Timer::new(),
            phase: watch::Sender::new(Phase::Running),
            parts: RefCell::default(),
            dumps: RefCell::default(),
            work: Rc::default(),
        })
    }

    /// Returns the settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the timer service.
    pub fn timer(&self) -> &Timer {
        &self.timer
    }

    /// Returns the phase of the run.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Returns a receiver that follows the phase of the run.
    pub fn watch_phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Moves to a later phase; earlier phases are ignored.
    pub fn advance(&self, phase: Phase) {
        self.phase.send_if_modified(|current| {
            let later = phase > *current;
            *current = phase.max(*current);
            later
        });
    }

    /// Makes a part of a plug-in available to others by its type.
    pub fn provide<T: 'static>(&self, part: Rc<T>) {
        self.parts.borrow_mut().insert(TypeId::of::<T>(), part);
    }

    /// Returns the part of this type.
    ///
    /// # Panics
    ///
    /// Panics when no plug-in of an earlier stage provides the part, which is a fault in the program.
    pub fn part<T: 'static>(&self) -> Rc<T> {
        let part = self.parts.borrow().get(&TypeId::of::<T>()).map(Rc::clone);
        part.and_then(|part| part.downcast::<T>().ok())
            .unwrap_or_else(|| panic!("no plug-in provides {}", type_name::<T>()))
    }

    /// Adds a section to the state dump.
    pub fn on_dump(&self, name: &'static str, dump: impl Fn() -> Value + 'static) {
        self.dumps.borrow_mut().insert(name, Box::new(dump));
    }

    /// Returns the state of all plug-ins.
    pub fn dump(&self) -> Value {
        let sections = self.dumps.borrow();
        sections
            .iter()
            .map(|(name, dump)| ((*name).to_owned(), dump()))
            .collect()
    }

    /// Counts a piece of work that a graceful shutdown waits for.
    pub fn begin_work(&self) -> Work {
        *self.work.borrow_mut() += 1;
        Work {
            count: Rc::clone(&self.work),
        }
    }

    /// Returns the number of pieces of work that are running.
    pub fn running_work(&self) -> usize {
        *self.work.borrow()
    }
}

impl Drop for Work {
    fn drop(&mut self) {
        *self.count.borrow_mut() -= 1;
    }
}

impl fmt::Debug for Context {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Context")
            .field("entry", &self.settings.entry.name)
            .field("phase", &self.phase())
            .finish_non_exhaustive()
    }
}

/// Runs a daemon until it is told to stop and its work has ended.
///
/// # Errors
///
/// Fails when the runtime or a plug-in cannot start.
pub fn run(settings: Settings) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| Kind::Runtime { source })?;
    LocalSet::new().block_on(&runtime, run_local(settings))
}

async fn run_local(settings: Settings) -> Result<()> {
    let context = Context::new(settings);
    let driver = Rc::clone(&context);
    tokio::task::spawn_local(async move { driver.timer.run().await });
    plugin::start_all(&context)?;
    Event::Running {
        entry: &context.settings.entry.name,
        version: &env!("CARGO_PKG_VERSION"),
    }
    .log();
    let mut phase = context.watch_phase();
    tokio::select! {
        result = wait_for_signal() => result?,
        _ = phase.wait_for(|phase| *phase > Phase::Running) => {}
    }
    shut_down(&context).await;
    Ok(())
}

async fn wait_for_signal() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).map_err(|source| Kind::Runtime { source })?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|source| Kind::Runtime { source })?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Leaves in three steps, so that callers who still hold the address are served until it has lapsed and nothing that
/// runs is cut off.
async fn shut_down(context: &Rc<Context>) {
    let limits = &context.settings.limits;
    let mut drain = Drain::new(limits.address_lifetime, limits.drain_limit);
    let mut commands = drain.handle(context.timer.now(), discovery::Event::Leave);
    loop {
        for command in commands {
            carry_out(context, command);
        }
        if context.phase() == Phase::Stopped {
            return;
        }
        context.timer.sleep(DRAIN_POLL).await;
        let open = discovery::Event::Open(context.running_work());
        commands = drain.handle(context.timer.now(), open);
    }
}

fn carry_out(context: &Context, command: Command) {
    match command {
        Command::Withdraw => {
            let lifetime = format!("{:?}", context.settings.limits.address_lifetime);
            Event::Leaving { lifetime: &lifetime }.log();
            context.advance(Phase::Leaving);
        }
        Command::StopAccepting => {
            context.advance(Phase::Draining);
            let work = context.running_work();
            Event::Draining { work: &work }.log();
        }
        Command::HandOver => {
            context.advance(Phase::HandingOver);
            let work = context.running_work();
            Event::HandingOver { work: &work }.log();
        }
        Command::Stop => {
            context.advance(Phase::Stopped);
            Event::Stopped {}.log();
        }
    }
}
