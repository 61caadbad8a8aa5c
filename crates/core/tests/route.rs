//! Reads never miss a write of their session under random writes, lags, failovers and
//! changes of the VM that serves the session.

use std::time::Duration;

use chicoryhollow_core::{
    prelude::*,
    route::{Candidate, Estimates},
    view::TermStart,
};
use rand::{Rng, RngExt, SeedableRng, rngs::StdRng};

/// One backend server: the log that it has applied, as the term of each record.
#[derive(Clone, Default)]
struct Server {
    log: Vec<u64>,
}

impl Server {
    fn position(&self) -> Position {
        let term = self.log.last().copied().unwrap_or(1);
        Position::new(Term::new(term), Lsn::new(self.log.len() as u64))
    }
}

/// A group of three servers; a majority holds every acknowledged write.
struct Model {
    servers: Vec<Server>,
    primary: usize,
    term: u64,
    history: Vec<TermStart>,
    cut: Option<usize>,
}

impl Model {
    fn new() -> Self {
        let servers = vec![Server::default(); 3];
        Model { servers, primary: 0, term: 1, history: Vec::new(), cut: None }
    }

    /// Acknowledges a write once another server holds it.
    fn write(&mut self, rng: &mut StdRng) -> Position {
        self.servers[self.primary].log.push(self.term);
        let others: Vec<_> = self.replicas().filter(|s| Some(*s) != self.cut).collect();
        self.catch_up(others[rng.random_range(0..others.len())]);
        self.servers[self.primary].position()
    }

    fn replicas(&self) -> impl Iterator<Item = usize> + use<> {
        let primary = self.primary;
        (0..3).filter(move |server| *server != primary)
    }

    fn catch_up(&mut self, server: usize) {
        self.servers[server] = self.servers[self.primary].clone();
    }

    /// Replaces the primary, whose log may end with records that no other server holds.
    fn fail_over(&mut self, rng: &mut StdRng) {
        let old = self.primary;
        for _ in 0..rng.random_range(0..3) {
            self.servers[old].log.push(self.term);
        }
        self.primary = self.replicas().max_by_key(|s| self.servers[*s].position()).expect("two");
        let lsn = Lsn::new(self.servers[self.primary].log.len() as u64);
        self.term += 1;
        self.history.push(TermStart { term: Term::new(self.term), lsn, xid: self.term });
        self.cut = Some(old);
        // The other replica may be at any earlier point of the same log.
    }

    fn view(&self) -> GroupView {
        let mut view = GroupView::new("orders".parse().expect("a valid name"));
        view.term = Term::new(self.term);
        view.primary = Some(name(self.primary));
        view.history = self.history.clone();
        view
    }
}

fn name(server: usize) -> ServerId {
    format!("s{server}").parse().expect("a valid name")
}

fn index(server: &ServerId) -> usize {
    server.as_str()[1..].parse().expect("a number")
}

/// Counts acknowledged records that the session has seen and `server` has not applied.
fn missing(model: &Model, server: usize, seen: &[(usize, u64)]) -> usize {
    let log = &model.servers[server].log;
    let truth = &model.servers[model.primary].log;
    let survived = |(at, term): &&(usize, u64)| truth.get(*at) == Some(term);
    seen.iter().filter(survived).filter(|(at, term)| log.get(*at) != Some(term)).count()
}

#[derive(Default)]
struct Session {
    token: Option<Position>,
    seen: Vec<(usize, u64)>,
}

