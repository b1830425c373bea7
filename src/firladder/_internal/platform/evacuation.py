"""Decode the operators' requests to keep new work out of a failure domain."""

EVACUATION_PREFIX = "op/evacuate/"


def decode_evacuated_domain(key: str) -> str:
    """Return the failure domain that a request is for.

    The request stands until its key is removed; its value says nothing.
    """
    return key.removeprefix(EVACUATION_PREFIX)
