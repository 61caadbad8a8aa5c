//! The extended query protocol: prepared statements and portals.

use std::{collections::VecDeque, sync::Arc};

use futures_util::SinkExt;
use pgwire::{
    error::PgWireError,
    messages::{
        PgWireBackendMessage as Out, PgWireFrontendMessage as In,
        data::{DataRow, NoData, ParameterDescription},
        extendedquery::{
            Bind, BindComplete, Close, CloseComplete, Describe, Execute, Parse, ParseComplete,
            PortalSuspended, TARGET_TYPE_BYTE_STATEMENT,
        },
        response::{CommandComplete, EmptyQueryResponse},
    },
};

use crate::backend::{
    datum::{Datum, oid},
    engine::{Column, format_of},
    error::SqlError,
    session::{Session, describe},
    statement::{Kind, Statement, single},
};

/// A prepared statement with the types of its parameters and its columns.
#[derive(Debug)]
pub(crate) struct Prepared {
    statement: Statement,
    types: Vec<u32>,
    columns: Arc<[Column]>,
}

/// A prepared statement bound to parameters.
#[derive(Debug)]
pub(crate) struct Portal {
    prepared: Arc<Prepared>,
    params: Vec<Datum>,
    formats: Vec<i16>,
    /// Rows that earlier executions did not return yet, and the command tag.
    remaining: Option<(VecDeque<DataRow>, String)>,
}

impl Session {
    /// Answers one message of the extended query protocol.
    pub(crate) async fn extended_message(&mut self, message: In) -> Result<(), PgWireError> {
        if let In::Sync(_) = message {
            self.skipping = false;
            self.portals.clear();
            return self.send_ready().await;
        }
        if self.skipping {
            return Ok(());
        }
        let result = match message {
            In::Parse(parse) => self.parse(parse),
            In::Bind(bind) => self.bind(bind),
            In::Describe(target) => self.describe_target(&target),
            In::Execute(execute) => return self.execute_portal(execute).await,
            In::Close(close) => Ok(self.close(&close)),
            In::Flush(_) => return self.framed.flush().await,
            _ => Err(SqlError::new("08P01", "unexpected message")),
        };
        match result {
            Ok(answers) => {
                for answer in answers {
                    self.framed.feed(answer).await?;
                }
                Ok(())
            }
            Err(error) => self.fail_until_sync(&error).await,
        }
    }

    async fn fail_until_sync(&mut self, error: &SqlError) -> Result<(), PgWireError> {
        self.skipping = true;
        self.send_error(error).await
    }

    fn parse(&mut self, parse: Parse) -> Result<Vec<Out>, SqlError> {
        let several = || SqlError::new("42601", "cannot prepare several statements as one");
        let statement = single(&parse.query).ok_or_else(several)?;
        let columns = match statement.kind {
            Kind::Sql => self.node.with(|core| core.engine.columns(&statement.sql))?,
            _ => Arc::from([]),
        };
        let types = self.parameter_types(&statement, &parse.type_oids);
        let prepared = Arc::new(Prepared { statement, types, columns });
        self.statements.insert(parse.name.unwrap_or_default(), prepared);
        Ok(vec![Out::ParseComplete(ParseComplete::new())])
    }

    fn parameter_types(&self, statement: &Statement, given: &[u32]) -> Vec<u32> {
        let count = statement.types.len().max(given.len());
        let type_of = |index: usize| {
            let known = [given.get(index), statement.types.get(index)];
            let known = known.into_iter().flatten().find(|type_id| **type_id != oid::UNKNOWN);
            let column = || statement.columns.get(index)?.as_deref();
            let from_column =
                || column().and_then(|name| self.node.with(|core| core.engine.column_type(name)));
            known.copied().or_else(from_column).unwrap_or(oid::TEXT)
        };
        (0..count).map(type_of).collect()
    }

