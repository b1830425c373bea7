"""Schedule multi-accelerator jobs while keeping organisations' guarantees.

``Client`` sends requests and jobs to a fleet. It is imported on first use, so that
``import firladder`` stays fast.
"""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from ._internal.client import Answer as Answer
    from ._internal.client import Client as Client

__version__ = "0.1.0"
__all__ = ["Answer", "Client", "__version__"]


def __getattr__(name: str) -> Any:
    """Import the client on first use."""
    if name in ("Answer", "Client"):
        from ._internal import client

        return getattr(client, name)
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
