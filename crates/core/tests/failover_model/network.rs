//! Paths between nodes, and cuts of them.

use super::{VMS, server::Server};

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
        !is_severed && !is_cut
    }

    /// Returns whether a request passes, and its answer too.
    pub(crate) fn answers(&self, servers: &[Server], from: Node, to: Node) -> bool {
        self.passes(servers, from, to) && self.passes(servers, to, from)
    }
}

fn centre(servers: &[Server], node: Node) -> usize {
    match node {
        Node::Vm(vm) => vm % VMS,
        Node::Server(server) => servers[server].centre,
        Node::Store => 1,
    }
}
