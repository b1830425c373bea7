"""Stand-ins for the systems around firladder, for tests, demos and measurements."""
