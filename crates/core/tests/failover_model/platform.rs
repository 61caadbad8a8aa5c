//! The platform, which carries out orders to promote, some of them late.

use chicoryhollow_core::coordinator::FencingToken;

use super::{SERVERS, server::Server, ticks};

/// Time between a promotion order and its effect.
pub(crate) const EFFECT_TIME: u32 = ticks(600);

/// An order to promote a server.
#[derive(Clone, Debug)]
pub(crate) struct Order {
    pub(crate) server: usize,
    pub(crate) token: FencingToken,
    /// Rank among all orders of the model.
    pub(crate) rank: u32,
}

/// What the platform answers to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Answer {
    Accepted,
    Refused,
}

/// Orders and their effects.
#[derive(Clone, Debug, Default)]
pub(crate) struct Platform {
    newest: FencingToken,
    /// Accepted orders and when they take effect.
    pending: Vec<(u32, Order)>,
    last_effect: u32,
}

impl Platform {
    /// Receives an order.
    pub(crate) fn accept(
        &mut self,
        order: Order,
        servers: &[Server; SERVERS],
        tick: u32,
    ) -> Answer {
        if order.token < self.newest || !servers[order.server].runs() {
            return Answer::Refused;
        }
        self.newest = order.token;
        if !servers[order.server].leads {
            self.pending.push((tick + EFFECT_TIME, order));
        }
        Answer::Accepted
    }

    /// Returns the orders that take effect now.
    pub(crate) fn due(&mut self, tick: u32) -> Vec<Order> {
        let (due, later) = std::mem::take(&mut self.pending).into_iter().partition(|o| o.0 <= tick);
        self.pending = later;
        let due: Vec<(u32, Order)> = due;
        due.into_iter().map(|(_, order)| order).collect()
    }

    /// Makes the server of an order the primary of the next term, and lifts all fences. The others
    /// hear of the term only when they receive from it, at `resumes` or later. Returns whether a
    /// newer order took effect before.
    pub(crate) fn promote(
        &mut self,
        order: &Order,
        servers: &mut [Server; SERVERS],
        resumes: u32,
    ) -> bool {
        let is_replaced = order.rank < self.last_effect;
        self.last_effect = self.last_effect.max(order.rank);
        let term = servers.iter().map(|server| server.term).max().unwrap_or_default() + 1;
        for server in servers.iter_mut() {
            server.leads = false;
            server.fenced = 0;
            server.resumes = resumes;
        }
        servers[order.server].leads = true;
        servers[order.server].term = term;
        is_replaced
    }
}
