/*!
Decisions of the chicoryhollow database proxy, without any input or output.

Everything in this crate is a plain value or a state machine. Time is passed in as
a [`Time`] argument and randomness as a seeded generator, so that each decision
can be replayed exactly. Sockets, tasks, actors and SQL text are in the other
packages of the workspace.

# Guided tour

* [`id`] names the things that an operator configures: VMs, data centres, client
  accounts, keys, routes, database groups and backend servers.
* [`position`] orders the states of a database group: a [`Term`] counts
  promotions, an [`Lsn`] counts log records, and a [`Position`] is the pair.
* [`session`] stores the positions that a session has seen, as a token that the
  caller sends along.
* [`refusal`] is the table of all answers that the proxy may give instead of a
  result. It states for each of them whether the request ran.
* [`rank`] assigns roles to VMs by rendezvous hashing.
* [`view`] is what a VM knows about one database group.
* [`route`] chooses the backend server for a read by its expected time: the
  [`average`] of observed response times plus the time until a replica reaches the
  required position.
* [`load`] is what homes report about the load of backend servers, and [`placement`]
  chooses among the servers of a group by it. [`spill`] decides which part of the reads
  goes to other data centres, and [`outlier`] which replicas get none for a while.
* [`retry`] decides whether a refused request is tried again, and when.
* [`watch`] replaces the primary of a group in which a majority confirms each
  position. Its state machine detects the failure and promotes another server once
  a majority is fenced.
* [`share`] splits the rate and burst of an account over all VMs.
* [`pace`] spaces periodic control messages so that they stay within the daemon's
  traffic budget.
* [`queue`] divides the slots of a backend server fairly between accounts.
* [`pool`] sizes the set of connections to a backend server, and [`prepared`]
  limits the statements prepared on each.
* [`confirm`] decides when a majority holds a position.
* [`home`] chooses the VMs that own the pooled connections to a backend server, and
  [`waiting`] decides which requests wait for one of them and which are refused.
* [`freshness`] finds the lowest position that a read may return.
* [`failover`] replaces the primary of a group that acknowledges a commit as soon
  as one replica has received it. It runs the steps from the first fence to the
  promotion.
* [`suspicion`] decides whether a primary of such a group is to be replaced, from
  the answers to this VM's own requests and from the reports of its neighbours.
* [`coordinator`] is the lease of the one VM that carries out these failovers, stored
  as a row of the directory.
* [`neighbour`] chooses the VMs that exchange what they know, [`gossip`] decides what
  they tell each other and when, and [`liveness`] when a connection between two VMs
  needs a heartbeat or counts as lost.
* [`reader`] chooses the VMs that read the directory for the others.
* [`document`] is a VM's copy of a document of the directory, with its version, and
  [`transfer`] decides to whom a large one is sent when.
* [`version`] orders the changes of the directory, also when it came back from a copy, and
  [`evacuation`] keeps data centres out of use across such a restore. [`startup`] decides
  whether what a VM reads at its start may be used before other VMs have been heard.
* [`durability`] decides whether an acknowledged commit survives a failover.
* [`isolation`] detects that a network partition leaves a VM unable to serve most
  groups.
* [`drain`] decides what a daemon still takes on before it stops.
* [`allowance`] moves tokens of an account's rate from VM to VM.
* [`outcome`] finds out what became of a write whose answer was lost.
* [`batch`] stores what became of batches of statements. A VM sends them to a home of
  the backend server (see [`home`]), and asks for their status after it has lost its
  connection to the home.
* [`usage`] counts the statements of each account by windows of true time, and decides
  what is reported for each window.
* [`budget`] bounds the memory that a daemon holds for its callers.
* [`time`] has the clock readings that decisions take as arguments.

# Example

```
use chicoryhollow_core::{Lsn, Position, Term};

let before = Position::new(Term::new(3), Lsn::new(900));
let after = Position::new(Term::new(4), Lsn::new(120));
assert!(before < after, "positions are ordered by term first");
```
*/

pub mod admission;
pub mod allowance;
pub mod average;
pub mod batch;
pub mod budget;
pub mod confirm;
pub mod coordinator;
pub mod document;
pub mod drain;
pub mod durability;
pub mod evacuation;
pub mod failover;
pub mod freshness;
pub mod gossip;
pub mod home;
pub mod id;
pub mod isolation;
pub mod liveness;
pub mod load;
pub mod naming;
pub mod neighbour;
pub mod outcome;
pub mod outlier;
pub mod pace;
pub mod placement;
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
pub mod spill;
pub mod startup;
pub mod suspicion;
pub mod time;
pub mod transfer;
pub mod unanswered;
pub mod usage;
pub mod version;
pub mod view;
pub mod waiting;
pub mod watch;

pub use crate::prelude::*;
