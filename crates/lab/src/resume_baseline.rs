//! The alternatives to the machine's resume, on the same engines.

use std::time::Duration;

use crate::resume::{Cost, Fault, LENGTH, Scenario};

/// The time in which a closed connection is noticed.
const CLOSED: Duration = Duration::from_millis(2);
/// The time limit of a new connection to an engine.
const CONNECT_LIMIT: Duration = Duration::from_millis(250);
/// The time limit of the first token of a new attempt, as in the machine.
const FIRST_TOKEN: Duration = Duration::from_secs(1);

/// Generates the answer from the beginning on another engine; the caller waits until the new answer is as long as the
/// old one was.
pub(crate) fn restart(mut scenario: Scenario, silence: Duration) -> Cost {
    let mut cost = Cost {
        latency: detection(&scenario, silence),
        extra_tokens: scenario.after,
        ..Cost::default()
    };
    cost.false_alarms = long_gaps(&mut scenario, silence);
    // Each false alarm restarts as well; half of the tokens before the fault are lost on average.
    cost.extra_tokens += cost.false_alarms * scenario.after / 2;
    cost.prompt_tokens += cost.false_alarms * scenario.prompt;
    cost.latency += next_engine(&mut scenario, 0, &mut cost.prompt_tokens);
    for _ in 0..scenario.after {
        cost.latency += scenario.gap();
    }
    cost
}

/// Opens a second attempt after a gap of `limit` and keeps whichever sends the next token first.
pub(crate) fn hedge(mut scenario: Scenario, limit: Duration) -> Cost {
    let mut cost = Cost::default();
    // Each gap over the limit reads the prompt again and, when the first engine wins, wastes about one token.
    for index in 0..scenario.after {
        if scenario.gap() > limit {
            cost.false_alarms += 1;
            cost.prompt_tokens += scenario.prompt + index;
            cost.extra_tokens += 1;
        }
    }
    cost.latency = detection(&scenario, limit);
    let after = scenario.after;
    cost.latency += next_engine(&mut scenario, after, &mut cost.prompt_tokens);
    for index in scenario.after..LENGTH {
        if scenario.gap() > limit {
            cost.false_alarms += 1;
            cost.prompt_tokens += scenario.prompt + index;
            cost.extra_tokens += 1;
        }
    }
    cost
}

/// Returns the time until the loss is noticed.
fn detection(scenario: &Scenario, silence: Duration) -> Duration {
    match scenario.fault {
        Fault::Killed => CLOSED,
        Fault::HostLost | Fault::Frozen | Fault::SilentConnection => silence,
    }
}

fn long_gaps(scenario: &mut Scenario, limit: Duration) -> u32 {
    let gaps = (0..scenario.after).filter(|_| scenario.gap() > limit);
    u32::try_from(gaps.count()).unwrap_or(u32::MAX)
}

/// Returns the time to the first token of another engine, after engines that are lost as well.
fn next_engine(scenario: &mut Scenario, resumed: u32, prompt_tokens: &mut u32) -> Duration {
    let mut waited = Duration::ZERO;
    loop {
        *prompt_tokens += scenario.prompt + resumed;
        match scenario.second_fault() {
            None => break,
            Some(Fault::Killed) => waited += CLOSED,
            Some(Fault::HostLost) => waited += CONNECT_LIMIT,
            Some(Fault::Frozen | Fault::SilentConnection) => waited += FIRST_TOKEN,
        }
    }
    waited + scenario.first_token(scenario.prompt + resumed)
}
