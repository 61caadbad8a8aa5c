//! Backend servers with asynchronous replication.

use chicoryhollow_core::{Lsn, Position, Term, failover::ReplicationStatus};

use super::event::Call;

/// A set of commits, one bit each.
pub(crate) type Commits = u128;

/// Whether a server runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Life {
    /// It has not started yet.
    Absent,
    Running,
    /// It may start again.
    Crashed,
    /// It left as planned.
    Ended,
}

/// A backend server.
#[derive(Clone, Debug)]
pub(crate) struct Server {
    /// Data centre, 0 or 1.
    pub(crate) centre: usize,
    pub(crate) life: Life,
    pub(crate) leads: bool,
    pub(crate) term: u64,
    pub(crate) log: Commits,
    pub(crate) received: u64,
    /// Term of the fence, or 0.
    pub(crate) fenced: u64,
    /// Until when it receives late.
    pub(crate) lags_until: u32,
    /// Since when it has been leaving.
    pub(crate) leaving: Option<u32>,
    /// When it last started.
    pub(crate) born: u32,
    /// When it last crashed.
    pub(crate) crashed: u32,
    /// From when on it receives from the present primary.
    pub(crate) resumes: u32,
    /// Ticks that its answers take longer than those of others.
    pub(crate) slow: u32,
}

impl Server {
    pub(crate) fn new(centre: usize, life: Life) -> Self {
        Server {
            centre,
            life,
            leads: false,
            term: 1,
            log: 0,
            received: 0,
            fenced: 0,
            lags_until: 0,
            leaving: None,
            born: 0,
            crashed: 0,
            resumes: 0,
            slow: 0,
        }
    }

    pub(crate) fn runs(&self) -> bool {
        self.life == Life::Running
    }

    pub(crate) fn position(&self) -> Position {
        Position::new(Term::new(self.term), Lsn::new(self.received))
    }

    pub(crate) fn status(&self) -> ReplicationStatus {
        ReplicationStatus {
            primary: self.leads,
            term: Term::new(self.term),
            received: self.position(),
            fenced_term: Term::new(self.fenced),
        }
    }

    /// Appends a commit at the primary.
    pub(crate) fn append(&mut self, commit: u8) -> Position {
        self.log |= 1 << commit;
        self.received += 1;
        self.position()
    }

    /// Receives the whole log of the primary.
    pub(crate) fn receive(&mut self, primary: &Server) {
        self.log = primary.log;
        self.received = primary.received;
        self.term = primary.term;
    }

    /// Starts again, with the log or without.
    pub(crate) fn restart(&mut self, keeps_log: bool, tick: u32) {
        self.life = Life::Running;
        self.fenced = 0;
        self.born = tick;
        if !keeps_log {
            *self = Server { born: tick, ..Server::new(self.centre, Life::Running) };
        }
    }
}

/// A command to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Command {
    Status,
    Fence(u64),
    Release,
    Demote(u64),
}

impl Command {
    /// Returns the kind of call, or `None` if the command changes nothing.
    pub(crate) fn kind(self) -> Option<Call> {
        match self {
            Command::Fence(_) => Some(Call::Fence),
            Command::Release => Some(Call::Release),
            Command::Demote(_) => Some(Call::Demote),
            Command::Status => None,
        }
    }

    /// Changes the server as the command says.
    pub(crate) fn carry_out(self, server: &mut Server) {
        match self {
            Command::Fence(term) if !server.leads && term > server.term => server.fenced = term,
            Command::Release => server.fenced = 0,
            Command::Demote(term) if server.term < term => server.leads = false,
            _ => {}
        }
    }
}
