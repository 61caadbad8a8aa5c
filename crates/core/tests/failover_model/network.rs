//! Paths between nodes, and cuts of them.

use super::{CENTRES, FIRST_SERVERS, server::Server};

/// An end of a path.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Node {
    Vm(usize),
    Server(usize),
    /// The directory, which is in data centre 1.
    Store,
}

/// Direction in which the cut of data centre 0 lets nothing pass.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Direction {
    Both,
    Outward,
    Inward,
}

/// The cuts at present.
#[derive(Clone, Debug, Default)]
pub(crate) struct Network {
    pub(crate) cut: Option<Direction>,
    /// A VM that does not reach one server.
    pub(crate) severed: Option<(usize, usize)>,
    /// Whether the first servers do not reach each other.
    pub(crate) is_apart: bool,
    /// Whether the first primary and the other servers do not reach each other.
    pub(crate) is_detached: bool,
    /// Whether the near side of a split does not reach the rest.
    pub(crate) is_split: bool,
}

impl Network {
    /// Returns whether a message passes.
    pub(crate) fn passes(&self, servers: &[Server], from: Node, to: Node) -> bool {
        let is_severed = self.severed.is_some_and(|(vm, server)| {
            let ends = [Node::Vm(vm), Node::Server(server)];
            ends.contains(&from) && ends.contains(&to)
        });
        let is_cut = match (centre(servers, from), centre(servers, to)) {
            (0, 1) => matches!(self.cut, Some(Direction::Both | Direction::Outward)),
            (1, 0) => matches!(self.cut, Some(Direction::Both | Direction::Inward)),
            _ => false,
        };
        let is_first = |node| server(node).is_some_and(|server| server < FIRST_SERVERS);
        let is_apart = self.is_apart && is_first(from) && is_first(to);
        let ends = (server(from), server(to));
        let is_detached =
            self.is_detached && matches!(ends, (Some(0), Some(_)) | (Some(_), Some(0)));
        let is_split = self.is_split && is_near(from) != is_near(to);
        !is_severed && !is_cut && !is_apart && !is_detached && !is_split
    }

    /// Returns whether nothing is cut.
    pub(crate) fn is_whole(&self) -> bool {
        let is_parted = self.is_apart || self.is_detached || self.is_split;
        self.cut.is_none() && self.severed.is_none() && !is_parted
    }

    /// Returns whether a request passes, and its answer too.
    pub(crate) fn answers(&self, servers: &[Server], from: Node, to: Node) -> bool {
        self.passes(servers, from, to) && self.passes(servers, to, from)
    }
}

/// Returns whether a node is on the first primary's side of a split: a VM of each data centre,
/// and the servers that start later.
fn is_near(node: Node) -> bool {
    match node {
        Node::Vm(vm) => vm < CENTRES,
        Node::Server(server) => server == 0 || server >= FIRST_SERVERS,
        Node::Store => false,
    }
}

fn server(node: Node) -> Option<usize> {
    match node {
        Node::Server(server) => Some(server),
        Node::Vm(_) | Node::Store => None,
    }
}

fn centre(servers: &[Server], node: Node) -> usize {
    match node {
        Node::Vm(vm) => vm % CENTRES,
        Node::Server(server) => servers[server].centre,
        Node::Store => 1,
    }
}
