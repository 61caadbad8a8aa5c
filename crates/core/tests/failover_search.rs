//! No acknowledged commit is lost, whatever happens while a primary is replaced: searches over a
//! model of the world that runs the real decisions.

mod failover_model;

use failover_model::{
    event::{Event, Scope},
    network::Direction,
    search::{Bounds, Summary, Trace, draw, replay},
    ticks,
    told::{AckRule, Contact, Holder, Proof},
    world::World,
};

/// Commits of a run.
const MAX_COMMITS: u8 = 80;

const LENGTH: u32 = ticks(30_000);

fn report(start: &World, length: u32, trace: &Trace) -> String {
    let steps = replay(start, length, &trace.events).map(|(_, steps)| steps);
    format!("{:?}\nevents: {:?}\n{}", trace.violation, trace.events, steps.unwrap_or_default())
}

/// The first new server of a release starts behind a cut, before the cut is noticed.
fn cut_and_start() -> Bounds {
    let new = [0, 1].map(|centre| Event::Start(3, centre));
    Bounds {
        scope: Scope::new([Event::Heal, Event::Lag(1), Event::Lag(2)].into_iter().chain(new)),
        first: vec![Event::Cut(Direction::Both)],
        events: 2,
        event_ticks: ticks(3_000),
        grid: 1,
        horizon: ticks(8_000),
    }
}

fn search(rule: AckRule, centres: [usize; 3], bounds: &Bounds) -> Summary {
    let start = World::new(rule, centres, 1);
    let result = bounds.search(&start);
    result.unwrap_or_else(|trace| panic!("{}", report(&start, bounds.horizon, &trace)))
}


const PROPOSED: Proof =
    Proof { contact: Contact::Answer, holder: Holder::Registered, same_term: false, same_life: false };

fn rule() -> AckRule {
    let proof = |contact, holder| AckRule::Proof(Proof { contact, holder, same_term: true, same_life: std::env::var("LIFE").is_ok() });
    match std::env::var("RULE").as_deref() {
        Ok("present") => AckRule::ReplicaAnswer,
        Ok("registered") => proof(Contact::Ignored, Holder::Registered),
        Ok("listed") => proof(Contact::Ignored, Holder::Listed),
        Ok("far") => proof(Contact::Ignored, Holder::Far),
        Ok("coordinator") => proof(Contact::Coordinator, Holder::Ignored),
        Ok("mended") => proof(Contact::Coordinator, Holder::Listed),
        Ok("mendedfar") => proof(Contact::Coordinator, Holder::Far),
        _ => AckRule::Proof(PROPOSED),
    }
}

#[test]
fn trial_random() {
    let mut start = World::new(rule(), [0, 1, 1], std::env::var("ROLE").map_or(1, |v| v.parse().unwrap()));
    start.changes = failover_model::world::Changes { cancels: std::env::var("CANCEL").is_ok(), checks_target: std::env::var("CHECK").is_ok() };
    let mut promotions = 0;
    let from: u64 = std::env::var("FROM").map_or(0, |v| v.parse().unwrap());
    let count: u64 = std::env::var("COUNT").map_or(2_000, |v| v.parse().unwrap());
    let reborn = std::env::var("REBORN").is_ok();
    let scope = Scope::all(1).without(|event| (!reborn && matches!(event, Event::Restart(_, false))) || (std::env::var("NODAEMON").is_ok() && matches!(event, Event::RestartDaemon(_))));
    for seed in from..from + count {
        match draw(&start, &scope, seed, LENGTH) {
            Ok(count) => promotions += count,
            Err(trace) => {
                let text = report(&start, LENGTH, &trace);
                println!("seed {seed}: {:?} {:?}", trace.violation, trace.events);
                if std::env::var("FULL").is_ok() { println!("{text}"); }
            }
        }
    }
    println!("{promotions} promotions");
}
