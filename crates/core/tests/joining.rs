//! A replica that starts in the course of a failover never costs an acknowledged commit. One
//! test explores every interleaving of a failed primary that still answers, a replica that it
//! cannot reach, and a new replica.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use chicoryhollow_core::{
    Lsn, Position, ServerId, Term, Time,
    failover::{Action, Cause, Failover, Member, Progress, ReplicationStatus},
};

fn at(lsn: u8) -> Position {
    Position::new(Term::new(1), Lsn::new(u64::from(lsn)))
}

fn server(name: &str) -> ServerId {
    name.parse().expect("a valid name")
}

fn member(name: &str) -> Member {
    Member { server: server(name), preferred: true, cold: false, born: 0 }
}

fn promotes(actions: &[Action], name: &str) -> bool {
    let is_order =
        |action: &Action| matches!(action, Action::Promote(a) if a.server().as_str() == name);
    actions.iter().any(is_order)
}

/// A primary `p`, its replica `r` behind a cut, and a replica `n` that starts at some time.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct World {
    /// Commits on the primary.
    written: u8,
    /// Commits that were acknowledged.
    acknowledged: u8,
    /// Whether the primary still leads.
    leads: bool,
    /// Whether the primary answers requests to step down.
    steps_down: bool,
    /// Whether `r` was fenced.
    fenced: bool,
    /// Commits that `n` received, if it has started.
    joined: Option<u8>,
    joined_fenced: bool,
    /// Whether the coordinator's copy of the directory has `n`.
    listed: bool,
}

const MAX_COMMITS: u8 = 2;

/// Commits that `r` received before the cut.
const RECEIVED: u8 = 1;

impl World {
    /// Returns every world that can follow without a step of the coordinator.
    fn steps(self) -> Vec<World> {
        let mut next = Vec::new();
        if self.leads && self.written < MAX_COMMITS {
            next.push(World { written: self.written + 1, ..self });
        }
        match self.joined {
            // A new replica starts with the log of the primary.
            None => next.push(World { joined: Some(self.written), ..self }),
            Some(received) if self.leads && !self.joined_fenced && received < self.written => {
                next.push(World { joined: Some(received + 1), ..self });
            }
            Some(_) => {}
        }
        let received = self.joined.unwrap_or_default().max(RECEIVED);
        if self.leads && self.acknowledged < received.min(self.written) {
            next.push(World { acknowledged: self.acknowledged + 1, ..self });
        }
        if self.joined.is_some() && !self.listed {
            next.push(World { listed: true, ..self });
        }
        next
    }

    /// Carries out an action at once and records the answer. Returns a promoted server.
    fn carry_out(&mut self, failover: &mut Failover, action: &Action, now: Time) -> Option<String> {
        let target = match action {
            Action::Promote(attempt) => return Some(attempt.server().to_string()),
            Action::ListServers => {
                self.listed |= self.joined.is_some();
                self.join(failover);
                failover.record_list(now);
                return None;
            }
            Action::Fence(server, _) => {
                match server.as_str() {
                    "r" => self.fenced = true,
                    _ => self.joined_fenced = true,
                }
                server
            }
            Action::Demote(_, _) if !self.steps_down => return None,
            Action::Demote(server, _) => {
                self.leads = false;
                server
            }
            Action::Poll(server) => server,
        };
        let fence = |is_fenced: bool| if is_fenced { Term::new(2) } else { Term::default() };
        let (primary, received, fenced_term) = match target.as_str() {
            "p" => (self.leads, self.written, Term::default()),
            "r" => (false, RECEIVED, fence(self.fenced)),
            _ => (false, self.joined.unwrap_or_default(), fence(self.joined_fenced)),
        };
        let status =
            ReplicationStatus { primary, term: Term::new(1), received: at(received), fenced_term };
        failover.record_status(target, status, now);
        None
    }

    fn join(&self, failover: &mut Failover) {
        failover.join(self.listed.then(|| member("n")));
    }
}

/// The instants at which the coordinator decides, in milliseconds.
const DECISIONS: [u64; 5] = [1_000, 1_050, 1_100, 1_400, 1_750];

