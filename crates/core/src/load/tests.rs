use super::*;
use crate::waiting::Priority;

const ASSUMED: Assumption =
    Assumption { network: Duration::from_millis(1), service: Duration::from_millis(1) };

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against decisions on the word of a home that has gone.
#[test]
fn a_report_fades_to_what_this_vm_has_measured() {
    let (server, home) = ("db-1".parse().expect("a name"), "vm-1".parse().expect("a name"));
    let mut loads = Loads::new();
    let report = Report { waits: [ms(100); PRIORITIES], service: ms(40), ..Report::default() };
    let start = Time::from_millis(10_000);
    loads.record_report(&server, &home, report, start);
    let wait = |loads: &Loads, after| {
        loads.outlook(&server, Priority::default(), ASSUMED, start + ms(after)).wait
    };
    assert_eq!(wait(&loads, 0), ms(100));
    assert!(wait(&loads, 1_500) <= ms(51));
    assert!(wait(&loads, 10_000).is_zero());
    let visit = Visit { wait: ms(20), response: ms(30) };
    loads.record_visit(&server, visit, start + ms(10_000));
    assert_eq!(wait(&loads, 10_000), ms(20));
}

/// Guards against a server that nobody uses any more for what was measured long ago.
#[test]
fn what_was_measured_long_ago_does_not_count() {
    let server = "db-1".parse().expect("a name");
    let mut loads = Loads::new();
    let visit = Visit { wait: ms(300), response: ms(900) };
    loads.record_visit(&server, visit, Time::from_millis(1));
    let late = Time::from_millis(60_000);
    let outlook = loads.outlook(&server, Priority::default(), ASSUMED, late);
    assert!(outlook.wait + outlook.service < ms(3), "{outlook:?}");
}

/// Guards against a wait that is reported long after the queue has emptied.
#[test]
fn no_wait_is_expected_while_no_request_waits() {
    let mut meter = Meter::new();
    let now = Time::from_millis(1_000);
    meter.record_wait(Priority::default(), ms(200));
    let busy = meter.report(Counts { in_use: 4, waiting: 3 }, now);
    assert_eq!(busy.wait(Priority::default()), ms(200));
    let quiet = meter.report(Counts { in_use: 1, waiting: 0 }, now + ms(1));
    assert!(quiet.wait(Priority::default()).is_zero());
}

/// Guards against reports that use up the traffic between VMs.
#[test]
fn reports_stay_within_their_data_rate() {
    const SIZE: usize = 40;
    let mut pacer = ReportPacer::new(Time::default());
    let mut last: Vec<Option<SentReport>> = vec![None; 70];
    let mut bytes = 0;
    for step in 0..60_000_u64 {
        let now = Time::from_millis(step);
        let report = Report { in_flight: (step * 7 % 900) as u32, ..Report::default() };
        let to = &mut last[step as usize % 70];
        if pacer.try_send(to.as_ref(), &report, SIZE, now) {
            *to = Some(SentReport::new(report, now));
            bytes += SIZE;
        }
    }
    assert!(bytes <= 60 * 768 + 3_072, "{bytes} bytes in 60 s: more than rate and burst");
    assert!(last.iter().all(Option::is_some), "every VM gets reports");
}
