"""Parts that all daemons share: membership, configuration and life cycle."""