/// Review case 1: a replica that started while another one was being promoted confirmed
/// commits that the promoted one did not have.
#[test]
fn no_commit_is_acknowledged_by_a_replica_that_starts_during_a_failover_and_lost() {
    let world = World {
        written: RECEIVED,
        acknowledged: RECEIVED,
        leads: true,
        steps_down: true,
        fenced: false,
        joined: None,
        joined_fenced: false,
        listed: false,
    };
    let (mut queue, mut seen) = (VecDeque::new(), HashMap::new());
    let (mut promotions, mut states) = (0, 0);
    for steps_down in [true, false] {
        queue.push_back((World { steps_down, ..world }, 0, start()));
    }
    while let Some((world, decision, failover)) = queue.pop_front() {
        states += 1;
        let Some(ms) = DECISIONS.get(decision) else { continue };
        let now = Time::from_millis(*ms);
        let (mut after, mut next) = (world, failover.clone());
        after.join(&mut next);
        let actions = next.next_actions(now);
        let promoted = actions.iter().find_map(|action| after.carry_out(&mut next, action, now));
        if let Some(target) = promoted {
            assert_keeps_commits(after, &target);
            promotions += 1;
        } else {
            // The order of other events before the next decision is open.
            push(&mut queue, &mut seen, after, decision + 1, &next);
        }
        for world in world.steps() {
            push(&mut queue, &mut seen, world, decision, &failover);
        }
    }
    println!("{states} states, {promotions} promotions");
    assert!(promotions > 0, "the exploration reaches promotions");
}

type Queue = VecDeque<(World, usize, Failover)>;

fn push(
    queue: &mut Queue,
    seen: &mut HashMap<(World, usize, String), ()>,
    world: World,
    decision: usize,
    failover: &Failover,
) {
    if seen.insert((world, decision, format!("{failover:?}")), ()).is_none() {
        queue.push_back((world, decision, failover.clone()));
    }
}

/// Checks that whatever follows the order to promote `target` before it takes effect, the
/// target has every commit that is acknowledged.
fn assert_keeps_commits(world: World, target: &str) {
    let (mut worlds, mut known) = (vec![world], HashMap::from([(world, ())]));
    while let Some(world) = worlds.pop() {
        let received = match target {
            "r" => RECEIVED,
            _ => world.joined.unwrap_or_default(),
        };
        assert!(received >= world.acknowledged, "{target} lacks a commit: {world:?}");
        worlds.extend(world.steps().into_iter().filter(|next| known.insert(*next, ()).is_none()));
    }
}

/// Starts a failover of `p`, which has just answered, with the member `r`.
fn start() -> Failover {
    let now = Time::from_millis(DECISIONS[0]);
    Failover::new(Cause::Failure, [member("r")], Term::new(1), at(0), now)
        .with_primary(server("p"), now)
}

fn status(primary: bool, received: u8, fenced_term: u64) -> ReplicationStatus {
    let fenced_term = Term::new(fenced_term);
    ReplicationStatus { primary, term: Term::new(1), received: at(received), fenced_term }
}

#[test]
fn a_primary_that_answers_and_does_not_step_down_is_not_replaced() {
    let mut failover = start();
    let mut now = Time::from_millis(1_000);
    while failover.progress(now) == Progress::Running {
        failover.record_status(&server("r"), status(false, 1, 0), now);
        let actions = failover.next_actions(now);
        assert!(!actions.iter().any(|a| matches!(a, Action::Promote(_) | Action::Fence(..))));
        failover.record_status(&server("p"), status(true, 2, 0), now);
        now = now + Duration::from_millis(50);
        assert!(now < Time::from_millis(4_000), "given up in time");
    }
}

/// If it stepped down, no server could lead: its replicas lack what it has acknowledged.
#[test]
fn a_primary_goes_on_if_no_replica_has_received_what_is_acknowledged() {
    let begun = Time::from_millis(1_000);
    let mut failover = Failover::new(Cause::Failure, [member("r")], Term::new(1), at(2), begun)
        .with_primary(server("p"), begun);
    let mut now = begun;
    while failover.progress(now) == Progress::Running {
        failover.record_status(&server("r"), status(false, 1, 0), now);
        failover.record_status(&server("p"), status(true, 2, 0), now);
        let actions = failover.next_actions(now);
        assert!(actions.iter().all(|action| matches!(action, Action::Poll(_))), "{actions:?}");
        now = now + Duration::from_millis(50);
    }
    assert_eq!(now, begun + Duration::from_millis(500));
    let reason = "no server that answers has received what is acknowledged";
    assert_eq!(failover.progress(now), Progress::Abandoned(reason));
}

