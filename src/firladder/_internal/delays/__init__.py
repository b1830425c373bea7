"""Attribute the time of a day's jobs to stages, from the logs of the nodes."""
