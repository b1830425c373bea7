"""Shared parts of the third review's scripts."""
