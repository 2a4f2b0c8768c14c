//! The configuration in force.

use std::cell::RefCell;
use std::rc::Rc;

use hawthornpost_core::config::Document;
use linkme::distributed_slice;
use serde_json::json;
use tokio::sync::watch;

use crate::error::{Error, Result};
use crate::event::Event;
use crate::kernel::Context;
use crate::platform;
use crate::plugin::{PLUGINS, Plugin, Stage};

/// The configuration that this daemon applies.
#[derive(Debug)]
pub struct Current {
    document: RefCell<Rc<Document>>,
    version: watch::Sender<u64>,
}

impl Current {
    /// Returns the document.
    pub fn document(&self) -> Rc<Document> {
        Rc::clone(&self.document.borrow())
    }

    /// Returns the version, 0 before the first one is known.
    pub fn version(&self) -> u64 {
        *self.version.borrow()
    }

    /// Returns a receiver that follows the version.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    /// Applies a document if its version is higher and returns whether it did.
    pub fn apply(&self, document: Document) -> bool {
        if document.version <= self.version() {
            return false;
        }
        let version = document.version;
        self.document.replace(Rc::new(document));
        self.version.send_replace(version);
        true
    }
}

#[distributed_slice(PLUGINS)]
static CONFIGURATION: Plugin = Plugin {
    name: "configuration",
    stage: Stage::Fleet,
    start,
};

#[expect(clippy::unnecessary_wraps, reason = "the signature of all plug-ins")]
fn start(context: &Rc<Context>) -> Result<()> {
    let current = Rc::new(Current {
        document: RefCell::default(),
        version: watch::Sender::new(0),
    });
    context.provide(Rc::clone(&current));
    let dumped = Rc::clone(&current);
    context.on_dump("configuration", move || json!({ "version": dumped.version() }));
    tokio::task::spawn_local(poll(Rc::clone(context), current));
    Ok(())
}

async fn poll(context: Rc<Context>, current: Rc<Current>) {
    let client = context.part::<platform::Client>();
    loop {
        match read(&client).await {
            Ok(Some(document)) => {
                let version = document.version;
                if current.apply(document) {
                    Event::ConfigurationApplied { version: &version }.log();
                }
            }
            Ok(None) => log::debug!("the platform holds no configuration"),
            Err(error) => Event::ConfigurationUnread { error: &error }.log(),
        }
        context.timer().sleep(context.settings().platform.poll).await;
    }
}

async fn read(client: &platform::Client) -> Result<Option<Document>> {
    let Some(object) = client.get("configheads", "current").await? else {
        return Ok(None);
    };
    let document = serde_json::from_value(object.spec["document"].clone());
    document.map(Some).map_err(|source| {
        Error::failed(
            format!("the configuration cannot be decoded: {source}"),
            "apply a new version",
        )
    })
}
