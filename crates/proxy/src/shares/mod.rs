//! Admission of requests within the rates of their accounts.
//!
//! The token bucket of an account is split into parts, one for each data centre.
//! The keeper of a part is the VM that leases slices of it to other VMs, as
//! [`chicoryhollow_core::share`] decides. Each VM holds slices of the accounts that
//! its callers use, and is the keeper of the parts that the platform's table assigns
//! to it.
//! The table is read only when a keeper may have changed; requests are admitted
//! without it.

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
    slots::{CheckSchedule, KeeperOrigin, Slot, Slots, Source},
};
use crate::{node::Node, peers::Reply};

/// Time between two checks of the waiting requests and of the slices.
const TICK_INTERVAL: Duration = Duration::from_millis(5);

/// Time without requests of callers after which no more slices are requested for an
/// account.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Time after the start of the daemon during which it waits for the keepers of all
/// parts.
const STARTUP_PERIOD: Duration = Duration::from_secs(6);

/// Maximum number of configured accounts for which a daemon requests slices before
/// callers send requests.
const MAX_PREFETCH_ACCOUNTS: usize = 256;

/// Time between two checks whether a row should be requested.
const SLOT_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two checks by a request that waits for the first keeper of its
/// account.
const KEEPER_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Admits requests within the rates of their accounts.
#[derive(Debug, Default)]
pub struct Shares {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    accounts: HashMap<AccountId, Account>,
    keepers: HashMap<AccountId, Keeper>,
    slots: Slots,
    /// Accounts with recent requests. Only these need slices.
    active: Vec<AccountId>,
    /// Number of changes of `slots`.
    changes: u64,
    /// Version of the configuration and number of changes of `slots` that are
    /// applied.
    applied: (u64, u64),
}

/// State of one account for the callers of this VM.
#[derive(Debug)]
struct Account {
    holder: Holder,
    waiting: VecDeque<oneshot::Sender<()>>,
    /// Time of the last request, if the account is active.
    last_used: Option<Time>,
}

impl Shares {
    /// Creates the state of a daemon that holds no slices.
    pub fn new() -> Self {
        Shares::default()
    }

    /// Waits for a token of `account`, at most until `deadline`.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::RateExceeded`] if there is none by `deadline` or within
    /// [`MAX_TOKEN_WAIT`], or if too many requests already wait.
    pub async fn admit(
        &self,
        node: &Arc<Node>,
        account: &AccountId,
        deadline: Time,
    ) -> Result<(), Refusal> {
        while !self.has_keeper(account) {
            if node.clock.now() >= deadline {
                return Err(Refusal::RateExceeded);
            }
            sleep(KEEPER_POLL_INTERVAL).await;
        }
        let now = node.clock.now();
        let granted = match self.admit_or_queue(account, now) {
            Ok(()) => return Ok(()),
            Err(granted) => granted.ok_or(Refusal::RateExceeded)?,
        };
        let max_wait = MAX_TOKEN_WAIT.min(deadline.since(now));
        match timeout(max_wait, granted).await {
            Ok(Ok(())) => Ok(()),
            _ => Err(Refusal::RateExceeded),
        }
    }

    /// Returns whether the keepers of all configured accounts are known.
    ///
    /// A daemon that has just started waits for the keepers of all parts, because
    /// all data centres may be starting at the same time. Later, one keeper per
    /// account is enough.
    pub(crate) fn has_keepers(&self, node: &Node) -> bool {
        let starting = node.clock.now() < Time::default() + STARTUP_PERIOD;
        let state = self.lock();
        let kept = |slot: &u64| match state.slots.get(slot) {
            Some(slot) if starting => slot.has_all_keepers(node),
            Some(slot) => slot.record.parts.values().any(|part| part.keeper.is_some()),
            None => false,
        };
        slots::in_use(node).iter().all(kept)
    }

    fn has_keeper(&self, account: &AccountId) -> bool {
        self.lock().accounts.get(account).is_some_and(|known| known.holder.has_keeper())
    }

