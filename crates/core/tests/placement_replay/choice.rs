//! Choice of the server of a read.

use std::time::Duration;

use chicoryhollow_core::{
    GroupView, Time,
    load::Assumption,
    placement::{Prospect, place},
    route::{Candidate, Choice, assumed_response},
    spill::{Spill, place_read},
    waiting::Priority,
};

use super::{Leaving, Rule, World, name};

impl World {
    fn place_read(&mut self, vm: usize, account: usize, prospects: Vec<Prospect>) -> Vec<Choice> {
        let now = Time::from_micros(self.now);
        let state = &mut self.vms[vm];
        let (account, affinity, rng) = (&self.accounts[account], &state.affinity, &mut self.rng);
        let mean = |near: bool| {
            let times = prospects.iter().filter(|p| p.near == near).map(|p| p.completion());
            times.clone().sum::<Duration>() / times.count().max(1) as u32
        };
        let alike = |mut prospect: Prospect| {
            prospect.near = true;
            prospect
        };
        let none = Spill::new();
        match self.scene.leaving {
            Leaving::Never => place_read(prospects, account, affinity, &none, rng),
            Leaving::ByTime => {
                let mut sorted = prospects;
                sorted.sort_by_key(Prospect::completion);
                sorted.into_iter().map(|prospect| prospect.choice).collect()
            }
            Leaving::Alike => {
                place(prospects.into_iter().map(alike).collect(), account, affinity, rng)
            }
            Leaving::Above(ms) if mean(true) > mean(false) + Duration::from_millis(ms) => {
                let far = prospects.into_iter().filter(|prospect| !prospect.near).collect();
                place(far, account, affinity, rng)
            }
            Leaving::Above(_) => place_read(prospects, account, affinity, &none, rng),
            Leaving::Share => {
                state.spill.update(&prospects, now);
                let (share, (last, rose)) = (state.spill.share(), state.last);
                if (share - last).abs() > 0.02 {
                    self.figures.turns += u64::from((share > last) != rose);
                    state.last = (share, share > last);
                }
                place_read(prospects, account, affinity, &state.spill, rng)
            }
        }
    }

    /// Returns the server that runs a read.
    pub(super) fn choose(&mut self, vm: usize, account: usize) -> usize {
        let now = Time::from_micros(self.now);
        let candidates: Vec<Candidate> = self
            .servers
            .iter()
            .enumerate()
            .filter(|(i, _)| !self.is_gone(*i))
            .map(|(_, server)| Candidate {
                server: server.name.clone(),
                near: server.centre == self.vms[vm].centre,
                unreachable: self.is_cut(server.centre, self.vms[vm].centre),
            })
            .collect();
        let state = &mut self.vms[vm];
        let view = GroupView::new(name("orders".to_owned()));
        let mut choices = state.estimates.choose(&view, &candidates, None, now, &mut self.rng);
        if self.scene.rule == Rule::Loads {
            let service = state.loads.typical_service(now);
            let prospect = |choice: Choice| {
                let server = self.servers.iter().find(|server| server.name == choice.server);
                let centre = server.map_or(0, |server| server.centre);
                let near = candidates.iter().any(|c| c.server == choice.server && c.near);
                let assumed = Assumption { network: assumed_response(near), service };
                let outlook =
                    state.loads.outlook(&choice.server, Priority::default(), assumed, now);
                Prospect { choice, data_centre: name(format!("centre-{centre}")), near, outlook }
            };
            let prospects: Vec<Prospect> = choices.into_iter().map(prospect).collect();
            state.affinity.update(prospects.iter().filter(|prospect| prospect.near), now);
            choices = self.place_read(vm, account, prospects);
        }
        let first = &choices[0].server;
        self.servers.iter().position(|server| server.name == *first).expect("a known server")
    }
}
