//! A zone is evacuated while callers are inside transactions.

#[path = "../standin_3.rs"]
mod standin;

use std::{
    io,
    net::SocketAddr,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use standin::{Arrival, Caller, Deployment, Record, ZONES};

/// Sessions on each machine that run transactions, and that run single statements.
const CALLERS: usize = 4;

/// Reads of a transaction, beside its begin and its commit.
const READS: usize = 10;

/// Pause between two statements of a transaction; `tx_idle_ms` is 3,000.
const PAUSE: Duration = Duration::from_millis(1_500);

/// `evacuate_ms`.
const EVACUATION: Duration = Duration::from_millis(5_000);

/// The evacuated zone, and its server.
const ZONE: usize = 1;
const SERVER: &str = "i-2";

/// Time before the evacuation, and after it.
const BEFORE: Duration = Duration::from_secs(6);
const AFTER: Duration = Duration::from_secs(20);

fn run_transactions(front: SocketAddr, stop: &AtomicBool, record: &Record) -> io::Result<()> {
    let mut caller = Caller::connect(front, "bounded", "secret")?;
    while !stop.load(Ordering::Relaxed) {
        let (mut answer, _) = caller.query("BEGIN READ")?;
        for _ in 0..READS {
            if !answer.starts_with("COMPLETE") {
                break;
            }
            thread::sleep(PAUSE);
            (answer, _) = caller.query("READ k")?;
        }
        if !answer.starts_with("COMPLETE") {
            record.add(format!("transaction: {answer}"));
            caller.query("ROLLBACK")?;
            thread::sleep(PAUSE);
            continue;
        }
        caller.query("COMMIT")?;
    }
    Ok(())
}

fn run_statements(front: SocketAddr, stop: &AtomicBool, record: &Record) -> io::Result<()> {
    let mut caller = Caller::connect(front, "bounded", "other")?;
    while !stop.load(Ordering::Relaxed) {
        let (answer, _) = caller.query("READ k")?;
        if !answer.starts_with("COMPLETE") {
            record.add(format!("single statement: {answer}"));
        }
        thread::sleep(Duration::from_millis(150));
    }
    Ok(())
}

fn main() {
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create();
    let deployment = Deployment::start_with(&record, 1, true);
    let stop = AtomicBool::new(false);
    let mut evacuated = None;
    thread::scope(|scope| {
        for daemon in &deployment.daemons {
            let (front, stop, record) = (daemon.front, &stop, &record);
            for run in [run_transactions, run_statements] {
                for _ in 0..CALLERS {
                    scope.spawn(move || {
                        if let Err(error) = run(front, stop, record) {
                            record.add(format!("a caller lost its session: {error}"));
                        }
                    });
                }
            }
        }
        thread::sleep(BEFORE);
        if trouble {
            deployment.store.put("op", &format!("evacuate/{}", ZONES[ZONE]), "{}");
            evacuated = Some(Instant::now());
            record.add(format!("the evacuation of {} is acknowledged", ZONES[ZONE]));
        }
        thread::sleep(AFTER);
        stop.store(true, Ordering::Relaxed);
    });
    let arrivals = deployment.groups[0].arrivals();
    let here: Vec<&Arrival> = arrivals.iter().filter(|found| found.server == SERVER).collect();
    record.add(format!("{} requests reached servers, {} of them {SERVER}", arrivals.len(), here.len()));
    let late = here.iter().filter_map(|found| {
        let after = found.at.checked_duration_since(evacuated?)?;
        (after > EVACUATION).then_some((after, found))
    });
    let late: Vec<_> = late.collect();
    for (after, Arrival { id, text, outcome, .. }) in &late {
        let after = after.as_secs_f64();
        record.add(format!("{after:.3} s after the evacuation {SERVER} gets {id} {text}: {outcome}"));
    }
    let ran = late.iter().filter(|(_, found)| found.outcome == "ran").count();
    record.add(format!("{} requests reached {SERVER} too late, {ran} ran", late.len()));
    deployment.finish(i32::from(ran > 0));
}
