"""Read the JSON documents named on the command line."""

import json
import sys
from pathlib import Path
from typing import Any

from ..exceptions import SettingError


def read_json(name: str) -> Any:
    """Return the document in a file, or from standard input for ``-``."""
    try:
        text = sys.stdin.read() if name == "-" else Path(name).read_text()
        return json.loads(text)
    except (OSError, ValueError) as error:
        raise SettingError(setting=name, reason=f"cannot be read: {error}") from None
