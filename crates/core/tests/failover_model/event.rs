//! What happens to a world from outside, and how often it may.

use std::fmt;

use super::{SERVERS, VMS, name, network::Direction, server::Life, ticks, world::World};

/// Time for which a server receives nothing after [`Event::Lag`].
pub(crate) const LAG: u32 = ticks(500);

/// Time that a server without a log takes to start again, longer than an order to take effect.
const REBIRTH_TIME: u32 = ticks(1_000);

/// How long a late call takes to be carried out.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Fate {
    /// It is never carried out.
    Lost,
    /// It is carried out after so many ticks, and the answer is lost.
    Late(u32),
}

/// A kind of call of a coordinator.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Call {
    Fence,
    Release,
    Demote,
    Promote,
}

/// An event from outside.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Event {
    /// Data centre 0 is cut off.
    Cut(Direction),
    /// A VM no longer reaches a server, nor the server it.
    Sever(usize, usize),
    /// The first servers do not reach each other.
    Part,
    /// The first primary and the other servers do not reach each other.
    Detach,
    /// The first primary, one VM of each data centre and the servers that start later do not reach
    /// the rest.
    Split,
    Heal,
    Start(usize, usize),
    Crash(usize),
    /// A crashed server starts, with its log or without.
    Restart(usize, bool),
    Drain(usize),
    Lag(usize),
    /// From now on, the answers of a server take so many ticks longer.
    Slow(usize, u32),
    StoreDown,
    /// Each write of the coordinator's row takes so many ticks.
    StoreSlow(u32),
    /// The directory works again, as fast as before.
    StoreUp,
    /// The next call of this kind has this fate.
    Disturb(Call, Fate),
    RestartDaemon(usize),
    /// All daemons restart at once, so that nobody remembers anything.
    RestartAll,
}

/// Number of kinds of events.
pub(crate) const KINDS: usize = 14;

impl Event {
    /// Returns the number of the event's kind.
    pub(crate) fn kind(self) -> usize {
        match self {
            Event::Cut(_) | Event::Split => 0,
            Event::Sever(..) => 1,
            Event::Heal => 2,
            Event::Start(..) => 3,
            Event::Crash(_) => 4,
            Event::Restart(..) => 5,
            Event::Drain(_) => 6,
            Event::Lag(_) => 7,
            Event::StoreDown | Event::StoreSlow(_) | Event::StoreUp => 8,
            Event::Disturb(..) => 9,
            Event::RestartDaemon(_) => 10,
            Event::Part | Event::Detach => 11,
            Event::RestartAll => 12,
            Event::Slow(..) => 13,
        }
    }

