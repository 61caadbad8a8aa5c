/*!
Failure detection and promotion for one database group.

A few VMs watch each group. Each of them runs a [`Watcher`], a state machine
that takes [`Event`]s and returns [`Action`]s. It replaces a failed primary, and
it moves the role of primary to another server when the configuration takes the
primary out of service (a planned failover, called switchover here).

Safety depends on terms alone and needs no agreement between watchers. A
promotion first fences a majority of the members, and a majority can grant only
one pair of term and owner. Watchers agree only on whether the primary has
failed, because a needless promotion interrupts writes.

* [`place`] chooses the VMs that watch a group,
* [`status`] is the status that a backend server reports,
* [`plan`] is the configuration of a group as watchers use it,
* [`suspicion`] decides whether watchers agree that the primary has failed,
* [`election`] chooses the server to promote from the granted fences,
* [`attempt`] runs one promotion from the first fence to the new primary,
* [`members`] changes the member list one server at a time,
* [`pace`] sets how often servers are polled,
* [`message`] defines the events and actions of a watcher,
* [`watcher`] combines these into the state machine.
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