fn run(seed: u64) -> (usize, usize) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut model = Model::new();
    // Each request of a session goes to one of two VMs at random.
    let mut vms = [Estimates::new(), Estimates::new()];
    let mut old_view = model.view();
    let mut sessions: Vec<_> = (0..4).map(|_| Session::default()).collect();
    let (mut reads, mut stale) = (0, 0);
    for step in 0..400 {
        let now = Time::from_millis(step);
        let vm = rng.random_range(0..2);
        let session = rng.random_range(0..4);
        match rng.random_range(0..100) {
            0..2 => model.fail_over(&mut rng),
            2..10 => old_view = model.view(),
            10..30 if model.cut != Some(2) => model.catch_up(model.replicas().last().expect("two")),
            30..33 => model.cut = None,
            33..60 => {
                let position = model.write(&mut rng);
                vms[vm].record_position(position, now);
                let session = &mut sessions[session];
                session.token = session.token.max(Some(position));
                session.seen.push((position.lsn().get() as usize - 1, position.term().get()));
            }
            _ => {
                // The view of the second VM is out of date.
                let view = if vm == 0 { model.view() } else { old_view.clone() };
                let session = &mut sessions[session];
                reads += 1;
                stale += read(&model, &view, &mut vms[vm], session, now, &mut rng);
            }
        }
    }
    (reads, stale)
}

fn read(
    model: &Model,
    view: &GroupView,
    estimates: &mut Estimates,
    session: &mut Session,
    now: Time,
    rng: &mut impl Rng,
) -> usize {
    let candidates =
        [0, 1, 2].map(|s| Candidate { server: name(s), near: s == 0, unreachable: false });
    for choice in estimates.choose(view, &candidates, session.token, now, rng) {
        let server = index(&choice.server);
        let applied = model.servers[server].position();
        if !session.token.is_none_or(|needed| view.covers(applied, needed)) {
            estimates.record_miss(&choice.server, now);
            continue;
        }
        let stale = missing(model, server, &session.seen);
        estimates.record_applied(&choice.server, applied, now, now);
        estimates.record_answer(&choice.server, Some(Duration::from_micros(500)));
        session.token = session.token.max(Some(applied));
        return stale;
    }
    0
}

#[test]
fn no_read_misses_a_write_that_its_session_has_seen() {
    let mut total = 0;
    for seed in 0..200 {
        let (reads, stale) = run(seed);
        assert_eq!(stale, 0, "seed {seed}");
        total += reads;
    }
    assert!(total > 20_000, "{total} reads");
}

/// Returns the fraction of reads that replicas with a lag of `lag_ms` serve while a
/// session also writes from time to time.
fn replica_share(lag_ms: u64) -> f64 {
    let mut rng = StdRng::seed_from_u64(lag_ms);
    let mut estimates = Estimates::new();
    let view = Model::new().view();
    let candidates =
        [0, 1, 2].map(|s| Candidate { server: name(s), near: s == 1, unreachable: false });
    let mut writes: Vec<u64> = Vec::new();
    let at = |lsn: usize| Position::new(Term::new(1), Lsn::new(lsn as u64));
    let (mut reads, mut replicas) = (0, 0);
    let mut needed = None;
    let mut answers: Vec<(u64, ServerId, Option<Position>)> = Vec::new();
    for now in 0..20_000 {
        let time = Time::from_millis(now);
        let applied = writes.iter().take_while(|written| *written + lag_ms <= now).count();
        for (_, server, needed) in answers.extract_if(.., |(then, _, _)| *then <= now) {
            estimates.record_applied(&server, at(applied), time, time);
            replicas += usize::from(needed.is_none_or(|needed| at(applied) >= needed));
        }
        if rng.random_range(0..10) == 0 {
            writes.push(now);
            estimates.record_position(at(writes.len()), time);
            needed = Some(at(writes.len()));
        }
        reads += 1;
        let choice = estimates.choose(&view, &candidates, needed, time, &mut rng).remove(0);
        if !choice.primary {
            let max_wait = u64::try_from(choice.max_wait.as_millis()).expect("a short wait");
            answers.push((now + max_wait, choice.server, needed));
        }
    }
    f64::from(u32::try_from(replicas).expect("few")) / f64::from(reads)
}

#[test]
fn replicas_serve_nine_of_ten_reads_at_lags_below_50_ms() {
    for lag_ms in [0, 1, 5, 10, 20, 30, 40, 49] {
        let share = replica_share(lag_ms);
        println!("lag {lag_ms} ms: {share}");
        assert!(share >= 0.9, "lag {lag_ms} ms: {share}");
    }
}
