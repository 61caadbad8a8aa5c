//! Tokens are never doubled: every interleaving of a few steps of a small fleet is
//! explored, with messages that are lost or late and a VM that starts anew.

use std::collections::{HashSet, VecDeque};

use chicoryhollow_core::{Time, allowance::TokenBalance};

const RATE: f64 = 2.0;
const BURST: f64 = 2.0;
const KEEPERS: usize = 2;
const VMS: usize = 3;
const TICK_MS: u64 = 500;
const MOST_TICKS: u64 = 2;
const MOST_RESTARTS: u8 = 1;
const MOST_STEPS: u32 = 8;

/// Rounding of sums of tokens.
const ROUNDING: f64 = 1e-6;

/// A message on its way.
#[derive(Clone, Debug)]
enum Message {
    Ask { from: usize, to: usize, wanted: f64 },
    Grant { to: usize, tokens: f64, incarnation: u8 },
}

#[derive(Clone, Debug)]
struct World {
    ticks: u64,
    purses: Vec<TokenBalance>,
    incarnations: [u8; VMS],
    messages: Vec<Message>,
    spent: u64,
    /// Tokens with which keepers started.
    opened: f64,
    restarts: u8,
}

impl World {
    fn new() -> Self {
        let purses: Vec<TokenBalance> = (0..VMS).map(|vm| purse(vm, Time::default())).collect();
        let opened = purses.iter().map(TokenBalance::tokens).sum();
        World {
            ticks: 0,
            purses,
            incarnations: [0; VMS],
            messages: Vec::new(),
            spent: 0,
            opened,
            restarts: 0,
        }
    }

    fn now(&self) -> Time {
        Time::from_millis(self.ticks * TICK_MS)
    }

    /// Returns all tokens that are or can still be spent.
    fn tokens(&self) -> f64 {
        let granted = |message: &Message| match message {
            Message::Grant { tokens, .. } => *tokens,
            Message::Ask { .. } => 0.0,
        };
        let held: f64 = self.purses.iter().map(TokenBalance::tokens).sum();
        held + self.messages.iter().map(granted).sum::<f64>() + self.spent as f64
    }

    /// Returns the tokens that the account may ever have had.
    fn bound(&self) -> f64 {
        self.opened + RATE * (self.ticks * TICK_MS) as f64 / 1_000.0
    }
}

fn purse(vm: usize, now: Time) -> TokenBalance {
    let mut purse = TokenBalance::new(now);
    purse.set_limits(RATE, BURST, if vm < KEEPERS { KEEPERS } else { 0 }, now);
    purse
}

/// Returns every world that one step leads to.
fn steps(world: &World) -> Vec<World> {
    let now = world.now();
    let mut next = Vec::new();
    if world.ticks < MOST_TICKS {
        next.push(World { ticks: world.ticks + 1, ..world.clone() });
    }
    for vm in 0..VMS {
        let mut spending = world.clone();
        if spending.purses[vm].take(now) {
            spending.spent += 1;
            next.push(spending);
        }
        for to in (0..KEEPERS).filter(|to| *to != vm && world.messages.is_empty()) {
            let mut asking = world.clone();
            if let Some(wanted) = asking.purses[vm].next_request(2, now) {
                asking.messages.push(Message::Ask { from: vm, to, wanted });
                next.push(asking);
            }
        }
        if world.restarts < MOST_RESTARTS {
            let mut restarted = world.clone();
            restarted.purses[vm] = purse(vm, now);
            restarted.opened += restarted.purses[vm].tokens();
            restarted.incarnations[vm] += 1;
            restarted.restarts += 1;
            next.push(restarted);
        }
    }
    for i in 0..world.messages.len() {
        let mut lost = world.clone();
        let message = lost.messages.remove(i);
        let mut taken = lost.clone();
        match message {
            Message::Ask { from, to, wanted } => {
                let tokens = taken.purses[to].grant(wanted, now);
                let incarnation = taken.incarnations[from];
                taken.messages.push(Message::Grant { to: from, tokens, incarnation });
            }
            // A connection ends with the daemon, and what was on it is lost.
            Message::Grant { to, tokens, incarnation } => {
                if incarnation == taken.incarnations[to] {
                    taken.purses[to].receive(tokens, KEEPERS, now);
                }
            }
        }
        next.extend([lost, taken]);
    }
    next
}

#[test]
fn no_interleaving_doubles_a_token() {
    let start = World::new();
    let mut seen = HashSet::from([format!("{start:?}")]);
    let mut queue = VecDeque::from([(start, 0)]);
    let mut most = 0;
    while let Some((world, depth)) = queue.pop_front() {
        assert!(world.tokens() <= world.bound() + ROUNDING, "{world:?}");
        most = most.max(world.spent);
        if depth == MOST_STEPS {
            continue;
        }
        for next in steps(&world) {
            if seen.insert(format!("{next:?}")) {
                queue.push_back((next, depth + 1));
            }
        }
    }
    println!("{} states, {most} tokens spent at most", seen.len());
    assert!(most as f64 >= BURST, "the bucket can be spent");
}
