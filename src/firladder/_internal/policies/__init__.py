"""Decisions as pure functions: no I/O, clock or random source of their own."""
