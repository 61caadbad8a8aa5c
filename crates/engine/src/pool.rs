//! Pool of connections to one backend server.
//!
//! A connection runs statements of one client account and serves one transaction
//! at a time. It returns to the pool outside of a transaction, or after a rollback
//! was sent, whose answer is checked before the next use. Any other connection is
//! closed, which rolls back its transaction. Requests wait for a connection in turn
//! ([`crate::turn`]).

mod pooled;

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use chicoryhollow_core::{
    AccountId, ServerId, Time,
    admission::{Activity, Limits, Request, least_useful},
    home::{FALLBACK_CONNECTIONS, kept_connections},
    load::Counts,
    waiting::Priority,
};
use tokio::time::timeout;

use crate::{
    catalog::ServerEntry,
    clock,
    seam::{LinkError, ServerProtocol, Target},
    turn::{IdleConnections, Turn, TurnQueue},
};

pub(crate) use self::pooled::PooledConnection;
use self::pooled::ServerConnection;

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Time limit for a command that the server runs outside of its limit of
/// statements, such as one that sets up a connection.
pub(crate) const SETUP_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which a home of the server closes an idle connection.
const HOME_IDLE_LIMIT: Duration = Duration::from_secs(20);

/// Time after which any other VM closes an idle connection. It is short because
/// such a connection uses up the server's limit at the expense of the homes.
const FALLBACK_IDLE_LIMIT: Duration = Duration::from_millis(300);

/// Time after which a home closes an idle connection above the number that it keeps.
const EXCESS_IDLE_LIMIT: Duration = Duration::from_millis(750);

/// Time for which no connection is opened after opening one has failed.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(250);

/// Time from which on a connection that is still being opened shows that the server is
/// hard to reach, so that no others are opened meanwhile.
const SLOW_CONNECT: Duration = Duration::from_millis(250);

/// Time for which a pool opens no more connections than it had when the server accepted no
/// more. The connections of VMs that lost power count on the server for a while.
const FULL_PAUSE: Duration = Duration::from_millis(400);

/// Pool of connections to one backend server.
pub(crate) struct Pool<S: ServerProtocol> {
    protocol: Rc<S>,
    entry: RefCell<ServerEntry>,
    idle: Rc<IdleList<S::Link>>,
    open: Cell<u32>,
    limit: Cell<u32>,
    /// Statements that may run at once, if load decides.
    slots: Cell<u32>,
    turns: Rc<TurnQueue<IdleList<S::Link>>>,
    /// Number of connections that the server accepted when it accepted no more, and until
    /// when this limits the pool.
    ceiling: Cell<Option<(u32, Time)>>,
    unreachable_until: Cell<Time>,
    /// Number of connections that are being opened, and since when none of them was.
    opening: Cell<(u32, Time)>,
    connects: Cell<u64>,
}

/// Idle connections. The one that was idle longest comes first.
struct IdleList<L>(RefCell<Vec<ServerConnection<L>>>);

impl<L> IdleConnections for IdleList<L> {
    fn count(&self, account: &AccountId) -> u32 {
        let idle = self.0.borrow();
        idle.iter().filter(|connection| connection.account == *account).count() as u32
    }
}

/// The right to use one connection of a pool.
type PoolTurn<S> = Turn<IdleList<<S as ServerProtocol>::Link>>;

/// A request for a connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionRequest<'a> {
    /// Client account as which statements run.
    pub(crate) account: &'a AccountId,
    /// Priority of the request.
    pub(crate) priority: Priority,
    /// Longest time to wait.
    pub(crate) patience: Duration,
}

/// Why the pool could not provide a connection.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PoolError {
    /// All connections are in use, and will be for longer than the request may wait.
    #[error("all connections are in use")]
    Exhausted,
    /// The server accepts no more connections.
    #[error("the server accepts no more connections")]
    Full,
    /// The server could not be reached.
    #[error("connecting failed: {0}")]
    Connect(LinkError),
}

impl<S: ServerProtocol> Pool<S> {
    /// Creates a pool within `limits` for the server of `entry`. `load_aware` tells whether
    /// load decides who gets the next connection.
    pub(crate) fn new(
        protocol: Rc<S>,
        entry: ServerEntry,
        limits: Limits,
        load_aware: bool,
    ) -> Self {
        let idle = Rc::new(IdleList(RefCell::new(Vec::new())));
        Pool {
            protocol,
            entry: RefCell::new(entry),
            turns: TurnQueue::new(limits, Rc::clone(&idle), load_aware),
            idle,
            open: Cell::new(0),
            limit: Cell::new(limits.connections),
            slots: Cell::new(limits.slots),
            ceiling: Cell::new(None),
            unreachable_until: Cell::new(Time::default()),
            opening: Cell::new((0, Time::default())),
            connects: Cell::new(0),
        }
    }

