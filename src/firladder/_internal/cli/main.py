"""Parse the command line, run one command and choose the exit code."""

import os
import sys
from collections.abc import Sequence

from ..commands.registry import COMMANDS
from .exit_codes import EXIT_OK, EXIT_PIPE

HELP = ("-h", "--help", "help")


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command named by the first argument and return its exit code."""
    args = list(sys.argv[1:] if arguments is None else arguments)
    try:
        code = _run(args)
        sys.stdout.flush()
        return code
    except BrokenPipeError:
        # ``firladder jobs | head`` closes the pipe early, which is no error. At
        # exit Python flushes again, so standard output must be replaced.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return EXIT_PIPE
    except KeyboardInterrupt:
        return 130


def _run(args: list[str]) -> int:
    if not args or args[0] in HELP:
        sys.stdout.write(format_overview())
        return EXIT_OK
    # The libraries that commands need take most of the time of a start.
    from .invocation import run_command

    return run_command(args)


def format_overview() -> str:
    """Return the usage text with all commands."""
    width = max(map(len, COMMANDS))
    lines = [f"  {name:<{width}}  {info.summary}" for name, info in COMMANDS.items()]
    return (
        "usage: firladder COMMAND [--flag=value ...]\n\n"
        + "\n".join(lines)
        + "\n\nfirladder COMMAND --help shows its flags and examples. Each flag is "
        "also a\nvariable: --gateway is FIRLADDER_GATEWAY.\n"
    )
