"""All placement policies; importing this fills the registry."""

from . import placement_policies
from .placement import PLACEMENTS

__all__ = ["PLACEMENTS", "placement_policies"]
