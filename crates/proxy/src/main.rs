//! The chicoryhollow daemon.

fn main() {}
