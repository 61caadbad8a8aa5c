/*!
Enforces the rate and burst of a client account over all VMs together.

The account's token bucket is split into *parts*, one for each data centre. One
VM of the data centre, the *keeper*, owns the part and leases *slices* of it to
the VMs that serve the account. A slice is a share of the rate and a share of
the burst. The sum of all slices and of all tokens never exceeds the whole
bucket. Therefore no window of time admits more than rate × time + burst, even
when messages are lost and VMs fail.

* [`mod@slice`] expresses shares of rate and burst in millionths,
* [`bucket`] is a token bucket whose slice changes over time,
* [`demand`] measures the request rate of callers,
* [`lease`] holds the messages between borrower and keeper, and the borrower's
  state of a leased slice,
* [`holder`] admits requests on one VM,
* [`keeper`] leases out the part of one data centre,
* [`record`] stores which VM keeps which part.
*/

pub mod bucket;
pub mod demand;
pub mod holder;
pub mod keeper;
pub mod lease;
pub mod record;
pub mod slice;

pub use self::{
    bucket::Quota,
    holder::{Admission, Holder},
    keeper::Keeper,
    lease::{Grant, SliceRequest},
    record::{KeeperId, SlotRecord},
    slice::{Ppm, Slice},
};
