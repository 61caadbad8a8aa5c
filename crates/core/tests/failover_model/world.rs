//! The world of the model and its steps.

use chicoryhollow_core::coordinator::CoordinatorLease;

use super::{
    FIRST_SERVERS, SERVERS, TICK_MS, VMS,
    calls::Flight,
    contact::Message,
    directory::{DRAIN, Directory, TAKEOVER},
    event::{Call, Event, Fate, KINDS, LAG},
    network::{Network, Node},
    platform::{Order, Platform},
    server::{Command, Commits, Life, Server},
    ticks,
    told::AckRule,
    vm::Vm,
};

/// Commits of a run, so that some are left for its end.
const MAX_COMMITS: u8 = 80;

/// Time in which callers write before the first event.
const WARM_UP: u32 = ticks(3_000);

/// How a world broke a rule.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Violation {
    /// A commit that a caller was told of is missing in the log of the primary.
    Lost(Commits),
    /// An order took effect after a newer one.
    Replaced,
    /// No write succeeds although all has healed.
    Stuck,
}

/// Changes of the watch that the engine does not have.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Changes {
    /// Whether the coordinator orders the promotion of the present primary, so that no older
    /// order is carried out any more.
    pub(crate) cancels: bool,
}

/// The VMs of a world.
#[derive(Clone, Debug)]
pub(crate) struct Fleet {
    /// Number of VMs.
    pub(crate) vms: usize,
    /// The VM that replaces primaries.
    pub(crate) coordinator: usize,
    /// VMs that have callers.
    pub(crate) callers: Vec<usize>,
}

impl Default for Fleet {
    fn default() -> Self {
        Fleet { vms: VMS, coordinator: 1, callers: (0..VMS).collect() }
    }
}

/// Ticks that calls take. Without any, they are answered at once.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Delays {
    /// From a VM to a server, and back.
    pub(crate) call: u32,
    /// From a VM to another one.
    pub(crate) message: u32,
    /// From the promotion of a primary, or the end of a cut, until replicas receive from it.
    pub(crate) follow: u32,
}

/// Everything that is in the model.
#[derive(Clone, Debug)]
pub(crate) struct World {
    pub(crate) tick: u32,
    pub(crate) rule: AckRule,
    pub(crate) changes: Changes,
    pub(crate) delays: Delays,
    pub(crate) servers: [Server; SERVERS],
    pub(crate) network: Network,
    pub(crate) directory: Directory,
    pub(crate) platform: Platform,
    pub(crate) vms: Vec<Vm>,
    /// VMs that have callers.
    pub(crate) callers: Vec<usize>,
    /// Messages between VMs that are on their way.
    pub(crate) messages: Vec<Message>,
    /// Commits that the primary acknowledged.
    pub(crate) confirmed: Commits,
    /// Commits of which callers were told that they succeeded.
    pub(crate) told: Commits,
    /// Commits that were lost with the logs of servers.
    pub(crate) forgiven: Commits,
    pub(crate) commits: u8,
    pub(crate) max_commits: u8,
    pub(crate) orders: u32,
    pub(crate) late_orders: Vec<(u32, Order)>,
    pub(crate) late_commands: Vec<(u32, usize, Command)>,
    /// Commands and answers on their way.
    pub(crate) flights: Vec<Flight>,
    pub(crate) disturbed: Option<(Call, Fate)>,
    /// How often each kind of event happened.
    pub(crate) happened: [u8; KINDS],
    /// What happened, if that is recorded.
    pub(crate) notes: Option<Vec<String>>,
}

impl World {
    /// Returns a world with this fleet, and with servers in these data centres, the first of which
    /// is the primary.
    pub(crate) fn new(
        rule: AckRule,
        changes: Changes,
        centres: [usize; FIRST_SERVERS],
        fleet: Fleet,
    ) -> Self {
        let mut servers = [(); SERVERS].map(|()| Server::new(1, Life::Absent));
        for (server, centre) in servers.iter_mut().zip(centres) {
            *server = Server::new(centre, Life::Running);
        }
        servers[0].leads = true;
        let mut world = World {
            tick: 1,
            rule,
            changes,
            delays: Delays::default(),
            servers,
            network: Network::default(),
            directory: Directory::new(),
            platform: Platform::default(),
            vms: (0..fleet.vms).map(|vm| Vm::new(vm, 0, fleet.vms)).collect(),
            callers: fleet.callers,
            messages: Vec::new(),
            confirmed: 0,
            told: 0,
            forgiven: 0,
            commits: 0,
            max_commits: 0,
            orders: 0,
            late_orders: Vec::new(),
            late_commands: Vec::new(),
            flights: Vec::new(),
            disturbed: None,
            happened: [0; KINDS],
            notes: None,
        };
        // The coordinator takes the lease, and everything is known, before the first event.
        let waiting: Vec<usize> = (0..fleet.vms).filter(|vm| *vm != fleet.coordinator).collect();
        let leases = waiting.iter().map(|vm| world.vms[*vm].lease.clone());
        let leases: Vec<CoordinatorLease> = leases.collect();
        for tick in 0..TAKEOVER + WARM_UP {
            if tick == TAKEOVER {
                world.max_commits = MAX_COMMITS;
            }
            for (vm, lease) in waiting.iter().zip(&leases) {
                world.vms[*vm].lease = lease.clone();
            }
            world.step().expect("no rule is broken at the start");
        }
        world
    }

    /// Sets how long calls take from now on.
    pub(crate) fn with_delays(self, delays: Delays) -> Self {
        World { delays, ..self }
    }

