"""Run the command line from a checkout, without installing the package."""

import signal

# Told to reload while it still starts, a process would end without a word: that is
# what the signal does until somebody handles it. The settings are about to be read.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import sys  # noqa: E402
from pathlib import Path  # noqa: E402

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))
sys.dont_write_bytecode = True

from firladder._internal.cli.main import main  # noqa: E402

sys.exit(main())
