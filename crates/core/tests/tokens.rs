//! Tokens are never duplicated. The test explores every interleaving of a few steps of
//! three VMs, with lost or late messages and a restart of a VM.

use std::collections::{HashSet, VecDeque};

use chicoryhollow_core::{Time, allowance::TokenBalance};

const RATE: f64 = 2.0;
const BURST: f64 = 2.0;
const KEEPERS: usize = 2;
const VMS: usize = 3;
const TICK_MS: u64 = 500;
const MAX_TICKS: u64 = 2;
const MAX_RESTARTS: u8 = 1;
const MAX_STEPS: u32 = 8;

/// Allowed rounding error of sums of tokens.
const ROUNDING: f64 = 1e-6;

/// A message in transit.
#[derive(Clone, Debug)]
enum Message {
    Ask { from: usize, to: usize, wanted: f64 },
    Grant { to: usize, tokens: f64, incarnation: u8 },
}

#[derive(Clone, Debug)]
struct State {
    ticks: u64,
    balances: Vec<TokenBalance>,
    incarnations: [u8; VMS],
    messages: Vec<Message>,
    spent: u64,
    /// Tokens that keepers had when they started.
    initial: f64,
    restarts: u8,
}

impl State {
    fn new() -> Self {
        let balances: Vec<TokenBalance> = (0..VMS).map(|vm| balance(vm, Time::default())).collect();
        let initial = balances.iter().map(TokenBalance::tokens).sum();
        State {
            ticks: 0,
            balances,
            incarnations: [0; VMS],
            messages: Vec::new(),
            spent: 0,
            initial,
            restarts: 0,
        }
    }

    fn now(&self) -> Time {
        Time::from_millis(self.ticks * TICK_MS)
    }

    /// Returns all tokens that have been or can still be spent.
    fn tokens(&self) -> f64 {
        let granted = |message: &Message| match message {
            Message::Grant { tokens, .. } => *tokens,
            Message::Ask { .. } => 0.0,
        };
        let held: f64 = self.balances.iter().map(TokenBalance::tokens).sum();
        held + self.messages.iter().map(granted).sum::<f64>() + self.spent as f64
    }

    /// Returns the maximum number of tokens that the account may have had up to now.
    fn bound(&self) -> f64 {
        self.initial + RATE * (self.ticks * TICK_MS) as f64 / 1_000.0
    }
}

fn balance(vm: usize, now: Time) -> TokenBalance {
    let mut balance = TokenBalance::new(now);
    balance.set_limits(RATE, BURST, if vm < KEEPERS { KEEPERS } else { 0 }, now);
    balance
}

/// Returns every state that can follow `state` in one step.
fn steps(state: &State) -> Vec<State> {
    let now = state.now();
    let mut next = Vec::new();
    if state.ticks < MAX_TICKS {
        next.push(State { ticks: state.ticks + 1, ..state.clone() });
    }
    for vm in 0..VMS {
        let mut spending = state.clone();
        if spending.balances[vm].take(now) {
            spending.spent += 1;
            next.push(spending);
        }
        for to in (0..KEEPERS).filter(|to| *to != vm && state.messages.is_empty()) {
            let mut asking = state.clone();
            if let Some(wanted) = asking.balances[vm].next_request(2, now) {
                asking.messages.push(Message::Ask { from: vm, to, wanted });
                next.push(asking);
            }
        }
        if state.restarts < MAX_RESTARTS {
            let mut restarted = state.clone();
            restarted.balances[vm] = balance(vm, now);
            restarted.initial += restarted.balances[vm].tokens();
            restarted.incarnations[vm] += 1;
            restarted.restarts += 1;
            next.push(restarted);
        }
    }
    for i in 0..state.messages.len() {
        let mut lost = state.clone();
        let message = lost.messages.remove(i);
        let mut delivered = lost.clone();
        match message {
            Message::Ask { from, to, wanted } => {
                let tokens = delivered.balances[to].grant(wanted, now);
                let incarnation = delivered.incarnations[from];
                delivered.messages.push(Message::Grant { to: from, tokens, incarnation });
            }
            // The connection ends when the daemon restarts, and its messages are lost.
            Message::Grant { to, tokens, incarnation } => {
                if incarnation == delivered.incarnations[to] {
                    delivered.balances[to].receive(tokens, KEEPERS, now);
                }
            }
        }
        next.extend([lost, delivered]);
    }
    next
}

#[test]
fn no_interleaving_duplicates_a_token() {
    let start = State::new();
    let mut seen = HashSet::from([format!("{start:?}")]);
    let mut queue = VecDeque::from([(start, 0)]);
    let mut most = 0;
    while let Some((state, depth)) = queue.pop_front() {
        assert!(state.tokens() <= state.bound() + ROUNDING, "{state:?}");
        most = most.max(state.spent);
        if depth == MAX_STEPS {
            continue;
        }
        for next in steps(&state) {
            if seen.insert(format!("{next:?}")) {
                queue.push_back((next, depth + 1));
            }
        }
    }
    println!("{} states, {most} tokens spent at most", seen.len());
    assert!(most as f64 >= BURST, "the exploration spends a whole burst");
}
