//! Admission of requests within the rates of their accounts.
//!
//! Each VM holds slices of the accounts that its callers use, and keeps the
//! parts that the platform's table assigns to it. The table is read when a
//! keeper may have changed; nothing else here needs it.

mod convert;
mod slots;

use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use chicoryhollow_core::{
    prelude::*,
    share::{
        Admission, Grant, Holder, Keeper, KeeperId, Quota, SliceRequest, holder::MAX_TOKEN_WAIT,
        record::slot,
    },
};
use chicoryhollow_peer::{Body, share::SlotAsk};
use chicoryhollow_store::HttpPlatform;
use tokio::{
    sync::oneshot,
    time::{MissedTickBehavior, interval, sleep, timeout},
};

use self::{
    convert::Part,
    slots::{Reviews, Slot, Slots, Source, Tenure},
};
use crate::{node::Node, peers::Reply};

/// Time between two looks at the waiting requests and the slices held.
const TICK: Duration = Duration::from_millis(5);

/// Time without requests after which an account asks for no more slices.
const IDLE: Duration = Duration::from_secs(15);

/// Time after the start of the daemon in which it waits for all keepers.
const STARTING: Duration = Duration::from_secs(6);

/// Most accounts for which a daemon asks for slices before any request comes.
const AHEAD_ACCOUNTS: usize = 256;

/// Time between two looks at whether a row is due.
const SLOT_TICK: Duration = Duration::from_millis(200);

/// Pause of a request that waits for the first keeper of its account.
const UNASSIGNED_PAUSE: Duration = Duration::from_millis(20);

/// Admits requests by account.
#[derive(Debug, Default)]
pub struct Shares {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    accounts: HashMap<AccountId, Account>,
    keepers: HashMap<AccountId, Keeper>,
    slots: Slots,
    /// Accounts with requests lately; only these need slices.
    active: Vec<AccountId>,
    /// Counts the changes of `slots`.
    changes: u64,
    /// Version of the configuration and changes of `slots` that are applied.
    applied: (u64, u64),
}

/// One account as callers of this VM use it.
#[derive(Debug)]
struct Account {
    holder: Holder,
    waiting: VecDeque<oneshot::Sender<()>>,
    /// When a request last came, if the account is active.
    used: Option<Time>,
}

impl Shares {
    /// Makes an admission that holds no shares.
    pub fn new() -> Self {
        Shares::default()
    }

    /// Waits for a token of `account` until `deadline`.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::RateExceeded`] when none comes in time.
    pub async fn admit(
        &self,
        node: &Arc<Node>,
        account: &AccountId,
        deadline: Time,
    ) -> Result<(), Refusal> {
        while !self.is_assigned(account) {
            if node.clock.now() >= deadline {
                return Err(Refusal::RateExceeded);
            }
            sleep(UNASSIGNED_PAUSE).await;
        }
        let now = node.clock.now();
        let granted = match self.arrive(account, now) {
            Ok(()) => return Ok(()),
            Err(granted) => granted.ok_or(Refusal::RateExceeded)?,
        };
        let patience = MAX_TOKEN_WAIT.min(deadline.since(now));
        match timeout(patience, granted).await {
            Ok(Ok(())) => Ok(()),
            _ => Err(Refusal::RateExceeded),
        }
    }

    /// Tells whether the keepers of each configured account are known.
    ///
    /// A daemon that has just started waits for the keepers of all parts, since
    /// all data centres may be starting; later one is enough.
    pub(crate) fn has_keepers(&self, node: &Node) -> bool {
        let starting = node.clock.now() < Time::default() + STARTING;
        let state = self.lock();
        let kept = |slot: &u64| match state.slots.get(slot) {
            Some(slot) if starting => slot.is_settled(node),
            Some(slot) => slot.record.parts.values().any(|part| part.keeper.is_some()),
            None => false,
        };
        slots::in_use(node).iter().all(kept)
    }

    fn is_assigned(&self, account: &AccountId) -> bool {
        self.lock().accounts.get(account).is_some_and(|known| known.holder.has_keeper())
    }

