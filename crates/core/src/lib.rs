/*!
Decisions of the chicoryhollow database proxy, free of input and output.

Everything in this crate is a plain value or a state machine. Time arrives as
a [`Time`] argument and randomness as a seeded generator, so that each decision
can be replayed exactly. Sockets, tasks, actors and SQL text live in the
packages around this one.

# Guided tour

* [`id`] names the things an operator configures: VMs, data centres, client
  accounts, keys, routes, database groups and backend servers.
* [`position`] orders the state of a database group: a [`Term`] counts
  promotions, an [`Lsn`] counts log records, and a [`Position`] is the pair.
* [`session`] holds what one session has seen and turns it into a token that
  travels with the caller.
* [`refusal`] is the one table of everything the proxy may answer in place of a
  result, and says for each whether the request ran.
* [`rank`] places roles on VMs by rendezvous hashing.
* [`view`] is what a VM believes about one database group.
* [`route`] chooses a backend server for a read by expected time, from
  [`average`]s of what passing answers show.
* [`retry`] says whether a refused request is tried again, and when.
* [`watch`] detects the failure of a primary and promotes another server.
* [`share`] splits the rate and burst of an account over all VMs.
* [`pace`] spaces periodic control messages within a budget.
* [`queue`] divides the slots of a backend server fairly between accounts.
* [`pool`] sizes the set of connections to a backend server, and [`prepared`]
  bounds the statements prepared on each.
* [`confirm`] tells when a majority holds a position.
* [`home`] says which VMs hold the connections to a backend server.
* [`freshness`] says from which position on a read is new enough.
* [`failover`] replaces the primary of a group whose commits need the receipt
  of one replica.
* [`suspicion`] judges from evidence whether a primary is to be replaced.
* [`coordinator`] gives a duty to one VM at a time, by a row of the directory.
* [`neighbour`] says which VMs tell each other what they believe, and [`reader`]
  which of them read the directory for the others.
* [`document`] is a VM's copy of what the directory says, passed on by versions.
* [`isolation`] says when a partition leaves a VM with too little to serve.
* [`allowance`] hands tokens of an account's rate from VM to VM.
* [`outcome`] finds out what became of a write whose answer was lost.
* [`batch`] remembers batches for entries that lost their connection.
* [`time`] has the clock values that decisions take as arguments.

# Example

```
use chicoryhollow_core::{Lsn, Position, Term};

let before = Position::new(Term::new(3), Lsn::new(900));
let after = Position::new(Term::new(4), Lsn::new(120));
assert!(before < after, "a later term outranks any log position");
```
*/

pub mod allowance;
pub mod average;
pub mod batch;
pub mod confirm;
pub mod coordinator;
pub mod document;
pub mod failover;
pub mod freshness;
pub mod home;
pub mod id;
pub mod isolation;
pub mod neighbour;
pub mod outcome;
pub mod pace;
pub mod pool;
pub mod position;
pub mod prelude;
pub mod prepared;
pub mod queue;
pub mod rank;
pub mod reader;
pub mod refusal;
pub mod retry;
pub mod route;
pub mod session;
pub mod share;
pub mod suspicion;
pub mod time;
pub mod view;
pub mod watch;

pub use crate::{
    id::{AccountId, DataCentreId, GroupId, Incarnation, KeyName, RouteName, ServerId, VmId},
    position::{Lsn, Position, Term},
    refusal::{Outcome, Refusal},
    session::SessionToken,
    time::Time,
    view::GroupView,
};
