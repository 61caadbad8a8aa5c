/*!
The operators' command line of chicoryhollow, `chicoryctl`, as a library.

# Guided tour

* [`args`] parses the command line into a [`Command`](args::Command).
* [`commands`] has one module for each command. The commands work on any
  [`Platform`](chicoryhollow_store::Platform), so that tests can run them on a
  platform in memory.
* [`publish`] executes the steps that publish a configuration, and [`request`]
  sends single read requests to the platform and retries them.
* [`base`] stores in a directory which version its files were published as.
* [`output`] prints the result of a command as text or JSON and defines the exit
  codes.
*/

pub mod args;
pub mod base;
pub mod commands;
pub mod output;
pub mod publish;
pub mod request;
