"""Simulations that compare policies and planners under seeded loads."""
