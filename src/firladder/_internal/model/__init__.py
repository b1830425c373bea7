"""Specifications of the core protocol for the model checker."""

from . import gang_runs  # noqa: F401
