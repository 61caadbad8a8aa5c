//! Choice of the servers for a read by the load that homes report.

use chicoryhollow_core::{
    AccountId, DataCentreId, Position, ServerId, Time,
    load::{Assumption, Meter},
    placement::{Prospect, place},
    route::{Choice, assumed_response},
    waiting::Priority,
};
use rand::Rng;

use super::Group;

/// A read that is to be placed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Read<'a> {
    /// Data centre of the VM that chooses.
    pub(crate) here: &'a DataCentreId,
    /// Client account of the read.
    pub(crate) account: &'a AccountId,
    /// Priority of its route.
    pub(crate) priority: Priority,
    /// Position that the server must have reached.
    pub(crate) min_position: Option<Position>,
}

impl Group {
    /// Returns the measurements of this VM as a home of `server`.
    pub(crate) fn meter(&mut self, server: &ServerId) -> &mut Meter {
        if !self.meters.contains_key(server) {
            self.meters.insert(server.clone(), Meter::new());
        }
        &mut self.meters[server]
    }

    /// Returns the servers to try for a read, best first by their reported load.
    pub(crate) fn place(
        &mut self,
        read: Read<'_>,
        is_unreachable: impl Fn(&DataCentreId) -> bool,
        now: Time,
        rng: &mut impl Rng,
    ) -> Vec<Choice> {
        let choices = self.choose(read.here, is_unreachable, read.min_position, now, rng);
        let service = self.loads.typical_service(now);
        let prospect = |choice: Choice| {
            let entry = self.servers.get(&choice.server);
            let near = entry.is_some_and(|entry| entry.data_centre == *read.here);
            let assumed = Assumption { network: assumed_response(near), service };
            let outlook = self.loads.outlook(&choice.server, read.priority, assumed, now);
            Prospect { choice, near, outlook }
        };
        let prospects: Vec<Prospect> = choices.into_iter().map(prospect).collect();
        let is_preferred = |prospect: &&Prospect| prospect.near && !prospect.choice.primary;
        self.affinity.update(prospects.iter().filter(is_preferred), now);
        place(prospects, read.account, &self.affinity, rng)
    }
}
