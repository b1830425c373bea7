"""Helpers that any layer may use."""
