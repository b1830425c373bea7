"""Clients of a small site's outside systems, one narrow interface each."""
