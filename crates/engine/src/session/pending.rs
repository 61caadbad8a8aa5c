//! Requests that were read whole and are not answered yet.

use std::{ops::Deref, rc::Rc};

use chicoryhollow_core::unanswered::Unanswered;
use slog::o;

use crate::{
    engine::Engine,
    log::Event,
    seam::{Directory, LinkError, ServerProtocol},
    statement::Request,
};

/// A request that is not answered yet. It is counted as unanswered when it is dropped
/// before its answer was sent.
pub(super) struct PendingRequest<S: ServerProtocol, D: Directory> {
    engine: Rc<Engine<S, D>>,
    request: Request,
    is_settled: bool,
}

impl<S: ServerProtocol, D: Directory> PendingRequest<S, D> {
    /// Creates a request that was just read.
    pub(super) fn new(engine: &Rc<Engine<S, D>>, request: Request) -> Self {
        PendingRequest { engine: Rc::clone(engine), request, is_settled: false }
    }

    /// Records whether the answer was sent.
    pub(super) fn settle(&mut self, sent: Result<(), LinkError>) -> Result<(), LinkError> {
        match sent {
            Ok(()) => self.is_settled = true,
            Err(_) => self.give_up(Unanswered::AnswerFailed),
        }
        sent
    }

    /// Records that the request gets no answer.
    pub(super) fn give_up(&mut self, reason: Unanswered) {
        if std::mem::replace(&mut self.is_settled, true) {
            return;
        }
        self.engine.metrics.unanswered.with_label_values(&[reason.label()]).inc();
        self.engine.event_log.record(
            Event::Unanswered,
            o!("request" => self.request.id.clone(), "reason" => reason.label()),
        );
    }
}

impl<S: ServerProtocol, D: Directory> Deref for PendingRequest<S, D> {
    type Target = Request;

    fn deref(&self) -> &Request {
        &self.request
    }
}

impl<S: ServerProtocol, D: Directory> Drop for PendingRequest<S, D> {
    fn drop(&mut self) {
        let reason = match std::thread::panicking() {
            true => Unanswered::Panicked,
            false => Unanswered::ProcessEnded,
        };
        self.give_up(reason);
    }
}