/// A primary that has begun to confirm commits again need not be replaced.
#[test]
fn a_primary_whose_replica_has_caught_up_with_it_goes_on() {
    for answers in [true, false] {
        let begun = Time::from_millis(1_000);
        let mut failover = Failover::new(Cause::Failure, [member("r")], Term::new(1), at(2), begun)
            .with_primary(server("p"), begun);
        failover.record_status(&server("r"), status(false, 1, 0), begun);
        failover.next_actions(begun);
        let later = Time::from_millis(if answers { 1_250 } else { 1_700 });
        failover.record_status(&server("r"), status(false, 2, 0), later);
        let actions = failover.next_actions(later);
        let is_demoted = actions.contains(&Action::Demote(server("p"), Term::new(2)));
        assert_eq!(is_demoted, !answers, "{actions:?}");
        let is_fenced = actions.contains(&Action::Fence(server("r"), Term::new(2)));
        assert_eq!(is_fenced, !answers, "a primary that has fallen silent is replaced");
        assert_eq!(failover.progress(later) == Progress::Running, !answers);
    }
}

#[test]
fn a_primary_that_falls_silent_before_it_steps_down_is_replaced() {
    let mut failover = start();
    for ms in (1_000..3_000).step_by(50) {
        let now = Time::from_millis(ms);
        failover.record_status(&server("r"), status(false, 1, 2), now);
        assert_eq!(failover.progress(now), Progress::Running);
        if promotes(&failover.next_actions(now), "r") {
            return;
        }
    }
    panic!("the silent primary is not replaced");
}

/// The answers to the request to step down and to a poll may overtake each other.
#[test]
fn an_answer_from_before_the_primary_stepped_down_does_not_hide_the_end_of_its_log() {
    let mut failover = start();
    let now = Time::from_millis(1_000);
    failover.record_status(&server("r"), status(false, 1, 2), now);
    failover.next_actions(now);
    failover.record_status(&server("p"), status(false, 2, 0), now);
    failover.record_status(&server("p"), status(true, 1, 0), now);
    let actions = failover.next_actions(Time::from_millis(1_050));
    assert!(actions.contains(&Action::ListServers), "{actions:?}");
    assert!(!promotes(&actions, "r"), "{actions:?}");
}

/// A cut that heals between the order and its effect: the primary must not go on with a
/// replica that nobody has fenced.
#[test]
fn a_primary_that_answers_again_after_the_order_is_asked_to_step_down() {
    let now = Time::from_millis(1_000);
    let mut failover = Failover::new(Cause::Failure, [member("r")], Term::new(1), at(0), now)
        .with_primary(server("p"), Time::default());
    let ordered = Time::from_millis(1_200);
    failover.record_list(ordered);
    failover.record_status(&server("r"), status(false, 1, 2), ordered);
    assert!(promotes(&failover.next_actions(ordered), "r"));
    failover.join([member("n")]);
    let actions = failover.next_actions(Time::from_millis(1_500));
    assert!(actions.contains(&Action::Demote(server("p"), Term::new(2))), "{actions:?}");
    assert!(actions.contains(&Action::Fence(server("n"), Term::new(2))), "{actions:?}");
}

#[test]
fn a_leaving_primary_steps_down_if_a_server_joins_after_the_order() {
    let now = Time::from_millis(1_000);
    let mut failover =
        Failover::new(Cause::Planned, [member("a")], Term::new(1), Position::default(), now)
            .with_primary(server("p"), now);
    let ordered = Time::from_millis(1_200);
    failover.record_list(ordered);
    failover.record_status(&server("a"), status(false, 1, 0), ordered);
    assert!(promotes(&failover.next_actions(ordered), "a"));
    let later = Time::from_millis(1_500);
    let is_demoted =
        |actions: Vec<Action>| actions.contains(&Action::Demote(server("p"), Term::new(2)));
    assert!(!is_demoted(failover.clone().next_actions(later)), "it works until the promotion");
    failover.join([member("n")]);
    assert!(is_demoted(failover.next_actions(later)));
}

#[test]
fn the_old_primary_does_not_join_its_own_replacement() {
    let mut failover = start();
    failover.join([member("p"), member("n")]);
    let now = Time::from_millis(1_000);
    let polls = [Action::Poll(server("r")), Action::Poll(server("n"))];
    assert_eq!(failover.next_actions(now), polls);
}
