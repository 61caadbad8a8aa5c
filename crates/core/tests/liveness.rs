//! Two VMs that exchange heartbeats as their liveness decides.

use std::time::Duration;

use chicoryhollow_core::{
    Time,
    liveness::{Check, Liveness, Purpose, Reason, purposes},
};

/// Interval at which each VM checks its side of the connection, in milliseconds.
const CHECK_MS: u64 = 250;

/// A connection between two VMs whose messages take some time.
struct Connection {
    sides: [Liveness; 2],
    /// Arrival, receiver and whether a reply is requested, of each message under way.
    in_flight: Vec<(u64, usize, bool)>,
    /// Whether each side still receives and sends.
    alive: [bool; 2],
    delay_ms: u64,
    sent: usize,
    lost_at: Option<u64>,
}

impl Connection {
    fn new(delay_ms: u64) -> Self {
        let side = Liveness::new(Time::default());
        Connection {
            sides: [side; 2],
            in_flight: Vec::new(),
            alive: [true; 2],
            delay_ms,
            sent: 0,
            lost_at: None,
        }
    }

    fn send_heartbeat(&mut self, side: usize, ms: u64) {
        self.sides[side].record_heartbeat(Time::from_millis(ms));
        self.sent += 1;
        self.in_flight.push((ms + self.delay_ms, 1 - side, true));
    }

    /// Runs the connection, whose sides check it with this `purpose`, for `span` from `start`.
    fn run(&mut self, purpose: Purpose, start: u64, span: u64) {
        for ms in start..start + span {
            let now = Time::from_millis(ms);
            let (arrived, rest) = self.in_flight.drain(..).partition(|message| message.0 <= ms);
            self.in_flight = rest;
            let arrived: Vec<(u64, usize, bool)> = arrived;
            for (_, side, wants_reply) in arrived {
                if !self.alive[side] {
                    continue;
                }
                self.sides[side].record_received(now);
                if wants_reply && self.sides[side].owes_reply(now) {
                    self.sides[side].record_sent(now);
                    self.sent += 1;
                    self.in_flight.push((ms + self.delay_ms, 1 - side, false));
                }
            }
            for side in 0..2 {
                // The two sides check at different moments.
                if !self.alive[side] || !(ms + side as u64 * 100).is_multiple_of(CHECK_MS) {
                    continue;
                }
                match self.sides[side].check(purpose, now) {
                    Check::Nothing => {}
                    Check::Heartbeat => self.send_heartbeat(side, ms),
                    Check::Lost => drop(self.lost_at.get_or_insert(ms)),
                }
            }
        }
    }
}

#[test]
fn an_idle_connection_costs_few_messages_and_is_kept() {
    let mut connection = Connection::new(2);
    connection.run(Purpose::OnDemand, 0, 60_000);
    assert_eq!(connection.lost_at, None);
    assert!(connection.sent <= 60, "{} messages in a minute", connection.sent);
}

#[test]
fn a_connection_for_gossip_is_kept_while_packets_are_lost() {
    // A lost packet is sent again after 200 ms, and once more after 400 ms.
    let mut connection = Connection::new(600);
    connection.run(Purpose::Gossip, 0, 60_000);
    assert_eq!(connection.lost_at, None);
}

#[test]
fn a_silent_vm_is_noticed_soon_on_a_connection_in_use() {
    let mut connection = Connection::new(2);
    connection.run(Purpose::Standby, 0, 10_000);
    connection.alive[1] = false;
    connection.run(Purpose::Standby, 10_000, 5_000);
    assert!(connection.lost_at.is_some_and(|ms| ms <= 12_000), "{:?}", connection.lost_at);
}

/// A VM of a large fleet is connected to many others that hold tokens for it.
#[test]
fn two_connections_to_a_data_centre_show_whether_it_is_there() {
    let watched = |connections: &[Reason]| {
        let purposes = purposes(connections);
        purposes.iter().filter(|purpose| **purpose != Purpose::OnDemand).count()
    };
    assert_eq!(watched(&[Reason::Prepared; 16]), 2);
    assert_eq!(watched(&[Reason::Prepared]), 1);
    assert_eq!(watched(&[[Reason::Neighbour; 3], [Reason::Prepared; 3]].concat()), 3);
    assert_eq!(watched(&[Reason::Used; 4]), 0);
}

/// A VM whose data centre was cut off while the connection was idle.
#[test]
fn a_silent_vm_is_noticed_soon_after_the_first_use() {
    let mut connection = Connection::new(2);
    connection.run(Purpose::OnDemand, 0, 10_000);
    connection.alive[1] = false;
    connection.run(Purpose::OnDemand, 10_000, 1_000);
    assert!(connection.sides[0].record_use(Time::from_millis(11_000)), "a check is needed");
    connection.send_heartbeat(0, 11_000);
    assert!(!connection.sides[0].record_use(Time::from_millis(11_010)), "one is under way");
    connection.run(Purpose::OnDemand, 11_000, 3_000);
    assert!(connection.lost_at.is_some_and(|ms| ms <= 12_300), "{:?}", connection.lost_at);
}

/// A VM asks many others for tokens, each of them a few times a minute.
#[test]
fn an_answered_request_costs_no_heartbeats() {
    let mut liveness = Liveness::new(Time::default());
    for second in 1..60 {
        let ms = second * 1_000;
        liveness.record_request(Time::from_millis(ms));
        liveness.record_sent(Time::from_millis(ms));
        liveness.record_received(Time::from_millis(ms + 3));
        let later = Time::from_millis(ms + 600);
        assert_eq!(liveness.check(Purpose::OnDemand, later), Check::Nothing, "second {second}");
    }
}

#[test]
fn an_unanswered_request_shows_that_the_other_vm_is_silent() {
    let mut connection = Connection::new(2);
    connection.run(Purpose::OnDemand, 0, 10_000);
    connection.sides[0].record_received(Time::from_millis(10_000));
    connection.alive[1] = false;
    let asked = Time::from_millis(10_100);
    assert!(!connection.sides[0].record_request(asked), "the other VM was just heard");
    connection.sides[0].record_sent(asked);
    connection.run(Purpose::OnDemand, 10_100, 3_000);
    assert!(connection.lost_at.is_some_and(|ms| ms <= 12_100), "{:?}", connection.lost_at);
}

#[test]
fn messages_in_both_directions_replace_heartbeats() {
    let mut liveness = Liveness::new(Time::default());
    for ms in (0..5_000).step_by(100) {
        let now = Time::from_millis(ms);
        liveness.record_received(now);
        liveness.record_sent(now);
        liveness.record_use(now);
        assert_eq!(liveness.check(Purpose::Standby, now), Check::Nothing);
    }
    let later = Time::from_millis(4_900) + Duration::from_millis(600);
    assert_eq!(liveness.check(Purpose::Standby, later), Check::Heartbeat);
}
