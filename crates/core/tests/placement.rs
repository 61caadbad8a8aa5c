//! Replays of reads that are placed on the servers of a group.

mod placement_replay;

use std::time::Duration;

use placement_replay::{Figures, Leaving, Rule, Scene, Trouble, World};

/// Objective of most reads.
const OBJECTIVE: Duration = Duration::from_millis(250);

/// Plays reads that take `part` of the slots of 24 servers in three data centres.
fn play(rule: Rule, part: f64) -> Figures {
    let rate = 24.0 * 4.0 / 0.018 * part;
    let servers = vec![8, 8, 8];
    let (leaving, trouble) = (Leaving::Share, Trouble::Calm);
    let scene = Scene { rule, leaving, trouble, servers, vms: 64, accounts: 74, rate, seconds: 20 };
    World::new(scene, 1).play()
}

/// Guards against accounts and VMs that meet on few servers, new connections of each account
/// on every server, and reports beyond their data rate.
#[test]
fn load_is_even_and_connections_are_reused() {
    for part in [0.3, 0.6] {
        let figures = play(Rule::Loads, part);
        println!("{part} of the slots: {figures}");
        assert!(figures.busiest() <= 1.3, "{figures}");
        assert!(figures.connects_per_read() <= 0.125, "{figures}");
        assert!(figures.in_time(OBJECTIVE) >= 0.99, "{figures}");
        assert_eq!(figures.far, 0, "no data centre is short of servers");
        assert!(figures.report_bytes <= 48 * (10 * 768 + 3_072), "{figures}");
    }
}

/// Shows what each VM's own averages do with the same load.
#[test]
fn own_averages_send_reads_to_other_data_centres_and_open_more_connections() {
    let figures = play(Rule::Averages, 0.6);
    println!("own averages: {figures}");
    assert!(figures.far > figures.answered / 2, "{figures}");
    assert!(figures.connects_per_read() > 0.02, "{figures}");
}

/// Plays trouble with 9 servers in three data centres, with demand up to 1.5 times what the
/// servers of a data centre run.
fn play_trouble(leaving: Leaving, trouble: Trouble) -> Figures {
    play_trouble_with_seed(leaving, trouble, 2)
}

fn play_trouble_with_seed(leaving: Leaving, trouble: Trouble, seed: u64) -> Figures {
    let rate = 9.0 * 4.0 / 0.018 * 1.5;
    let (rule, servers) = (Rule::Loads, vec![3, 3, 3]);
    let scene = Scene { rule, leaving, trouble, servers, vms: 24, accounts: 20, rate, seconds: 30 };
    World::new(scene, seed).play()
}

/// Plays trouble with the decision of the product, and prints what it showed.
fn play_share(trouble: Trouble) -> Figures {
    let figures = play_trouble(Leaving::Share, trouble);
    println!("{trouble:?}: {}", row(&figures));
    figures
}

/// Describes what the callers of each data centre got, and what it cost.
fn row(figures: &Figures) -> String {
    let good = [0, 1, 2].map(|centre| format!("{:.3}", figures.good(centre)));
    let (far, turns) = (figures.far_share(), figures.turns_per_minute());
    format!("{} in 250 ms, {far:.3} far, {turns:.1} turns", good.join(" "))
}

/// Guards against reads that leave although staying would serve more callers.
#[test]
fn reads_that_leave_serve_no_fewer_callers_than_reads_that_stay() {
    for trouble in [Trouble::Waves, Trouble::Slow, Trouble::HalfGone, Trouble::TwoFull] {
        let (stay, leave) = (play_trouble(Leaving::Never, trouble), play_share(trouble));
        assert!(leave.good(0) >= stay.good(0), "{trouble:?}: {leave} {stay}");
    }
}

/// Guards against a share that sends as many reads away as the alternatives that ignore place, or
/// that serves fewer callers than a threshold, which the design note weighs.
#[test]
fn a_share_costs_less_than_ignoring_place_and_serves_more_than_a_threshold() {
    let share = play_share(Trouble::Waves);
    let by_time = play_trouble(Leaving::ByTime, Trouble::Waves);
    let alike = play_trouble(Leaving::Alike, Trouble::Waves);
    assert!(share.far_share() < by_time.far_share(), "{share} {by_time}");
    assert!(share.far_share() < alike.far_share(), "{share} {alike}");
    let above = play_trouble(Leaving::Above(15), Trouble::Waves);
    assert!(share.good(1) > above.good(1), "{share} {above}");
}

/// Guards against a data centre that lacks servers while another has some to spare, and
/// against reads that swing to and fro.
#[test]
fn waves_of_opposite_phase_use_each_others_servers() {
    let figures = play_share(Trouble::Waves);
    assert!(figures.good(0) >= 0.9 && figures.good(1) >= 0.9, "{figures}");
    assert!(figures.good(2) >= 0.99, "{figures}");
    assert!(figures.far_share() <= 0.3, "{figures}");
    assert!(figures.turns_per_minute() <= 12.0, "{figures}");
}

/// Guards against callers that wait for slow near servers.
#[test]
fn reads_leave_a_data_centre_whose_servers_are_slow() {
    let figures = play_share(Trouble::Slow);
    assert!(figures.good(0) >= 0.9, "{figures}");
    assert!(figures.good(1) >= 0.98 && figures.good(2) >= 0.98, "{figures}");
    assert!(figures.far_share() <= 0.3, "{figures}");
    assert!(figures.turns_per_minute() <= 12.0, "{figures}");
}

/// Guards against callers that wait for the few servers that are left.
#[test]
fn reads_leave_a_data_centre_that_lost_servers() {
    let figures = play_share(Trouble::HalfGone);
    assert!(figures.good(0) >= 0.9, "{figures}");
    assert!(figures.good(1) >= 0.98 && figures.good(2) >= 0.98, "{figures}");
    assert!(figures.turns_per_minute() <= 12.0, "{figures}");
}

/// The same with another order of arrivals.
#[test]
fn reads_leave_a_data_centre_that_lost_servers_with_seed_3() {
    let figures = play_trouble_with_seed(Leaving::Share, Trouble::HalfGone, 3);
    assert!(figures.good(0) >= 0.9, "{figures}");
}

/// Guards against two data centres that fill the third beyond its own callers' needs.
#[test]
fn callers_near_the_only_free_servers_come_first() {
    let figures = play_share(Trouble::TwoFull);
    assert!(figures.good(2) >= 0.97, "{figures}");
    assert!(figures.good(0) >= 0.6 && figures.good(1) >= 0.6, "{figures}");
    assert!(figures.turns_per_minute() <= 12.0, "{figures}");
}

/// Guards against reads that are sent across a network partition.
#[test]
fn nothing_is_sent_to_a_data_centre_that_is_cut_off() {
    let figures = play_share(Trouble::Partition);
    assert_eq!(figures.across, 0);
    assert!(figures.good(1) >= 0.98 && figures.good(2) >= 0.98, "{figures}");
}

/// Guards against reads that go on to other data centres of which nothing is heard.
#[test]
fn reads_stay_when_reports_stop() {
    let figures = play_share(Trouble::Silence);
    assert!(figures.far_share() <= 0.1, "{figures}");
    assert!(figures.good(1) >= 0.98 && figures.good(2) >= 0.98, "{figures}");
}
