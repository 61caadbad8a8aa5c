/*!
Rate and burst of a client account over all VMs together.

The account's bucket is split into *parts*, one for each data centre, and a
part into *slices*, one for each VM that serves the account. A slice is a share
of the rate and a share of the burst. The sum of all slices and of all tokens
never exceeds the whole, so that no window of time admits more than rate × time
+ burst, whatever messages are lost and whichever VMs fail.

* [`slice`] measures shares in millionths,
* [`bucket`] is a token bucket over a slice that changes,
* [`demand`] measures what callers ask for,
* [`lease`] is a slice on loan, as the borrower sees it,
* [`holder`] admits requests on one VM,
* [`keeper`] lends the part of one data centre,
* [`record`] says which VM keeps which part.
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
