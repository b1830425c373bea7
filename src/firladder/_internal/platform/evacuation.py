"""Decode the operators' requests to evacuate a failure domain."""

EVACUATION_PREFIX = "op/evacuate/"


def decode_evacuated_domain(key: str) -> str:
    """Return the failure domain that an evacuation request names.

    The request applies until its key is removed; its value is ignored. No new work
    is placed in an evacuated failure domain.
    """
    return key.removeprefix(EVACUATION_PREFIX)
