//! Types that nearly every module of the workspace uses, for glob imports.

pub use crate::{
    id::{AccountId, DataCentreId, GroupId, Incarnation, KeyName, RouteName, ServerId, VmId},
    position::{Lsn, Position, Term},
    refusal::{Outcome, Refusal},
    session::SessionToken,
    time::Time,
    view::GroupView,
};
