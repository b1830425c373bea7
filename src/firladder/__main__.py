"""Run the command line as ``python -m firladder``."""

import sys

from ._internal.cli.main import main

if __name__ == "__main__":
    sys.exit(main())