    /// Returns whether the event can happen in a world.
    pub(crate) fn is_possible(self, world: &World) -> bool {
        let network = &world.network;
        let server = |server: usize| &world.servers[server];
        match self {
            Event::Cut(_) => network.cut.is_none(),
            Event::Sever(..) => network.severed.is_none(),
            Event::Part => !network.is_apart,
            Event::Detach => !network.is_detached,
            Event::Split => !network.is_split,
            Event::Heal => !network.is_whole(),
            Event::Start(new, _) => {
                server(new).life == Life::Absent && server(new - 1).life != Life::Absent
            }
            Event::Crash(i) => server(i).runs(),
            Event::Restart(i, keeps_log) => {
                let may_be_new = world.tick - server(i).crashed >= REBIRTH_TIME;
                server(i).life == Life::Crashed && (keeps_log || may_be_new)
            }
            Event::Drain(i) => server(i).runs() && server(i).leaving.is_none(),
            Event::Lag(i) => server(i).runs() && !server(i).leads,
            Event::Slow(i, _) => server(i).runs() && server(i).slow == 0,
            Event::StoreDown => world.directory.is_up,
            Event::StoreSlow(_) => world.directory.is_up && world.directory.delay == 0,
            Event::StoreUp => !world.directory.is_up || world.directory.delay > 0,
            Event::Disturb(..) => world.disturbed.is_none(),
            Event::RestartDaemon(_) | Event::RestartAll => true,
        }
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            Event::Cut(direction) => write!(f, "data centre 0 is cut off ({direction:?})"),
            Event::Sever(vm, server) => write!(f, "VM {vm} no longer reaches {}", name(server)),
            Event::Part => write!(f, "p, r and q no longer reach each other"),
            Event::Detach => write!(f, "p and the other servers no longer reach each other"),
            Event::Split => write!(f, "p and VMs 0 and 1 no longer reach the rest"),
            Event::Heal => write!(f, "all cuts heal"),
            Event::Start(server, centre) => {
                write!(f, "{} starts in data centre {centre}", name(server))
            }
            Event::Crash(server) => write!(f, "{} crashes", name(server)),
            Event::Restart(server, true) => write!(f, "{} starts again", name(server)),
            Event::Restart(server, false) => {
                write!(f, "{} starts again with an empty log", name(server))
            }
            Event::Drain(server) => write!(f, "{} begins to leave", name(server)),
            Event::Lag(server) => write!(f, "{} receives late", name(server)),
            Event::Slow(server, delay) => {
                write!(f, "answers of {} take {delay} ticks longer", name(server))
            }
            Event::StoreDown => write!(f, "the directory goes down"),
            Event::StoreSlow(delay) => {
                write!(f, "each write of the coordinator's row takes {delay} ticks")
            }
            Event::StoreUp => write!(f, "the directory is back"),
            Event::Disturb(call, fate) => write!(f, "the next {call:?} call is {fate:?}"),
            Event::RestartDaemon(vm) => write!(f, "the daemon of VM {vm} restarts"),
            Event::RestartAll => write!(f, "all daemons restart"),
        }
    }
}

/// The events that a search may choose, and how many of each kind.
#[derive(Clone, Debug)]
pub(crate) struct Scope {
    events: Vec<Event>,
    limits: [u8; KINDS],
}

impl Scope {
    pub(crate) fn new(events: impl IntoIterator<Item = Event>) -> Self {
        Scope { events: events.into_iter().collect(), limits: [1; KINDS] }
    }

    /// Every event, and up to `limit` of each kind.
    pub(crate) fn all(limit: u8) -> Self {
        let mut events = vec![Event::Part, Event::Heal, Event::StoreDown, Event::StoreUp];
        events.extend([Direction::Both, Direction::Outward, Direction::Inward].map(Event::Cut));
        for vm in 0..VMS {
            events.push(Event::RestartDaemon(vm));
            events.extend((0..SERVERS).map(|server| Event::Sever(vm, server)));
        }
        for server in 0..SERVERS {
            events.extend([Event::Crash(server), Event::Drain(server), Event::Lag(server)]);
            events.extend([true, false].map(|keeps| Event::Restart(server, keeps)));
        }
        for server in super::FIRST_SERVERS..SERVERS {
            events.extend([0, 1].map(|centre| Event::Start(server, centre)));
        }
        for call in [Call::Fence, Call::Release, Call::Demote, Call::Promote] {
            let late = [1_000, 4_000, 13_000].map(|ms| Fate::Late(ticks(ms)));
            events.extend(late.map(|fate| Event::Disturb(call, fate)));
            events.push(Event::Disturb(call, Fate::Lost));
        }
        Scope { events, limits: [limit; KINDS] }
    }

    /// Adds events, as many of their kinds as of the others.
    pub(crate) fn with(mut self, events: impl IntoIterator<Item = Event>) -> Self {
        self.events.extend(events);
        self
    }

    /// Leaves out the events for which `is_excluded` returns true.
    pub(crate) fn without(mut self, is_excluded: impl Fn(Event) -> bool) -> Self {
        self.events.retain(|event| !is_excluded(*event));
        self
    }

    /// Returns the events that can happen.
    pub(crate) fn possible<'a>(&'a self, world: &'a World) -> impl Iterator<Item = Event> + 'a {
        let is_left = |event: &Event| world.happened[event.kind()] < self.limits[event.kind()];
        self.events.iter().copied().filter(move |e| is_left(e) && e.is_possible(world))
    }
}
