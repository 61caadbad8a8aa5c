//! Searches about the effects of a failover: fences and orders that arrive late, coordinators that
//! do not know what was acknowledged, and evidence from one side of a cut.

use super::{
    PRIMARY_ALONE, assert_holds, assert_seeds_hold, bounds, durable,
    failover_model::{
        event::{Call, Event, Fate, Scope},
        network::Direction,
        search::{Bounds, RECOVERY, Recovery, replay},
        ticks,
        told::AckRule,
        world::{Changes, Delays, Fleet, World},
    },
    search, usual,
};

/// Calls take a tick each way, and replicas some more until they follow a new primary.
const DELAYS: Delays = Delays { call: 1, message: 0, follow: 5 };

/// Time within which a group confirms commits again once all has healed.
const CONFIRMED: Recovery = Recovery::Confirmed(ticks(10_000));

/// The rule of the product, in a world in which calls take a while.
fn delayed() -> World {
    durable(PRIMARY_ALONE).with_delays(DELAYS)
}

/// Only a server that leaves receives from the primary, until the cut of the others heals.
fn departure_of_last_copy() -> Bounds {
    let first = vec![Event::Part, Event::Start(3, 1), Event::Drain(3)];
    Bounds {
        event_ticks: ticks(12_000),
        grid: 5,
        horizon: ticks(16_000),
        recovery: Some(CONFIRMED),
        ..bounds(first, vec![Event::Heal, Event::Slow(0, 3)], 2)
    }
}

/// The primary leaves.
fn departure() -> Bounds {
    let events = vec![Event::Slow(1, 3), Event::Slow(2, 3)];
    Bounds {
        event_ticks: ticks(2_000),
        horizon: ticks(12_000),
        recovery: Some(CONFIRMED),
        ..bounds(vec![Event::Drain(0)], events, 1)
    }
}

/// A fence that arrives after the promotion stays until it is lifted, and its replica confirms
/// nothing meanwhile.
#[test]
fn no_fence_that_outlasts_its_failover_stops_a_group() {
    assert_holds(&delayed(), &departure());
    assert_holds(&delayed(), &departure_of_last_copy());
}

/// The same beside other events: fences and requests to lift them that arrive late or never, and a
/// coordinator that restarts.
#[test]
fn no_group_is_stopped_by_calls_that_arrive_late() {
    let disturb = |call| {
        let late = [1_000, 4_000].map(|ms| Fate::Late(ticks(ms)));
        late.into_iter().chain([Fate::Lost]).map(move |fate| Event::Disturb(call, fate))
    };
    let mut events = vec![Event::Part, Event::Detach, Event::Lag(1), Event::RestartDaemon(1)];
    events.extend([Event::Slow(1, 3), Event::Slow(2, 3)]);
    events.extend([Call::Fence, Call::Release].into_iter().flat_map(disturb));
    for first in [Event::Drain(0), Event::Crash(0)] {
        let bounds = Bounds {
            event_ticks: ticks(2_500),
            grid: 5,
            horizon: ticks(9_000),
            recovery: Some(CONFIRMED),
            ..bounds(vec![first], events.clone(), 2)
        };
        assert_holds(&delayed(), &bounds);
    }
}

/// After all daemons have restarted, none knows what was acknowledged, and the primary may still
/// answer.
#[test]
fn daemons_that_know_no_commit_do_not_replace_a_primary_by_a_server_that_lacks_some() {
    let first = vec![Event::Part, Event::Start(3, 1)];
    let events = vec![Event::Drain(3), Event::RestartAll];
    let bounds = Bounds {
        event_ticks: ticks(12_000),
        grid: 10,
        horizon: ticks(20_000),
        recovery: Some(CONFIRMED),
        ..bounds(first, events, 2)
    };
    search(&durable(PRIMARY_ALONE), &bounds);
}

/// Nobody remembers a commit that only servers behind a cut have, and the wait for them is limited.
#[test]
fn daemons_that_know_no_commit_wait_for_servers_behind_a_cut() {
    let first = vec![Event::Part, Event::Start(3, 0)];
    let events = vec![Event::Cut(Direction::Both), Event::RestartAll];
    let bounds = Bounds {
        event_ticks: ticks(6_000),
        grid: 10,
        horizon: ticks(20_000),
        ..bounds(first, events, 2)
    };
    search(&durable(PRIMARY_ALONE), &bounds);
}

/// A coordinator that knows no commit promotes the longest log. It then knows where the new term
/// began, but not which commits were acknowledged before.
#[test]
fn daemons_that_know_no_commit_do_not_replace_a_successor_by_a_server_that_lacks_some() {
    let events = vec![Event::Crash(0), Event::Part, Event::RestartAll];
    let bounds = Bounds {
        event_ticks: ticks(600),
        grid: 2,
        horizon: ticks(22_000),
        ..bounds(vec![Event::Lag(1)], events, 3)
    };
    assert_holds(&durable(PRIMARY_ALONE), &bounds);
}

#[test]
fn daemons_that_know_no_commit_replace_a_primary_that_fails() {
    let events = vec![Event::Crash(0), Event::Cut(Direction::Both), Event::Lag(1), Event::Lag(2)];
    let bounds = Bounds {
        event_ticks: ticks(5_000),
        grid: 5,
        horizon: ticks(16_000),
        ..bounds(vec![Event::RestartAll], events, 2)
    };
    assert_holds(&durable(PRIMARY_ALONE), &bounds);
}

