/*!
Clients that put a deployment under load.
*/

pub mod client;