    /// Takes one step of everything.
    pub(crate) fn step(&mut self) -> Result<(), Violation> {
        let tick = self.tick;
        self.finish_calls()?;
        self.replicate();
        let World { directory, servers, network, .. } = self;
        let reaches = |i| network.passes(servers, Node::Server(i), Node::Store);
        directory.refresh(servers, reaches, tick);
        self.deliver();
        for vm in (0..self.vms.len()).rev() {
            self.read_directory(vm);
            self.finish_orders(vm);
        }
        for vm in 0..self.vms.len() {
            self.hear(vm);
        }
        for vm in self.callers.clone() {
            self.answer_writes(vm);
            self.send_write(vm);
        }
        for vm in 0..self.vms.len() {
            self.watch(vm);
        }
        self.check()?;
        self.tick += 1;
        Ok(())
    }

    /// Ends leaving servers, and sends the log of the primary to the replicas.
    fn replicate(&mut self) {
        let tick = self.tick;
        for server in &mut self.servers {
            if server.runs() && server.leaving.is_some_and(|since| tick - since > DRAIN) {
                server.life = Life::Ended;
                server.leads = false;
            }
        }
        let Some(primary) = self.primary() else { return };
        let leader = self.servers[primary].clone();
        for i in 0..SERVERS {
            let server = &self.servers[i];
            let is_receiving = i != primary
                && server.runs()
                && server.fenced == 0
                && tick > server.lags_until
                && tick >= server.resumes
                && server.term <= leader.term;
            if !is_receiving || !self.passes(Node::Server(primary), Node::Server(i)) {
                continue;
            }
            self.servers[i].receive(&leader);
            if self.passes(Node::Server(i), Node::Server(primary)) {
                self.confirmed |= leader.log;
            }
        }
    }

    /// Returns the server that leads.
    pub(crate) fn primary(&self) -> Option<usize> {
        self.servers.iter().position(|server| server.leads && server.runs())
    }

    /// Checks that the server to promote has every commit that callers were told of. A commit
    /// that no server has any longer, because those that had it crashed, is forgiven.
    pub(crate) fn check_promotion(&mut self, target: usize) -> Result<(), Violation> {
        let missing = self.told & !self.servers[target].log;
        let holds = |server: &&Server| matches!(server.life, Life::Running | Life::Ended);
        let logs = self.servers.iter().filter(holds).map(|server| server.log);
        let kept = logs.fold(0, |kept, log| kept | log);
        self.forgiven |= missing & !kept;
        match missing & kept {
            0 => Ok(()),
            lost => Err(Violation::Lost(lost)),
        }
    }

    /// Checks that the primary has every commit that callers were told of.
    fn check(&self) -> Result<(), Violation> {
        let Some(primary) = self.primary() else { return Ok(()) };
        match self.told & !self.servers[primary].log & !self.forgiven {
            0 => Ok(()),
            lost => Err(Violation::Lost(lost)),
        }
    }

    /// Applies an event.
    pub(crate) fn apply(&mut self, event: Event) {
        let tick = self.tick;
        self.happened[event.kind()] += 1;
        self.note(|| event.to_string());
        match event {
            Event::Cut(direction) => self.network.cut = Some(direction),
            Event::Sever(vm, server) => self.network.severed = Some((vm, server)),
            Event::Part => self.network.is_apart = true,
            Event::Detach => self.network.is_detached = true,
            Event::Split => self.network.is_split = true,
            Event::Heal => {
                self.network = Network::default();
                let resumes = tick + self.delays.follow;
                self.servers.iter_mut().for_each(|server| server.resumes = resumes);
            }
            Event::Start(server, centre) => {
                self.servers[server] = Server { born: tick, ..Server::new(centre, Life::Running) };
            }
            Event::Crash(server) => {
                self.servers[server].life = Life::Crashed;
                self.servers[server].crashed = tick;
            }
            Event::Restart(server, keeps_log) => self.servers[server].restart(keeps_log, tick),
            Event::Drain(server) => self.servers[server].leaving = Some(tick),
            Event::Lag(server) => self.servers[server].lags_until = tick + LAG,
            Event::Slow(server, delay) => self.servers[server].slow = delay,
            Event::StoreDown => self.directory.is_up = false,
            Event::StoreUp => {
                self.directory.is_up = true;
                self.directory.delay = 0;
            }
            Event::StoreSlow(delay) => self.directory.delay = delay,
            Event::Disturb(call, fate) => self.disturbed = Some((call, fate)),
            Event::RestartDaemon(vm) => self.vms[vm] = Vm::new(vm, tick, self.vms.len()),
            Event::RestartAll => {
                let count = self.vms.len();
                self.vms = (0..count).map(|vm| Vm::new(vm, tick, count)).collect();
            }
        }
    }

    pub(crate) fn passes(&self, from: Node, to: Node) -> bool {
        self.network.passes(&self.servers, from, to)
    }

    pub(crate) fn answers(&self, from: Node, to: Node) -> bool {
        self.network.answers(&self.servers, from, to)
    }

    pub(crate) fn passes_vms(&self, from: usize, to: usize) -> bool {
        self.passes(Node::Vm(from), Node::Vm(to))
    }

    pub(crate) fn reaches_directory(&self, vm: usize) -> bool {
        self.directory.is_up && self.answers(Node::Vm(vm), Node::Store)
    }

    /// Records what happens, if that is wanted.
    pub(crate) fn note(&mut self, text: impl FnOnce() -> String) {
        let ms = self.tick * TICK_MS;
        if let Some(notes) = &mut self.notes {
            notes.push(format!("{:>2}.{} s: {}", ms / 1_000, ms / 100 % 10, text()));
        }
    }
}
