//! The kernel: a single-threaded event loop, the context that plug-ins share, and the shutdown phases.

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

/// How often a shutdown checks whether the running work has finished.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Builds one section of the state dump.
type Dump = Box<dyn Fn() -> Value>;

/// State that the plug-ins of one daemon share.
pub struct Context {
    settings: Settings,
    timer: Timer,
    phase: watch::Sender<Phase>,
    components: RefCell<HashMap<TypeId, Rc<dyn Any>>>,
    dumps: RefCell<BTreeMap<&'static str, Dump>>,
    work: Rc<RefCell<usize>>,
}

/// The phase of the process lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// New work is accepted.
    Running,
    /// The address is no longer advertised; new work is accepted until the addresses that callers hold have expired.
    Leaving,
    /// No new work is accepted; running work finishes.
    Draining,
    /// The drain limit has passed; streams are ended so that callers can resume them at another entry host.
    HandingOver,
    /// The process exits.
    Stopped,
}

/// A guard for a unit of work that a graceful shutdown waits for; dropping it marks the work as finished.
#[derive(Debug)]
pub struct Work {
    count: Rc<RefCell<usize>>,
}

impl Context {
    /// Creates a context without components.
    pub fn new(settings: Settings) -> Rc<Self> {
        Rc::new(Self {
            settings,
            timer: Timer::new(),
            phase: watch::Sender::new(Phase::Running),
            components: RefCell::default(),
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

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Returns a receiver that is notified of phase changes.
    pub fn watch_phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Moves to a later phase; a phase before the current one is ignored.
    pub fn advance_phase(&self, phase: Phase) {
        self.phase.send_if_modified(|current| {
            let later = phase > *current;
            *current = phase.max(*current);
            later
        });
    }

    /// Makes a component available to other plug-ins by its type.
    pub fn provide<T: 'static>(&self, component: Rc<T>) {
        self.components.borrow_mut().insert(TypeId::of::<T>(), component);
    }

    /// Returns the component of this type.
    ///
    /// # Panics
    ///
    /// Panics when no plug-in of an earlier stage provides the component, which is a bug.
    pub fn component<T: 'static>(&self) -> Rc<T> {
        let component = self.components.borrow().get(&TypeId::of::<T>()).map(Rc::clone);
        component
            .and_then(|component| component.downcast::<T>().ok())
            .unwrap_or_else(|| panic!("no plug-in provides {}", type_name::<T>()))
    }

    /// Adds a section to the state dump.
    pub fn register_dump(&self, name: &'static str, dump: impl Fn() -> Value + 'static) {
        self.dumps.borrow_mut().insert(name, Box::new(dump));
    }

    /// Returns the state dump of all plug-ins.
    pub fn dump(&self) -> Value {
        let sections = self.dumps.borrow();
        sections
            .iter()
            .map(|(name, dump)| ((*name).to_owned(), dump()))
            .collect()
    }

    /// Registers a unit of work that a graceful shutdown waits for.
    pub fn begin_work(&self) -> Work {
        *self.work.borrow_mut() += 1;
        Work {
            count: Rc::clone(&self.work),
        }
    }

    /// Returns the number of units of work that are running.
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

/// Runs a daemon until it receives a stop signal or a drain request and its work has finished.
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

/// Shuts down in three steps: callers that still hold the address are served until it expires, running work may finish
/// until the drain limit, and the remaining streams are handed over.
async fn shut_down(context: &Rc<Context>) {
    let limits = &context.settings.limits;
    let mut drain = Drain::new(limits.address_lifetime, limits.drain_limit);
    let mut commands = drain.handle(context.timer.now(), discovery::Event::Leave);
    loop {
        for command in commands {
            execute(context, command);
        }
        if context.phase() == Phase::Stopped {
            return;
        }
        context.timer.sleep(DRAIN_POLL_INTERVAL).await;
        let open = discovery::Event::RunningWork(context.running_work());
        commands = drain.handle(context.timer.now(), open);
    }
}

fn execute(context: &Context, command: Command) {
    match command {
        Command::Withdraw => {
            let lifetime = format!("{:?}", context.settings.limits.address_lifetime);
            Event::Leaving { lifetime: &lifetime }.log();
            context.advance_phase(Phase::Leaving);
        }
        Command::StopAccepting => {
            context.advance_phase(Phase::Draining);
            let work = context.running_work();
            Event::Draining { work: &work }.log();
        }
        Command::HandOver => {
            context.advance_phase(Phase::HandingOver);
            let work = context.running_work();
            Event::HandingOver { work: &work }.log();
        }
        Command::Stop => {
            context.advance_phase(Phase::Stopped);
            Event::Stopped {}.log();
        }
    }
}
