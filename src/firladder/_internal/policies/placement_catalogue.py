"""All placement policies; importing this fills the registry."""

from . import ladder
from .placement import PLACEMENTS

__all__ = ["PLACEMENTS", "ladder"]