    /// Replaces the server's entry. If the server was restarted or has another
    /// address, all idle connections are closed.
    pub(crate) fn set_entry(&self, entry: ServerEntry) {
        let old = self.entry.replace(entry.clone());
        if old.address != entry.address || old.born != entry.born {
            self.clear();
        }
    }

    /// Changes the limits.
    pub(crate) fn set_limits(&self, limits: Limits) {
        self.limit.set(limits.connections);
        self.slots.set(limits.slots);
        self.apply_limit();
    }

    /// Changes the number of statements that may run at once.
    pub(crate) fn set_slots(&self, slots: u32) {
        if self.slots.replace(slots) != slots {
            self.apply_limit();
        }
    }

    /// Returns how many connections may be open now.
    fn current_limit(&self) -> u32 {
        let ceiling = self.ceiling.get().map_or(u32::MAX, |(open, _)| open.max(1));
        self.limit.get().min(ceiling)
    }

    fn apply_limit(&self) {
        let limits = Limits { connections: self.current_limit(), slots: self.slots.get() };
        self.turns.set_limits(limits);
    }

    /// Limits the pool to its open connections for a while, because the server accepts no
    /// more.
    fn record_full(&self) {
        self.ceiling.set(Some((self.open.get(), clock::now() + FULL_PAUSE)));
        self.apply_limit();
    }

    /// Closes all idle connections.
    pub(crate) fn clear(&self) {
        let closed = self.idle.0.take().len() as u32;
        self.open.set(self.open.get().saturating_sub(closed));
    }

    /// Closes connections that have been idle for too long, and lifts the limit of a
    /// server that accepted no more once its time is up.
    pub(crate) fn expire(&self, now: Time) {
        if self.ceiling.get().is_some_and(|(_, until)| now >= until) {
            self.ceiling.set(None);
            self.apply_limit();
        }
        let is_fallback = self.limit.get() <= FALLBACK_CONNECTIONS;
        let limit = if is_fallback { FALLBACK_IDLE_LIMIT } else { HOME_IDLE_LIMIT };
        let mut idle = self.idle.0.borrow_mut();
        let before = idle.len();
        let mut excess = self.open.get().saturating_sub(kept_connections(self.limit.get()));
        // The connection that was idle longest comes first.
        idle.retain(|connection| {
            let unused = now.since(connection.last_used);
            let closes = unused >= limit || (excess > 0 && unused >= EXCESS_IDLE_LIMIT);
            excess = excess.saturating_sub(u32::from(closes));
            !closes
        });
        let closed = (before - idle.len()) as u32;
        self.open.set(self.open.get().saturating_sub(closed));
    }

    /// Returns what requests of each priority do now and had refused since the last call.
    pub(crate) fn take_activity(&self) -> BTreeMap<Priority, Activity> {
        self.turns.take_activity()
    }

    /// Returns the server's name.
    pub(crate) fn server(&self) -> ServerId {
        self.entry.borrow().server.clone()
    }

    /// Returns the connections in use and the requests that wait for one.
    pub(crate) fn counts(&self) -> Counts {
        self.turns.counts()
    }

    /// Returns how many connections the pool has opened so far.
    pub(crate) fn connects(&self) -> u64 {
        self.connects.get()
    }

    /// Takes a connection, after waiting for one if needed.
    ///
    /// # Errors
    ///
    /// Fails when no connection becomes free in time or none can be opened. If none is
    /// expected to become free in time, it fails at once.
    pub(crate) async fn take(
        self: &Rc<Self>,
        request: ConnectionRequest<'_>,
    ) -> Result<PooledConnection<S>, PoolError> {
        let ConnectionRequest { account, priority, patience } = request;
        let turn = self.turns.wait(Request { account, priority, patience }).await;
        let turn = turn.ok_or(PoolError::Exhausted)?;
        self.take_in_turn(account, Some(turn)).await
    }

    /// Takes a connection regardless of the limit, for a command of the daemon to
    /// the server, such as a status request.
    ///
    /// # Errors
    ///
    /// Fails when no connection can be opened.
    pub(crate) async fn take_control(
        self: &Rc<Self>,
        account: &AccountId,
    ) -> Result<PooledConnection<S>, PoolError> {
        let any = self.idle.0.borrow().last().map(|connection| connection.account.clone());
        self.take_in_turn(any.as_ref().unwrap_or(account), None).await
    }

