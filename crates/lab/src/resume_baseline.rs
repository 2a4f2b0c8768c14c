//! Baseline recovery policies, on the same simulated engines as the resume of the core.

use std::time::Duration;

use crate::resume::{ANSWER_TOKENS, Cost, Fault, Scenario};

/// Time until a closed connection is detected.
const CLOSE_DETECTION_TIME: Duration = Duration::from_millis(2);
/// Timeout for connecting to an engine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout for the first token of a new attempt, as in the core.
const FIRST_TOKEN_TIMEOUT: Duration = Duration::from_secs(1);

/// Generates the answer from the beginning on another engine; the caller waits until the new answer reaches the length
/// of the interrupted one.
pub(crate) fn restart(mut scenario: Scenario, silence: Duration) -> Cost {
    let mut cost = Cost {
        latency: detection_time(&scenario, silence),
        extra_tokens: scenario.fault_token,
        ..Cost::default()
    };
    cost.false_alarms = count_long_gaps(&mut scenario, silence);
    // Each false alarm causes a restart, which discards half of the tokens before the fault on average.
    cost.extra_tokens += cost.false_alarms * scenario.fault_token / 2;
    cost.prompt_tokens += cost.false_alarms * scenario.prompt;
    cost.latency += time_to_next_engine(&mut scenario, 0, &mut cost.prompt_tokens);
    for _ in 0..scenario.fault_token {
        cost.latency += scenario.gap();
    }
    cost
}

/// Opens a second attempt after a gap of `limit` and keeps whichever sends the next token first.
pub(crate) fn hedge(mut scenario: Scenario, limit: Duration) -> Cost {
    let mut cost = Cost::default();
    // Each gap over the limit processes the prompt again and, when the first engine wins, wastes about one token.
    for index in 0..scenario.fault_token {
        if scenario.gap() > limit {
            cost.false_alarms += 1;
            cost.prompt_tokens += scenario.prompt + index;
            cost.extra_tokens += 1;
        }
    }
    cost.latency = detection_time(&scenario, limit);
    let fault_token = scenario.fault_token;
    cost.latency += time_to_next_engine(&mut scenario, fault_token, &mut cost.prompt_tokens);
    for index in scenario.fault_token..ANSWER_TOKENS {
        if scenario.gap() > limit {
            cost.false_alarms += 1;
            cost.prompt_tokens += scenario.prompt + index;
            cost.extra_tokens += 1;
        }
    }
    cost
}

/// Returns the time until the failure is detected.
fn detection_time(scenario: &Scenario, silence: Duration) -> Duration {
    match scenario.fault {
        Fault::Killed => CLOSE_DETECTION_TIME,
        Fault::HostLost | Fault::Frozen | Fault::SilentConnection => silence,
    }
}

fn count_long_gaps(scenario: &mut Scenario, limit: Duration) -> u32 {
    let gaps = (0..scenario.fault_token).filter(|_| scenario.gap() > limit);
    u32::try_from(gaps.count()).unwrap_or(u32::MAX)
}

/// Returns the time to the first token of another engine, including attempts at engines that fail as well.
fn time_to_next_engine(scenario: &mut Scenario, resumed: u32, prompt_tokens: &mut u32) -> Duration {
    let mut waited = Duration::ZERO;
    loop {
        *prompt_tokens += scenario.prompt + resumed;
        match scenario.second_fault() {
            None => break,
            Some(Fault::Killed) => waited += CLOSE_DETECTION_TIME,
            Some(Fault::HostLost) => waited += CONNECT_TIMEOUT,
            Some(Fault::Frozen | Fault::SilentConnection) => waited += FIRST_TOKEN_TIMEOUT,
        }
    }
    waited + scenario.first_token(scenario.prompt + resumed)
}