    /// Counts a request. If it is not admitted immediately, the error is a receiver
    /// that completes once it is admitted, or `None` if it is refused.
    fn admit_or_queue(
        &self,
        account: &AccountId,
        now: Time,
    ) -> Result<(), Option<oneshot::Receiver<()>>> {
        let mut state = self.lock();
        let State { accounts, active, .. } = &mut *state;
        let known = accounts.get_mut(account).ok_or(None)?;
        if known.last_used.replace(now).is_none() {
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
    /// Returns whether the account has recent or waiting requests. The leases of an
    /// inactive account are not renewed.
    fn is_active(&mut self, now: Time) -> bool {
        let recent = self.last_used.is_some_and(|used| now.since(used) < IDLE_TIMEOUT);
        if !recent && self.waiting.is_empty() {
            self.last_used = None;
        }
        self.last_used.is_some()
    }

    /// Admits as many waiting requests as there are tokens.
    fn release(&mut self, now: Time) {
        self.waiting.retain(|waiter| !waiter.is_closed());
        while !self.waiting.is_empty() && self.holder.admit(0, now) == Admission::Admitted {
            if let Some(waiter) = self.waiting.pop_front() {
                // The token is lost if the request has just stopped waiting.
                waiter.send(()).ok();
            }
        }
    }
}

impl State {
    /// Applies the configured accounts and the keepers of their parts.
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
            slots.get(&slot(account)).is_some_and(|slot| slot.origin.is_some())
        });
        // If there are few accounts, their first slices are requested before their
        // first request arrives.
        let prefetch = configured.len() <= MAX_PREFETCH_ACCOUNTS;
        for (name, account) in configured {
            let quota = quota(account);
            if prefetch && !self.accounts.contains_key(name) {
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
                last_used: prefetch.then(|| node.clock.now()),
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

    /// Stores the row of a slot and counts the change, if it has changed.
    fn update_slot(&mut self, slot: u64, found: Slot) {
        if self.slots.get(&slot) != Some(&found) {
            self.slots.insert(slot, found);
            self.changes += 1;
        }
    }

    /// Answers a request for a slice of a part. Returns `None` if this incarnation of
    /// the daemon is not the keeper.
    fn lend(
        &mut self,
        node: &Node,
        vm: &VmId,
        part: &Part,
        request: &SliceRequest,
    ) -> Option<Grant> {
        let own = part.keeper == node.incarnation && part.data_centre == node.settings.data_centre;
        if !own {
            return None;
        }
        if !self.keepers.contains_key(&part.account) {
            let keeper = self.new_keeper(node, &part.account)?;
            self.keepers.insert(part.account.clone(), keeper);
        }
        self.keepers.get_mut(&part.account)?.lend(vm, request, node.clock.now())
    }

    fn new_keeper(&self, node: &Node, account: &AccountId) -> Option<Keeper> {
        let versioned = node.configuration();
        let quota = quota(versioned.configuration.accounts.get(account)?);
        let slot = self.slots.get(&slot(account))?;
        let share = slot.record.parts.get(&node.settings.data_centre)?.share;
        match slot.origin? {
            KeeperOrigin::First => Some(Keeper::new(quota, share, node.clock.now())),
            KeeperOrigin::TakenOver(since) => {
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

    /// Returns the requests for slices that are due now, each with its keeper.
    fn due_requests(&mut self, now: Time) -> Vec<(VmId, Part, SliceRequest)> {
        let mut requests = Vec::new();
        let State { accounts, active, .. } = self;
        active.retain(|name| accounts.get_mut(name).is_some_and(|known| known.is_active(now)));
        for name in active.iter() {
            let Some(known) = accounts.get_mut(name) else { continue };
            known.release(now);
            for (data_centre, keeper, request) in known.holder.due_requests(now) {
                let account = name.clone();
                let part = Part { account, data_centre, keeper: keeper.incarnation };
                requests.push((keeper.vm, part, request));
            }
        }
        requests
    }
}

fn quota(account: &chicoryhollow_config::Account) -> Quota {
    Quota { rate: account.rate.per_second(), burst: account.burst.requests() }
}

/// Requests slices and updates the known keepers until the daemon ends.
pub async fn follow(node: Arc<Node>, platform: HttpPlatform) {
    actix::spawn(follow_slots(Arc::clone(&node), platform));
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let requests = node.shares.lock().due_requests(node.clock.now());
        for (vm, part, request) in requests {
            send_request(&node, &vm, &part, &request);
        }
    }
}

/// Sends a request to the keeper, which may be this VM.
fn send_request(node: &Arc<Node>, vm: &VmId, part: &Part, request: &SliceRequest) {
    if *vm != node.settings.vm {
        // If the keeper cannot be reached, the request is repeated soon.
        node.peers.send(node, vm, Body::ShareAsk(convert::encode_request(part, request)));
        return;
    }
    let mut state = node.shares.lock();
    if let Some(grant) = state.lend(node, vm, part, request) {
        state.accept(vm, part, &grant, node.clock.now());
    }
}

/// Updates the rows of the slots in use, and claims parts of which this VM should be
/// the keeper.
async fn follow_slots(node: Arc<Node>, platform: HttpPlatform) {
    let mut schedule = CheckSchedule::default();
    let mut ticks = interval(SLOT_CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let in_use = slots::in_use(&node);
        for slot in &in_use {
            let known = node.shares.lock().slots.get(slot).cloned();
            match schedule.next_source(&node, *slot, known.as_ref(), in_use.len()) {
                None => {}
                Some(Source::Platform) => {
                    if let Some(found) = slots::read_and_claim(&node, &platform, *slot, known).await
                    {
                        node.shares.lock().update_slot(*slot, found);
                    }
                }
                Some(Source::Peer(vm)) => {
                    let version = known.map_or(0, |known| known.version());
                    // If the VM does not answer, it or another VM is asked later.
                    node.peers.send(&node, &vm, Body::SlotAsk(SlotAsk { slot: *slot, version }));
                }
            }
        }
        node.shares.lock().configure(&node);
    }
}

/// Handles a control message of another VM.
pub(crate) fn receive(node: &Arc<Node>, from: &VmId, body: Body, reply: &Reply) {
    match body {
        Body::ShareAsk(message) => {
            let Some((part, request)) = convert::decode_request(&message) else { return };
            let grant = node.shares.lock().lend(node, from, &part, &request);
            if let Some(grant) = grant {
                // If the grant is lost, the VM asks again.
                reply.send(Body::ShareGrant(convert::encode_grant(&part, &grant)));
            }
        }
        Body::ShareGrant(message) => {
            if let Some((part, grant)) = convert::decode_grant(&message) {
                node.shares.lock().accept(from, &part, &grant, node.clock.now());
            }
        }
        Body::SlotAsk(request) => {
            let state = node.shares.lock();
            let known = state.slots.get(&request.slot);
            if let Some(answer) =
                known.and_then(|k| slots::answer(request.slot, k, request.version))
            {
                // If the answer is lost, the VM asks again.
                reply.send(Body::SlotAnswer(answer));
            }
        }
        Body::SlotAnswer(answer) => {
            let mut state = node.shares.lock();
            if let Some(found) = slots::apply_answer(node, state.slots.get(&answer.slot), &answer) {
                state.update_slot(answer.slot, found);
            }
        }
        _ => {}
    }
}
