//! Who may be promoted, by what the coordinator knows of acknowledged commits.

use std::{collections::BTreeMap, time::Duration};

use chicoryhollow_core::{
    Lsn, Position, ServerId, Term, Time,
    failover::{Action, Cause, Failover, Member, Progress, ReplicationStatus},
};

fn at(term: u64, lsn: u64) -> Position {
    Position::new(Term::new(term), Lsn::new(lsn))
}

fn server(name: &str) -> ServerId {
    name.parse().expect("a valid name")
}

fn status(primary: bool, term: u64, received: Position) -> ReplicationStatus {
    ReplicationStatus { primary, term: Term::new(term), received, fenced_term: Term::default() }
}

/// Servers that answer at once, the primary `p` and its replica `r`.
struct World {
    failover: Failover,
    servers: BTreeMap<&'static str, ReplicationStatus>,
    now: Time,
    demoted: bool,
}

const BEGUN: Time = Time::from_millis(1_000);

impl World {
    fn new(acknowledged: Position, p: Option<ReplicationStatus>, r: ReplicationStatus) -> Self {
        let member = Member { server: server("r"), preferred: true, cold: false, born: 0 };
        let heard = if p.is_some() { BEGUN } else { Time::default() };
        let failover = Failover::new(Cause::Failure, [member], r.term, acknowledged, BEGUN)
            .with_primary(server("p"), heard);
        let mut servers = BTreeMap::from([("r", r)]);
        servers.extend(p.map(|p| ("p", p)));
        World { failover, servers, now: BEGUN, demoted: false }
    }

    /// Returns the server that is ordered to lead, or the reason for which nobody is.
    fn run(&mut self) -> Result<String, &'static str> {
        loop {
            match self.failover.progress(self.now) {
                Progress::Running => {}
                Progress::Abandoned(reason) => return Err(reason),
                Progress::Done(..) => panic!("nobody was ordered"),
            }
            for action in self.failover.next_actions(self.now) {
                if let Some(target) = self.carry_out(action) {
                    return Ok(target);
                }
            }
            self.now = self.now + Duration::from_millis(50);
        }
    }

    fn carry_out(&mut self, action: Action) -> Option<String> {
        let asked = match action {
            Action::Promote(attempt) => return Some(attempt.server().to_string()),
            Action::ListServers => {
                self.failover.record_list(self.now);
                return None;
            }
            Action::Fence(server, term) => {
                if let Some(status) = self.servers.get_mut(server.as_str()) {
                    status.fenced_term = term;
                }
                server
            }
            Action::Demote(server, _) => {
                self.demoted = true;
                if let Some(status) = self.servers.get_mut(server.as_str()) {
                    status.primary = false;
                }
                server
            }
            Action::Poll(server) => server,
        };
        if let Some(status) = self.servers.get(asked.as_str()) {
            self.failover.record_status(&asked, *status, self.now);
        }
        None
    }
}

/// Otherwise a server with 2/139 is promoted beside one with 6/355.
#[test]
fn a_coordinator_that_knows_nothing_promotes_the_longest_log() {
    let p = status(false, 6, at(6, 355));
    let mut world = World::new(Position::default(), Some(p), status(false, 6, at(2, 139)));
    assert_eq!(world.run().as_deref(), Ok("p"));
    let mut world = World::new(Position::default(), Some(p), status(false, 6, at(6, 355)));
    assert_eq!(world.run().as_deref(), Ok("r"), "of equal logs that of the replica");
}

/// What is known of an earlier term says nothing about the present one.
#[test]
fn a_commit_of_an_earlier_term_does_not_tell_what_was_acknowledged_since() {
    let p = status(false, 6, at(6, 355));
    let mut world = World::new(at(2, 130), Some(p), status(false, 6, at(2, 139)));
    assert_eq!(world.run().as_deref(), Ok("p"));
    let mut world = World::new(at(2, 130), Some(p), status(false, 6, at(2, 139)));
    world.failover.record_log_start(at(6, 139));
    assert_eq!(world.run().as_deref(), Ok("r"), "nothing was acknowledged since its start");
}

/// Daemons that have restarted promote a server and know where its term began. What was acknowledged
/// before, they do not know.
#[test]
fn the_start_of_a_term_alone_does_not_tell_what_was_acknowledged() {
    let p = status(false, 6, at(6, 355));
    let mut world = World::new(Position::default(), Some(p), status(false, 6, at(2, 139)));
    world.failover.record_log_start(at(6, 355));
    assert_eq!(world.run().as_deref(), Ok("p"));
}

#[test]
fn a_primary_that_is_cut_from_its_replicas_is_replaced_if_they_have_what_is_acknowledged() {
    let p = status(true, 2, at(2, 150));
    let mut world = World::new(at(2, 139), Some(p), status(false, 2, at(2, 139)));
    assert_eq!(world.run().as_deref(), Ok("r"));
    assert!(world.demoted);
}

/// A commit that only the primary still has became known after it had stepped down.
#[test]
fn a_primary_that_stepped_down_leads_again_if_only_it_has_what_was_acknowledged() {
    let p = status(true, 2, at(2, 150));
    let mut world = World::new(at(2, 139), Some(p), status(false, 2, at(2, 139)));
    world.failover.record_acknowledged(at(2, 139));
    while !world.demoted {
        for action in world.failover.next_actions(world.now) {
            world.carry_out(action);
        }
        world.now = world.now + Duration::from_millis(50);
    }
    world.failover.record_acknowledged(at(2, 145));
    assert_eq!(world.run().as_deref(), Ok("p"));
    assert!(world.servers["p"].fenced_term > Term::default(), "it receives from nobody meanwhile");
}

#[test]
fn a_primary_that_works_goes_on_if_nothing_is_known_and_its_log_is_the_longest() {
    let p = status(true, 2, at(2, 150));
    let mut world = World::new(Position::default(), Some(p), status(false, 2, at(2, 139)));
    let reason = "no server that answers has received what is acknowledged";
    assert_eq!(world.run(), Err(reason));
    assert!(!world.demoted);
}

/// Its log may be the only one with a commit, but it may never answer again.
#[test]
fn a_coordinator_that_knows_nothing_waits_for_the_old_primary_for_a_limited_time() {
    let mut world = World::new(Position::default(), None, status(false, 2, at(2, 139)));
    assert_eq!(world.run().as_deref(), Ok("r"));
    let waited = world.now.since(BEGUN).as_millis();
    assert!((4_000..4_500).contains(&waited), "{waited} ms");
    let mut known = World::new(at(2, 139), None, status(false, 2, at(2, 139)));
    assert_eq!(known.run().as_deref(), Ok("r"));
    assert!(known.now.since(BEGUN) < Duration::from_millis(500), "as before");
}
