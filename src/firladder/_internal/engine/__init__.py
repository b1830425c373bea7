"""The scheduling core: a state machine without sockets, clocks or randomness."""
