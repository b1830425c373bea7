"""Clients of the systems that a small site runs: etcd, targets and workers."""
