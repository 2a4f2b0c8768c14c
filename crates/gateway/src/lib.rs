//! Request gateway of hawthornpost: routes requests of callers to targets, on a platform that stores the configuration.
//!
//! The crate is independent of the platform: names, formats and calls come from implementations of
//! [`dialect::Dialect`] and [`platform::Platform`].
//!
//! | module | concern |
//! |--------|---------|
//! | [`availability`] | whether a target may take work |
//! | [`baseline`] | usual latency of a version |
//! | [`body`] | response bodies |
//! | [`budget`] | retry budget, which all entry hosts share |
//! | [`config`] | a version of the configuration |
//! | [`config_delta`] | difference between two versions of the configuration |
//! | [`config_history`] | recent changes of the configuration |
//! | [`connections`] | connections to targets: their number, and those that are kept |
//! | [`departures`] | targets that announced that they are leaving |
//! | [`deputies`] | hosts that watch the store in place of silent watchers |
//! | [`dialect`] | request and response headers of the platform |
//! | [`dissemination`] | relays in other data centres |
//! | [`duty`] | duties that one host at a time holds |
//! | [`event`] | numbered log events |
//! | [`event_stream`] | parser of `text/event-stream` bodies |
//! | [`feed`] | choice of the hosts that watch the store, and their updates to peers |
//! | [`fleet`] | targets with their load and health, and the choice among them |
//! | [`gateway`] | shared state of a process |
//! | [`intake`] | limits on the bytes of a response |
//! | [`load`] | load of a target |
//! | [`load_report`] | incremental load reports to peers |
//! | [`log_limit`] | rate limit of log lines |
//! | [`logging`] | log output |
//! | [`metric`] | metrics |
//! | [`outbound`] | client connections to targets, the store and peers |
//! | [`overload`] | admission while a service is overloaded |
//! | [`peers`] | other entry hosts and the reports exchanged with them |
//! | [`platform`] | the platform's store |
//! | [`prompt`] | parts of a prompt |
//! | [`quarantine`] | parts of prompts that crash engines |
//! | [`reachability`] | distinguishes unreachable engines from trouble of this host's link |
//! | [`response_memory`] | memory of buffered responses |
//! | [`rollout`] | orders that move a service to another version |
//! | [`rollouts`] | rollout orders known to a host, with their trials |
//! | [`route`] | routing table: route and account of a request |
//! | [`run`] | startup, signals, shutdown |
//! | [`scaling`] | the number of targets of a service |
//! | [`send_rate`] | limit of the rate at which state is sent to peers |
//! | [`settings`] | settings file |
//! | [`silence`] | measurement of an engine's silence |
//! | [`speed`] | learned speed of engines |
//! | [`stall`] | detection of engines that send no data |
//! | [`stream_output`] | output of a stream to its caller |
//! | [`target`] | targets as the platform lists them |
//! | [`trial`] | the trial of a new version and its verdict |
//! | [`usage`] | usage of client accounts |
//! | [`versions`] | versions that may serve a request |

pub mod availability;
mod backup;
pub mod baseline;
pub mod body;
pub mod budget;
mod call;
mod compression;
pub mod config;
pub mod config_delta;
pub mod config_history;
mod connection_guard;
pub mod connections;
mod datagram;
pub mod departures;
pub mod deputies;
pub mod dialect;
mod directory;
pub mod dissemination;
mod duration;
pub mod duty;
mod error;
pub mod event;
mod event_quota;
pub mod event_stream;
mod exchange;
pub mod feed;
pub mod fleet;
pub mod gateway;
mod head_guard;
mod headers;
mod idle_timer;
mod ingress;
pub mod intake;
mod job;
pub mod lapses;
mod list_delta;
mod listener;
pub mod load;
mod load_exchange;
pub mod load_report;
pub mod log_limit;
pub mod logging;
mod member;
pub mod metric;
pub mod outbound;
pub mod overload;
mod peer_loads;
pub mod peers;
mod peers_runner;
mod peers_socket;
pub mod platform;
pub mod prompt;
pub mod quarantine;
mod quarantine_evidence;
mod quarantine_shared;
pub mod reachability;
mod registry;
mod reply;
mod response;
pub mod response_memory;
pub mod response_times;
pub mod rollout;
pub mod rollouts;
mod rollouts_runner;
pub mod route;
pub mod run;
pub mod scaling;
mod screening;
pub mod send_rate;
pub mod settings;
pub mod silence;
pub mod speed;
pub mod stall;
mod state_fetcher;
mod state_sender;
mod stream;
mod stream_attempt;
pub mod stream_output;
mod stream_progress;
mod stream_retries;
mod successor;
mod sync;
pub mod target;
pub mod trial;
mod trial_contact;
mod trial_evidence;
mod trial_history;
mod trial_observation;
mod trial_open;
mod trial_outcome;
mod trial_peers;
mod trial_wait;
mod unusable;
pub mod usage;
pub mod versions;

pub use error::{Error, Result};
