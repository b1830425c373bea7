"""Parse the command line, run one command and choose the exit code."""

import difflib
import os
import sys
from collections.abc import Sequence

from ..commands.registry import COMMANDS, Command, load_command
from ..exceptions import SettingError
from ..utils.settings import Setting, resolve_settings
from .exit_codes import EXIT_OK, EXIT_PIPE, EXIT_USAGE

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
    command = load_command(args[0])
    if command is None:
        matches = difflib.get_close_matches(args[0], COMMANDS, 1)
        hint = f"; did you mean {matches[0]}?" if matches else "; see firladder --help"
        sys.stderr.write(f"firladder: no command {args[0]!r}{hint}\n")
        return EXIT_USAGE
    if any(argument in HELP[:2] for argument in args[1:]):
        sys.stdout.write(format_help(command))
        return EXIT_OK
    try:
        if command.takes_any_flag:
            return command.run({}, args[1:])
        settings, rest = resolve_settings(
            command.settings, args[1:], cross_checks=command.cross_checks
        )
        return command.run(settings, rest)
    except SettingError as error:
        sys.stderr.write(f"firladder {command.name}: {error}\n")
        return EXIT_USAGE


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


def format_help(command: Command) -> str:
    """Return a command's purpose, usage, flags and examples."""
    purpose = (command.__doc__ or "").strip()
    usage = " ".join(filter(None, ["firladder", command.name, command.usage]))
    lines = [f"usage: {usage}", "", purpose, ""]
    lines += ["flags:", *map(_format_flag, command.settings), ""] * bool(
        command.settings
    )
    lines += ["examples:", *(f"  {e}" for e in command.examples)] * bool(
        command.examples
    )
    return "\n".join(lines).rstrip() + "\n"


def _format_flag(setting: Setting) -> str:
    if setting.default is None:
        note = "required"
    elif setting.default == "":
        note = "default: none"
    else:
        note = f"default: {setting.default}"
    return f"  --{setting.name:<18} {setting.help} ({note})"
