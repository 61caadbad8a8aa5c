/*!
Failure detection and promotion for one database group.

A few VMs watch each group. Every one of them runs a [`Watcher`], a state
machine that takes [`Event`]s and returns [`Action`]s. Watchers need no
agreement for safety, which rests on terms alone: a promotion fences a majority
of the members first, and only one (term, owner) pair can be granted by a
majority. What watchers agree on is whether a promotion is worth its cost.

* [`place`] chooses the VMs that watch a group,
* [`status`] is what a backend server tells about itself,
* [`plan`] is what the configuration asks of a group,
* [`suspicion`] judges whether the primary has failed,
* [`election`] decides from the granted fences which server is promoted,
* [`attempt`] runs one promotion from the first fence to the new primary,
* [`members`] changes the member list one server at a time,
* [`pace`] is how often servers are asked,
* [`message`] is what reaches a watcher and what it wants done,
* [`watcher`] joins these into the state machine.
*/

pub mod attempt;
pub mod election;
pub mod members;
pub mod message;
pub mod pace;
pub mod place;
pub mod plan;
pub mod status;
pub mod suspicion;
pub mod watcher;

pub use self::{
    attempt::SWITCHOVER_QUIESCE_LIMIT,
    members::MemberList,
    message::{Action, Event, Promotion},
    pace::Intervals,
    place::{WatcherPlace, choose_watchers},
    plan::{GroupPlan, ServerPlan},
    status::{FenceOwner, ServerRole, ServerStatus},
    suspicion::Observation,
    watcher::Watcher,
};
