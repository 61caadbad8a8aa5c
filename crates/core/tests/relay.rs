//! A large configuration is relayed in a fleet of VMs with narrow links.

use chicoryhollow_core::{
    DataCentreId, Time, VmId,
    document::{Acceptance, DocumentCopy},
    neighbour::{Location, choose_neighbours},
    transfer::{PIECE_BYTES, Transfers},
};

const VMS: usize = 90;
const CENTRES: usize = 3;

/// VMs that read the directory, one in each data centre.
const READERS: usize = CENTRES;

/// Bytes that a link carries in a millisecond, in each direction: 10 Mbit/s.
const BYTES_PER_MS: f64 = 1_250.0;

/// Size of a configuration of 1,500 routes that cannot be compressed.
const DOCUMENT_BYTES: f64 = 300_000.0;

const STEP_MS: u64 = 5;

/// Interval of heartbeats between neighbours, in milliseconds.
const HEARTBEAT_MS: u64 = 500;

/// Time within which a configuration must be in force everywhere, in milliseconds.
const BOUND_MS: u64 = 3_000;

/// A copy of the document on its way.
struct Copy {
    from: usize,
    to: usize,
    version: u64,
    left: f64,
}

struct Fleet {
    /// Neighbours of each VM and whether they are near.
    neighbours: Vec<Vec<(usize, bool)>>,
    copies: Vec<DocumentCopy>,
    transfers: Vec<Transfers<usize>>,
    in_flight: Vec<Copy>,
    /// VMs that tell their neighbours of a new version in this step.
    news: Vec<usize>,
    sent: usize,
    now: u64,
}

fn content(version: u64) -> Vec<u8> {
    version.to_string().into_bytes()
}

impl Fleet {
    fn new() -> Self {
        let vms: Vec<VmId> =
            (0..VMS).map(|i| format!("vm-{i}").parse().expect("a valid name")).collect();
        let centres: Vec<DataCentreId> =
            (0..CENTRES).map(|i| format!("dc-{i}").parse().expect("a valid name")).collect();
        let place = |(i, vm)| Location { vm, data_centre: &centres[i % CENTRES] };
        let places: Vec<Location<'_>> = vms.iter().enumerate().map(place).collect();
        let mut neighbours = vec![Vec::new(); VMS];
        for i in 0..VMS {
            for name in choose_neighbours(places[i], &places) {
                let j = vms.iter().position(|vm| *vm == name).expect("a member");
                for (from, to) in [(i, j), (j, i)] {
                    let link = (to, from % CENTRES == to % CENTRES);
                    if !neighbours[from].contains(&link) {
                        neighbours[from].push(link);
                    }
                }
            }
        }
        let mut copies = vec![DocumentCopy::default(); VMS];
        for copy in &mut copies {
            copy.accept(1, content(1));
        }
        let transfers = vec![Transfers::new(); VMS];
        let (in_flight, news) = (Vec::new(), Vec::new());
        Fleet { neighbours, copies, transfers, in_flight, news, sent: 0, now: 0 }
    }

    fn accept(&mut self, vm: usize, version: u64) {
        if self.copies[vm].accept(version, content(version)) == Acceptance::New {
            self.news.push(vm);
        }
    }

    /// Tells the neighbours of `from` which version it has, which some of them request.
    fn announce(&mut self, from: usize) {
        let (version, digest) = (self.copies[from].version(), self.copies[from].digest());
        for (to, near) in self.neighbours[from].clone() {
            let now = Time::from_millis(self.now);
            if self.copies[to].should_request(version, digest, near, now) {
                self.transfers[from].request(to, now);
            }
        }
    }

    fn start_transfers(&mut self) {
        let now = Time::from_millis(self.now);
        for from in 0..VMS {
            while let Some(to) = self.transfers[from].start_next(now) {
                let version = self.copies[from].version();
                self.sent += 1;
                self.in_flight.push(Copy { from, to, version, left: DOCUMENT_BYTES });
            }
        }
    }

    /// Carries all copies for one step, each with its share of two links.
    fn carry(&mut self) {
        let now = Time::from_millis(self.now);
        let (mut up, mut down) = ([0.0; VMS], [0.0; VMS]);
        for copy in &self.in_flight {
            up[copy.from] += 1.0;
            down[copy.to] += 1.0;
        }
        for copy in &mut self.in_flight {
            let pieces = |left: f64| (left / PIECE_BYTES as f64).ceil();
            let before = pieces(copy.left);
            let share = 1.0 / f64::max(up[copy.from], down[copy.to]);
            copy.left -= BYTES_PER_MS * STEP_MS as f64 * share;
            if pieces(copy.left) < before {
                self.copies[copy.to].record_piece(copy.version, now);
                self.transfers[copy.from].record_progress(&copy.to, now);
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        self.carry();
        let arrived: Vec<Copy> = self.in_flight.extract_if(.., |copy| copy.left <= 0.0).collect();
        for copy in arrived {
            self.transfers[copy.from].finish(&copy.to);
            self.accept(copy.to, copy.version);
        }
        let due = (0..VMS).filter(|vm| (self.now + *vm as u64 * 35).is_multiple_of(HEARTBEAT_MS));
        let telling: Vec<usize> = self.news.drain(..).chain(due).collect();
        for vm in telling {
            self.announce(vm);
        }
        self.start_transfers();
    }

    /// Publishes `version` and returns the time in milliseconds until all VMs have it.
    fn publish(&mut self, version: u64) -> u64 {
        let start = self.now;
        for reader in 0..READERS {
            self.accept(reader, version);
        }
        while self.copies.iter().any(|copy| copy.version() < version) {
            assert!(self.now - start < 60_000, "the document reaches all VMs");
            self.step();
        }
        self.now - start
    }
}

/// On 10 Mbit/s every VM asked several others for the same large configuration, and it was
/// in force too late.
#[test]
fn a_large_configuration_is_in_force_in_time_on_narrow_links() {
    let mut fleet = Fleet::new();
    let took = fleet.publish(2);
    println!("{took} ms, {} copies", fleet.sent);
    assert!(took <= BOUND_MS, "{took} ms");
    assert!(fleet.sent <= VMS, "each VM is sent it once: {} copies", fleet.sent);
}