    /// Counts a request; when it is not admitted at once, returns what tells
    /// when it is, or nothing when it is refused.
    fn arrive(&self, account: &AccountId, now: Time) -> Result<(), Option<oneshot::Receiver<()>>> {
        let mut state = self.lock();
        let State { accounts, active, .. } = &mut *state;
        let known = accounts.get_mut(account).ok_or(None)?;
        if known.used.replace(now).is_none() {
            active.push(account.clone());
        }
        known.waiting.retain(|waiter| !waiter.is_closed());
        match known.holder.admit_new(known.waiting.len(), now) {
            Admission::Admitted => Ok(()),
            Admission::Refused => Err(None),
            Admission::Wait(_) => {
                let (grant, granted) = oneshot::channel();
                known.waiting.push_back(grant);
                Err(Some(granted))
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with this lock")
    }
}

impl Account {
    /// Tells whether the account had requests lately; one that had none lets
    /// its slices lapse.
    fn is_active(&mut self, now: Time) -> bool {
        let recent = self.used.is_some_and(|used| now.since(used) < IDLE);
        if !recent && self.waiting.is_empty() {
            self.used = None;
        }
        self.used.is_some()
    }

    /// Admits as many waiting requests as there are tokens for.
    fn release(&mut self, now: Time) {
        self.waiting.retain(|waiter| !waiter.is_closed());
        while !self.waiting.is_empty() && self.holder.admit(0, now) == Admission::Admitted {
            if let Some(waiter) = self.waiting.pop_front() {
                // A request that gave up just now loses its token.
                waiter.send(()).ok();
            }
        }
    }
}

impl State {
    /// Takes over the configured accounts and who keeps their parts.
    fn configure(&mut self, node: &Node) {
        let versioned = node.configuration();
        let newest = (versioned.version, self.changes);
        if self.applied == newest {
            return;
        }
        self.applied = newest;
        let configured = &versioned.configuration.accounts;
        self.accounts.retain(|account, _| configured.contains_key(account));
        let slots = &self.slots;
        self.keepers.retain(|account, _| {
            slots.get(&slot(account)).is_some_and(|slot| slot.tenure.is_some())
        });
        // Few accounts get their first slices ahead of their first request.
        let ahead = configured.len() <= AHEAD_ACCOUNTS;
        for (name, account) in configured {
            let quota = quota(account);
            if ahead && !self.accounts.contains_key(name) {
                self.active.push(name.clone());
            }
            let known = self.accounts.entry(name.clone()).or_insert_with(|| Account {
                holder: Holder::new(
                    quota,
                    node.settings.data_centre.clone(),
                    node.incarnation,
                    node.clock.now(),
                ),
                waiting: VecDeque::new(),
                used: ahead.then(|| node.clock.now()),
            });
            known.holder.set_quota(quota);
            if let Some(slot) = self.slots.get(&slot(name)) {
                known.holder.set_keepers(slot.record.keepers());
            }
            if let Some(keeper) = self.keepers.get_mut(name) {
                keeper.set_quota(quota);
            }
        }
    }

    /// Takes over what is known of a slot.
    fn learn(&mut self, slot: u64, found: Slot) {
        if self.slots.get(&slot) != Some(&found) {
            self.slots.insert(slot, found);
            self.changes += 1;
        }
    }

    /// Answers a request for a slice of a part that this run keeps.
    fn lend(&mut self, node: &Node, vm: &VmId, part: &Part, ask: &SliceRequest) -> Option<Grant> {
        let own = part.keeper == node.incarnation && part.data_centre == node.settings.data_centre;
        if !own {
            return None;
        }
        if !self.keepers.contains_key(&part.account) {
            let keeper = self.keeper(node, &part.account)?;
            self.keepers.insert(part.account.clone(), keeper);
        }
        self.keepers.get_mut(&part.account)?.lend(vm, ask, node.clock.now())
    }

    fn keeper(&self, node: &Node, account: &AccountId) -> Option<Keeper> {
        let versioned = node.configuration();
        let quota = quota(versioned.configuration.accounts.get(account)?);
        let slot = self.slots.get(&slot(account))?;
        let share = slot.record.parts.get(&node.settings.data_centre)?.share;
        match slot.tenure? {
            Tenure::First => Some(Keeper::new(quota, share, node.clock.now())),
            Tenure::Since(since) => {
                let listed = node.members.vms();
                let vms = listed.iter().map(|vm| vm.vm.clone());
                Some(Keeper::with_takeover(quota, share, vms, since))
            }
        }
    }

    fn accept(&mut self, from: &VmId, part: &Part, grant: &Grant, now: Time) {
        let keeper = KeeperId { vm: from.clone(), incarnation: part.keeper };
        if let Some(known) = self.accounts.get_mut(&part.account) {
            known.holder.accept(&part.data_centre, &keeper, grant, now);
            known.release(now);
        }
    }

    /// Collects the requests to be sent now.
    fn asks(&mut self, now: Time) -> Vec<(VmId, Part, SliceRequest)> {
        let mut asks = Vec::new();
        let State { accounts, active, .. } = self;
        active.retain(|name| accounts.get_mut(name).is_some_and(|known| known.is_active(now)));
        for name in active.iter() {
            let Some(known) = accounts.get_mut(name) else { continue };
            known.release(now);
            for (data_centre, keeper, ask) in known.holder.due_requests(now) {
                let account = name.clone();
                let part = Part { account, data_centre, keeper: keeper.incarnation };
                asks.push((keeper.vm, part, ask));
            }
        }
        asks
    }
}

fn quota(account: &chicoryhollow_config::Account) -> Quota {
    Quota { rate: account.rate.per_second(), burst: account.burst.requests() }
}

/// Keeps slices and parts up to date for as long as the daemon runs.
pub async fn follow(node: Arc<Node>, platform: HttpPlatform) {
    actix::spawn(follow_slots(Arc::clone(&node), platform));
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let asks = node.shares.lock().asks(node.clock.now());
        for (vm, part, ask) in asks {
            send(&node, &vm, &part, &ask);
        }
    }
}

/// Sends a request to its keeper, which may be this VM.
fn send(node: &Arc<Node>, vm: &VmId, part: &Part, ask: &SliceRequest) {
    if *vm != node.settings.vm {
        // A keeper that cannot be reached is asked again soon.
        node.peers.send(node, vm, Body::ShareAsk(convert::ask_message(part, ask)));
        return;
    }
    let mut state = node.shares.lock();
    if let Some(grant) = state.lend(node, vm, part, ask) {
        state.accept(vm, part, &grant, node.clock.now());
    }
}

/// Follows the rows of the slots in use and claims parts.
async fn follow_slots(node: Arc<Node>, platform: HttpPlatform) {
    let mut reviews = Reviews::default();
    let mut ticks = interval(SLOT_TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let in_use = slots::in_use(&node);
        for slot in &in_use {
            let known = node.shares.lock().slots.get(slot).cloned();
            match reviews.next(&node, *slot, known.as_ref(), in_use.len()) {
                None => {}
                Some(Source::Platform) => {
                    if let Some(found) = slots::review(&node, &platform, *slot, known).await {
                        node.shares.lock().learn(*slot, found);
                    }
                }
                Some(Source::Peer(vm)) => {
                    let version = known.map_or(0, |known| known.version());
                    // A VM that does not answer is asked again, or another one.
                    node.peers.send(&node, &vm, Body::SlotAsk(SlotAsk { slot: *slot, version }));
                }
            }
        }
        node.shares.lock().configure(&node);
    }
}

/// Receives a control message of another VM.
pub(crate) fn receive(node: &Arc<Node>, from: &VmId, body: Body, reply: &Reply) {
    match body {
        Body::ShareAsk(message) => {
            let Some((part, ask)) = convert::ask(&message) else { return };
            let grant = node.shares.lock().lend(node, from, &part, &ask);
            if let Some(grant) = grant {
                // A lost answer makes the holder ask again.
                reply.send(Body::ShareGrant(convert::grant_message(&part, &grant)));
            }
        }
        Body::ShareGrant(message) => {
            if let Some((part, grant)) = convert::grant(&message) {
                node.shares.lock().accept(from, &part, &grant, node.clock.now());
            }
        }
        Body::SlotAsk(ask) => {
            let state = node.shares.lock();
            let known = state.slots.get(&ask.slot);
            if let Some(answer) = known.and_then(|k| slots::answer(ask.slot, k, ask.version)) {
                // A lost answer makes the other VM ask again.
                reply.send(Body::SlotAnswer(answer));
            }
        }
        Body::SlotAnswer(answer) => {
            let mut state = node.shares.lock();
            if let Some(found) = slots::answered(node, state.slots.get(&answer.slot), &answer) {
                state.learn(answer.slot, found);
            }
        }
        _ => {}
    }
}
