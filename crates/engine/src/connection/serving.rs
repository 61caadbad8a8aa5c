//! Forwarded connections of other VMs, which this VM serves as a home.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use chicoryhollow_core::{AccountId, ServerId, waiting::Priority};
use chicoryhollow_peer::{
    Body,
    fleet::{LeaseAnswer, LeaseOpen, LeaseState},
};
use tokio::sync::mpsc::UnboundedReceiver;

use super::{
    END_GIVE_BACK, END_ROLL_BACK, ERROR_EXHAUSTED, ERROR_FULL, ERROR_UNREACHABLE, NO_ERROR,
    read_setup,
};
use crate::{
    clock,
    engine::Engine,
    fleet::Link,
    load::{HomeMeter, take_measured},
    pool::{ConnectionRequest, Pool, PoolError, PooledConnection},
    seam::{Directory, LinkError, ServerProtocol},
    statement::Command,
};

/// The VM that uses a forwarded connection, and what measures its use.
struct User<'a, S: ServerProtocol> {
    link: &'a Link,
    meter: Option<&'a HomeMeter<S>>,
}

impl<S: ServerProtocol> Clone for User<'_, S> {
    fn clone(&self) -> Self {
        *self
    }
}

impl<S: ServerProtocol> Copy for User<'_, S> {}

impl<S: ServerProtocol, D: Directory> Engine<S, D> {
    /// Serves a forwarded connection of another VM: takes a pooled connection of
    /// this VM and runs the commands in `messages`, which arrived over `link`.
    pub(crate) async fn serve_forwarded(
        self: Rc<Self>,
        link: Rc<Link>,
        open: LeaseOpen,
        mut messages: UnboundedReceiver<Body>,
    ) {
        let lease = open.lease;
        let asked = clock::now();
        let server = ServerId::new(&open.server).ok();
        let pool = server.and_then(|server| self.pool(&server));
        let meter = pool.as_ref().and_then(|pool| self.home_meter(pool));
        let report = || self.due_report(&link, meter.as_ref()?, asked);
        match self.take_requested(&open, pool, meter.as_ref()).await {
            Ok(mut pooled) => {
                let report = report();
                link.send(Body::LeaseState(LeaseState { lease, error: NO_ERROR, report }));
                let user = User { link: &link, meter: meter.as_ref() };
                while let Some(message) = messages.recv().await {
                    match self.execute_message(user, pooled, message, &mut messages).await {
                        Some(kept) => pooled = kept,
                        None => break,
                    }
                }
            }
            Err(error) => {
                let error = match error {
                    PoolError::Exhausted => ERROR_EXHAUSTED,
                    PoolError::Full => ERROR_FULL,
                    PoolError::Connect(_) => ERROR_UNREACHABLE,
                };
                let report = report();
                link.send(Body::LeaseState(LeaseState { lease, error, report }));
            }
        }
        link.remove_served(lease);
    }

    async fn take_requested(
        &self,
        open: &LeaseOpen,
        pool: Option<Rc<Pool<S>>>,
        meter: Option<&HomeMeter<S>>,
    ) -> Result<PooledConnection<S>, PoolError> {
        let unknown = || PoolError::Connect(LinkError::WrongServer);
        let account = AccountId::new(&open.account).map_err(|_| unknown())?;
        let pool = pool.ok_or_else(unknown)?;
        let request = ConnectionRequest {
            account: &account,
            priority: Priority::new(u8::try_from(open.priority).unwrap_or(u8::MAX)),
            patience: Duration::from_millis(open.patience_ms.into()),
        };
        let mut pooled = take_measured(&pool, meter, request).await?;
        if let Some((values, statement)) = open.setup.as_ref().map(read_setup) {
            pooled.prepare(&values, statement.as_ref()).await.map_err(PoolError::Connect)?;
        }
        Ok(pooled)
    }

    /// Executes one message of the other VM; returns the pooled connection unless
    /// the message ends its use.
    async fn execute_message(
        &self,
        user: User<'_, S>,
        mut pooled: PooledConnection<S>,
        message: Body,
        messages: &mut UnboundedReceiver<Body>,
    ) -> Option<PooledConnection<S>> {
        match message {
            Body::LeaseCommand(command) => {
                let lease = command.lease;
                let parsed = serde_json::from_slice::<Command>(&command.command).ok()?;
                let asked = clock::now();
                let run = async {
                    match user.meter {
                        Some(meter) => meter.run(&mut pooled, parsed).await,
                        None => pooled.run(parsed).await,
                    }
                };
                let answer = tokio::select! {
                    answer = run => answer,
                    // A message before the answer means that the other VM ends the
                    // connection, because it no longer waits for the answer.
                    _ = messages.recv() => return None,
                };
                let json = answer.ok().and_then(|answer| serde_json::to_vec(&answer).ok());
                let lost = json.is_none();
                let report = user.meter.and_then(|meter| self.due_report(user.link, meter, asked));
                let answer = LeaseAnswer { lease, answer: json.map(Bytes::from), report };
                user.link.send(Body::LeaseAnswer(answer));
                (!lost).then_some(pooled)
            }
            Body::LeasePrepare(prepare) => {
                let (values, statement) = read_setup(&prepare.setup?);
                let prepared = pooled.prepare(&values, statement.as_ref()).await;
                let error = if prepared.is_ok() { NO_ERROR } else { ERROR_UNREACHABLE };
                let state = LeaseState { lease: prepare.lease, error, report: None };
                user.link.send(Body::LeaseState(state));
                prepared.ok().map(|()| pooled)
            }
            Body::LeaseEnd(end) => {
                match end.how {
                    END_GIVE_BACK => pooled.give_back(),
                    END_ROLL_BACK => pooled.roll_back().await,
                    _ => drop(pooled),
                }
                None
            }
            _ => None,
        }
    }
}
