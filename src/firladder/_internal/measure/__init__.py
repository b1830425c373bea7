"""Marginal costs of workers, tasks and teams, and the capacity they give."""
