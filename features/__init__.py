"""Scenarios, and what they share."""
