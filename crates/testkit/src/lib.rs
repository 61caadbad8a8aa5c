/*!
Stand-ins of the systems that the proxy meets, for tests, demonstrations and
measurements.

# Guided tour

* [`backend`] is a backend server: PostgreSQL wire protocol over in-memory
  SQLite, with log shipping, fencing and promotion.
*/

pub mod backend;
