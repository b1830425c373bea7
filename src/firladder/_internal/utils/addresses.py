"""Parse ``host:port`` addresses, in which the host is an IP address."""


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of ``address``."""
    host, _, port = address.rpartition(":")
    return host, int(port)