/// An order that is sent after its failover has ended rolls back what the next primary acknowledges.
#[test]
fn no_order_that_waits_for_the_row_outlasts_its_failover() {
    let slow = [500, 1_000, 2_000, 4_000].map(|ms| Event::StoreSlow(ticks(ms)));
    let bounds = Bounds {
        grid: 2,
        event_ticks: ticks(4_000),
        horizon: ticks(12_000),
        ..bounds(vec![Event::Detach], [slow.to_vec(), vec![Event::Heal]].concat(), 2)
    };
    assert_holds(&durable(PRIMARY_ALONE), &bounds);
}

/// A primary that confirms nothing is replaced although the row is written slowly.
#[test]
fn a_primary_is_replaced_while_the_row_is_written_slowly() {
    for delay in [500, 1_000, 2_000].map(ticks) {
        let first = vec![Event::StoreSlow(delay), Event::Detach];
        let bounds = Bounds { horizon: ticks(25_000), ..bounds(first, Vec::new(), 0) };
        assert_holds(&durable(PRIMARY_ALONE), &bounds);
    }
}

/// Two VMs in each data centre, of which the coordinator has no callers, and messages that take a
/// while.
fn fleet_of_four() -> World {
    let fleet = Fleet { vms: 4, coordinator: 3, callers: vec![0, 1, 2] };
    let delays = Delays { message: 1, ..DELAYS };
    World::new(AckRule::Durability, Changes::default(), PRIMARY_ALONE, fleet).with_delays(delays)
}

/// VMs on the primary's side of a cut are in contact with each other, although only a server that
/// started on this side has received the commit, and a failover runs on the other side.
#[test]
fn no_commit_is_told_by_evidence_of_one_side_of_a_cut() {
    let events = vec![Event::Start(3, 0), Event::Start(3, 1), Event::Heal, Event::Lag(1)];
    let bounds = bounds(vec![Event::Split], events, 2);
    assert_holds(&fleet_of_four(), &bounds);
}

/// Number of seeds of worlds in which everything takes a while, without `FAILOVER_SEEDS`.
const SLOW_SEEDS: u64 = 100;

/// Also slow calls and servers, and a primary that is cut from its replicas.
fn unusual() -> Scope {
    let slow = [500, 1_000, 2_000, 4_000].map(|ms| Event::StoreSlow(ticks(ms)));
    let slow_servers = (0..4).map(|server| Event::Slow(server, 3));
    usual().with([Event::Detach]).with(slow).with(slow_servers)
}

#[test]
fn no_commit_is_lost_whatever_happens_once_while_calls_take_long() {
    assert_seeds_hold(&delayed(), &unusual(), SLOW_SEEDS);
}

#[test]
fn no_commit_is_lost_whatever_happens_once_to_four_vms() {
    assert_seeds_hold(&fleet_of_four(), &unusual().with([Event::Split]), SLOW_SEEDS);
}

/// The only replica that stays in another data centre than the primary answers after 0.5 s, and no
/// caller is told of a success any more.
#[test]
fn callers_are_told_of_successes_beside_a_slow_replica() {
    let bounds = Bounds {
        event_ticks: ticks(1_000),
        grid: 5,
        horizon: ticks(2_000),
        recovery: Some(Recovery::ToldSlowly(ticks(20_000))),
        ..bounds(vec![Event::Drain(2)], vec![Event::Slow(1, 3)], 1)
    };
    search(&fleet_of_four(), &bounds);
}

/// A registered replica that is split off with the primary is no proof: the other side waits for it
/// for 10 s only.
#[test]
fn no_commit_is_told_of_a_replica_that_is_split_off_with_the_primary() {
    for centre in [0, 1] {
        let bounds = Bounds {
            event_ticks: ticks(6_000),
            grid: 10,
            horizon: ticks(22_000),
            ..bounds(vec![Event::Start(3, centre)], vec![Event::Split, Event::Heal], 2)
        };
        assert_holds(&fleet_of_four(), &bounds);
    }
}

/// An order of a failover that was given up is carried out after a copy on a fenced replica has
/// shown that a commit is safe. Found by seed.
#[test]
fn no_commit_is_told_of_a_copy_while_an_order_for_another_server_is_open() {
    let events = [
        (93, Event::Sever(1, 3)),
        (111, Event::Part),
        (118, Event::Crash(0)),
        (124, Event::Disturb(Call::Promote, Fate::Late(ticks(13_000)))),
        (127, Event::Start(3, 0)),
        (206, Event::Restart(0, true)),
        (218, Event::StoreDown),
        (228, Event::Heal),
    ];
    let found = replay(&durable(PRIMARY_ALONE), ticks(30_000), RECOVERY, &events);
    assert!(found.is_none(), "{found:?}");
}

/// The server that was ordered first led, ended, and came back, while its failover ordered another
/// one; what it acknowledged meanwhile was told. Found by seed.
#[test]
fn no_commit_is_told_of_a_server_that_its_own_failover_replaces() {
    let events = [
        (67, Event::Part),
        (81, Event::StoreSlow(5)),
        (107, Event::Crash(2)),
        (138, Event::Heal),
        (140, Event::Restart(2, true)),
    ];
    let found = replay(&fleet_of_four(), ticks(30_000), RECOVERY, &events);
    assert!(found.is_none(), "{found:?}");
}