    async fn take_in_turn(
        self: &Rc<Self>,
        account: &AccountId,
        mut turn: Option<PoolTurn<S>>,
    ) -> Result<PooledConnection<S>, PoolError> {
        let reused = self.reuse(account);
        if let Some(turn) = &mut turn {
            turn.settle();
        }
        let Some(connection) = reused else {
            return self.connect(account, turn).await;
        };
        let mut pooled = PooledConnection::new(connection, self, turn);
        if pooled.drain_unread().await.is_ok() {
            return Ok(pooled);
        }
        // The connection broke while it was idle. No statement was running on it, so a
        // new connection can replace it.
        let turn = pooled.turn.take();
        drop(pooled);
        self.connect(account, turn).await
    }

    fn reuse(&self, account: &AccountId) -> Option<ServerConnection<S::Link>> {
        let mut idle = self.idle.0.borrow_mut();
        let found = idle.iter().rposition(|connection| connection.account == *account)?;
        Some(idle.remove(found))
    }

    async fn connect(
        self: &Rc<Self>,
        account: &AccountId,
        mut turn: Option<PoolTurn<S>>,
    ) -> Result<PooledConnection<S>, PoolError> {
        let now = clock::now();
        if turn.is_some() && self.is_hard_to_reach(now) {
            return Err(PoolError::Connect(LinkError::TimedOut));
        }
        if self.open.get() >= self.current_limit() {
            self.close_one();
        }
        let target = self.target(account);
        self.open.set(self.open.get() + 1);
        let opening = Opening::new(self, now);
        self.connects.set(self.connects.get() + 1);
        let connected = timeout(CONNECT_TIMEOUT, self.protocol.connect(&target)).await;
        match connected.unwrap_or(Err(LinkError::TimedOut)) {
            Ok(link) => {
                opening.finish();
                if let Some(turn) = &mut turn {
                    turn.record_opening(clock::now().since(now));
                }
                Ok(PooledConnection::new(ServerConnection::new(link, account.clone()), self, turn))
            }
            Err(LinkError::Full) => {
                drop(opening);
                self.record_full();
                Err(PoolError::Full)
            }
            Err(error) => {
                self.unreachable_until.set(clock::now() + UNREACHABLE_PAUSE);
                Err(PoolError::Connect(error))
            }
        }
    }

    /// Closes an idle connection to make room for one of another account: the one that was idle
    /// longest, or that is least useful if load decides.
    fn close_one(&self) {
        let mut idle = self.idle.0.borrow_mut();
        let accounts = || idle.iter().map(|connection| &connection.account);
        let closed = match self.turns.is_load_aware() {
            true => least_useful(accounts()),
            false => (!idle.is_empty()).then_some(0),
        };
        if let Some(closed) = closed {
            drop(idle.remove(closed));
            self.open.set(self.open.get().saturating_sub(1));
        }
    }

    /// Returns whether opening a connection would fail or take long, as far as is known.
    fn is_hard_to_reach(&self, now: Time) -> bool {
        let (opening, since) = self.opening.get();
        now < self.unreachable_until.get() || (opening > 0 && now.since(since) > SLOW_CONNECT)
    }

    fn target(&self, account: &AccountId) -> Target {
        let entry = self.entry.borrow();
        Target {
            server: entry.server.clone(),
            address: entry.address,
            group: entry.group.clone(),
            account: account.clone(),
        }
    }

    /// Returns the server's entry in the directory.
    pub(crate) fn entry(&self) -> ServerEntry {
        self.entry.borrow().clone()
    }
}

/// Counts a connection that is being opened, and stops counting it if opening
/// fails or is cancelled.
struct Opening<'a, S: ServerProtocol> {
    pool: &'a Pool<S>,
    done: bool,
}

impl<'a, S: ServerProtocol> Opening<'a, S> {
    fn new(pool: &'a Pool<S>, now: Time) -> Self {
        let (count, since) = pool.opening.get();
        pool.opening.set((count + 1, if count == 0 { now } else { since }));
        Opening { pool, done: false }
    }

    fn finish(mut self) {
        self.done = true;
        // The server answers, so the other connections get a new limit of time.
        self.pool.opening.set((self.pool.opening.get().0, clock::now()));
    }
}

impl<S: ServerProtocol> Drop for Opening<'_, S> {
    fn drop(&mut self) {
        let (count, since) = self.pool.opening.get();
        self.pool.opening.set((count.saturating_sub(1), since));
        if !self.done {
            self.pool.open.set(self.pool.open.get().saturating_sub(1));
        }
    }
}
