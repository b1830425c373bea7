"""Clients of the systems that a small installation runs: etcd, targets and workers."""
