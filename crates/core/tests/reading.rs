//! A fleet in which the VMs that read the directory for the others lose it.
//!
//! VMs tell their neighbours twice a second when the documents that they hold were known to be
//! up to date. A reader that is cut off from the directory looks the same as one for which
//! nothing changes.

use chicoryhollow_core::{
    DataCentreId, Time, VmId,
    neighbour::{Location, choose_neighbours},
    reader::{READ_INTERVAL, Readers, reader_rank},
};

/// Time within which a configuration is in force on all VMs, in milliseconds.
const IN_FORCE_MS: u64 = 3_000;

/// Interval of heartbeats between neighbours, in milliseconds.
const HEARTBEAT_MS: u64 = 500;

/// Interval at which a VM decides whether it reads, in milliseconds.
const CHECK_MS: u64 = 250;

/// Time for which a message or a read is under way, in milliseconds.
const DELAY_MS: u64 = 5;

/// When the directory is lost by all VMs that read it, and the configuration changes.
const LOSS_MS: u64 = 10_000;

struct Vm {
    readers: Readers,
    rank: usize,
    neighbours: Vec<usize>,
    /// When this VM last read.
    own: Option<Time>,
    /// When documents of other VMs were last known to be up to date.
    others: Option<Time>,
    reads: bool,
    is_cut_off: bool,
    /// Whether the configuration of [`LOSS_MS`] is in force.
    is_current: bool,
}

struct Fleet {
    vms: Vec<Vm>,
    /// Arrival, receiver, freshness and whether the configuration is the new one.
    in_flight: Vec<(u64, usize, Time, bool)>,
}

impl Fleet {
    fn new(data_centres: usize, vms_each: usize) -> Self {
        let count = data_centres * vms_each;
        let names: Vec<VmId> =
            (0..count).map(|i| format!("vm-{i}").parse().expect("a valid name")).collect();
        let centres: Vec<DataCentreId> =
            (0..data_centres).map(|i| format!("dc-{i}").parse().expect("a valid name")).collect();
        let place = |i: usize| Location { vm: &names[i], data_centre: &centres[i % data_centres] };
        let all: Vec<Location<'_>> = (0..count).map(place).collect();
        let mut neighbours = vec![Vec::new(); count];
        for i in 0..count {
            for name in choose_neighbours(all[i], &all) {
                let j = names.iter().position(|vm| *vm == name).expect("a member");
                neighbours[i].push(j);
                neighbours[j].push(i);
            }
        }
        let vm = |(i, neighbours): (usize, Vec<usize>)| {
            let near: Vec<VmId> =
                names.iter().skip(i % data_centres).step_by(data_centres).cloned().collect();
            Vm {
                readers: Readers::new(Time::default()),
                rank: reader_rank(&names[i], &near),
                neighbours,
                own: None,
                others: None,
                reads: false,
                is_cut_off: false,
                is_current: false,
            }
        };
        Fleet { vms: neighbours.into_iter().enumerate().map(vm).collect(), in_flight: Vec::new() }
    }

    /// Runs the fleet until `end_ms`; returns when the new configuration was in force on
    /// all VMs.
    fn run(&mut self, start_ms: u64, end_ms: u64) -> Option<u64> {
        for ms in start_ms..end_ms {
            self.deliver(ms);
            for i in 0..self.vms.len() {
                self.check(i, ms);
                self.read(i, ms);
                if (ms + i as u64 * 137).is_multiple_of(HEARTBEAT_MS) {
                    self.tell(i, ms);
                }
            }
            if self.vms.iter().all(|vm| vm.is_current) {
                return Some(ms);
            }
        }
        None
    }

    fn deliver(&mut self, ms: u64) {
        let (arrived, rest): (Vec<_>, Vec<_>) =
            self.in_flight.drain(..).partition(|message| message.0 <= ms);
        self.in_flight = rest;
        for (_, to, fresh, is_current) in arrived {
            let vm = &mut self.vms[to];
            vm.others = vm.others.max(Some(fresh));
            if is_current && !vm.is_current {
                vm.is_current = true;
                self.tell(to, ms);
            }
        }
    }

    fn check(&mut self, i: usize, ms: u64) {
        if !(ms + i as u64 * 71).is_multiple_of(CHECK_MS) {
            return;
        }
        let vm = &mut self.vms[i];
        vm.readers.record_reads(vm.others, vm.own);
        let reads = vm.readers.is_reader(vm.rank, Time::from_millis(ms));
        if reads && !vm.reads && !vm.is_cut_off {
            self.complete_read(i, ms);
        }
        self.vms[i].reads = reads;
    }

    /// Ends a call of a reader that waits for changes, of which there are none.
    fn read(&mut self, i: usize, ms: u64) {
        let vm = &self.vms[i];
        let call_ms = READ_INTERVAL.as_millis() as u64;
        if vm.reads && !vm.is_cut_off && (ms + i as u64 * 331).is_multiple_of(call_ms) {
            self.complete_read(i, ms);
        }
    }

    fn complete_read(&mut self, i: usize, ms: u64) {
        let vm = &mut self.vms[i];
        vm.own = Some(Time::from_millis(ms));
        if ms >= LOSS_MS && !vm.is_current {
            vm.is_current = true;
            self.tell(i, ms);
        }
    }

    fn tell(&mut self, from: usize, ms: u64) {
        let vm = &self.vms[from];
        let Some(fresh) = vm.own.max(vm.others) else { return };
        let message = |to: &usize| (ms + DELAY_MS, *to, fresh, vm.is_current);
        self.in_flight.extend(vm.neighbours.iter().map(message));
    }

    /// Cuts all VMs off from the directory that read it or that rank before `rank`.
    fn cut_off_readers(&mut self, rank: usize) {
        for vm in &mut self.vms {
            vm.is_cut_off = vm.reads || vm.rank < rank;
        }
    }

    /// Ends the calls of all readers, because something has changed.
    fn read_a_change(&mut self, ms: u64) {
        let readers: Vec<usize> = (0..self.vms.len()).filter(|i| self.vms[*i].reads).collect();
        for i in readers {
            self.complete_read(i, ms);
            self.tell(i, ms);
        }
    }

    fn readers(&self) -> usize {
        self.vms.iter().filter(|vm| vm.reads).count()
    }
}

/// Numbers of data centres and of VMs in each.
const SIZES: [(usize, usize); 5] = [(3, 2), (3, 3), (3, 30), (5, 59), (1, 4)];

#[test]
fn one_vm_in_each_data_centre_reads_while_nothing_changes() {
    for (data_centres, vms) in SIZES {
        let mut fleet = Fleet::new(data_centres, vms);
        for second in 0..10 {
            fleet.run(second * 1_000, (second + 1) * 1_000);
            assert_eq!(fleet.readers(), data_centres, "{data_centres} x {vms} at {second} s");
        }
    }
}

#[test]
fn a_configuration_is_in_force_in_time_although_all_readers_have_lost_the_directory() {
    for (data_centres, vms) in SIZES {
        for rank in [1, 1 + vms / 4] {
            // The last change before the loss makes all VMs believe that they are up to date.
            let mut fleet = Fleet::new(data_centres, vms);
            fleet.run(0, LOSS_MS);
            fleet.read_a_change(LOSS_MS - 1);
            fleet.cut_off_readers(rank);
            let took = fleet.run(LOSS_MS, LOSS_MS + 20_000).map(|ms| ms - LOSS_MS);
            assert!(
                took.is_some_and(|ms| ms <= IN_FORCE_MS),
                "{data_centres} x {vms}, ranks below {rank}: {took:?} ms"
            );
        }
    }
}
