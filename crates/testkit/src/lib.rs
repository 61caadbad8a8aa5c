//! Stand-ins of the systems that the proxy meets, for tests, demonstrations and measurements.