    fn bind(&mut self, bind: Bind) -> Result<Vec<Out>, SqlError> {
        let prepared = self.prepared(bind.statement_name.as_deref())?;
        if bind.parameters.len() != prepared.types.len() {
            return Err(SqlError::new("08P01", "wrong number of parameters"));
        }
        let decode = |(i, value): (usize, &Option<bytes::Bytes>)| match value {
            None => Ok(Datum::Null),
            Some(bytes) => {
                let format = format_of(&bind.parameter_format_codes, i);
                Datum::decode(bytes, prepared.types[i], format)
            }
        };
        let params = bind.parameters.iter().enumerate().map(decode).collect::<Result<_, _>>()?;
        let formats = bind.result_column_format_codes;
        let portal = Portal { prepared, params, formats, remaining: None };
        self.portals.insert(bind.portal_name.unwrap_or_default(), portal);
        Ok(vec![Out::BindComplete(BindComplete::new())])
    }

    fn prepared(&self, name: Option<&str>) -> Result<Arc<Prepared>, SqlError> {
        let found = self.statements.get(name.unwrap_or_default()).cloned();
        found.ok_or_else(|| SqlError::new("26000", "prepared statement does not exist"))
    }

    fn describe_target(&mut self, target: &Describe) -> Result<Vec<Out>, SqlError> {
        let name = target.name.as_deref();
        if target.target_type == TARGET_TYPE_BYTE_STATEMENT {
            let prepared = self.prepared(name)?;
            let parameters = ParameterDescription::new(prepared.types.clone());
            return Ok(vec![
                Out::ParameterDescription(parameters),
                describe_columns(&prepared.columns, &[]),
            ]);
        }
        let portal = self.portals.get(name.unwrap_or_default()).ok_or_else(no_portal)?;
        Ok(vec![describe_columns(&portal.prepared.columns, &portal.formats)])
    }

    async fn execute_portal(&mut self, execute: Execute) -> Result<(), PgWireError> {
        let name = execute.name.unwrap_or_default();
        let Some(mut portal) = self.portals.remove(&name) else {
            return self.fail_until_sync(&no_portal()).await;
        };
        if let Kind::Empty = portal.prepared.statement.kind {
            return self.framed.feed(Out::EmptyQueryResponse(EmptyQueryResponse::new())).await;
        }
        let (mut rows, tag) = match portal.remaining.take() {
            Some(remaining) => remaining,
            None => match self.run_portal(&portal).await {
                Ok(result) => result,
                Err(error) => return self.fail_until_sync(&error).await,
            },
        };
        let limit = usize::try_from(execute.max_rows).ok().filter(|rows| *rows > 0);
        let passed = limit.unwrap_or(rows.len()).min(rows.len());
        for row in rows.drain(..passed) {
            self.framed.feed(Out::DataRow(row)).await?;
        }
        if rows.is_empty() {
            return self.framed.feed(Out::CommandComplete(CommandComplete::new(tag))).await;
        }
        portal.remaining = Some((rows, tag));
        self.portals.insert(name, portal);
        self.framed.feed(Out::PortalSuspended(PortalSuspended::new())).await
    }

    async fn run_portal(
        &mut self,
        portal: &Portal,
    ) -> Result<(VecDeque<DataRow>, String), SqlError> {
        self.record_start();
        let statement = &portal.prepared.statement;
        let outcome = self.executor.execute(statement, &portal.params, &portal.formats).await?;
        Ok((outcome.answer.rows.into(), outcome.tag))
    }

    fn close(&mut self, close: &Close) -> Vec<Out> {
        let name = close.name.as_deref().unwrap_or_default();
        if close.target_type == TARGET_TYPE_BYTE_STATEMENT {
            self.statements.remove(name);
        } else {
            self.portals.remove(name);
        }
        vec![Out::CloseComplete(CloseComplete::new())]
    }
}

fn no_portal() -> SqlError {
    SqlError::new("34000", "portal does not exist")
}

fn describe_columns(columns: &[Column], formats: &[i16]) -> Out {
    if columns.is_empty() {
        return Out::NoData(NoData::new());
    }
    Out::RowDescription(describe(columns, formats))
}
