//! The operators' command line of chicoryhollow.

fn main() {}
