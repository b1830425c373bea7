"""Run the command line from a checkout, without installing the package."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))
sys.dont_write_bytecode = True

from firladder._internal.cli.main import main  # noqa: E402

sys.exit(main())
