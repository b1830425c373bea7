"""Run one command with its settings, or print its help."""

import difflib
import sys
from collections.abc import Sequence

from ..commands.registry import COMMANDS, Command, load_command
from ..exceptions import SettingError
from ..utils.settings import Setting, resolve_settings
from .exit_codes import EXIT_OK, EXIT_USAGE

HELP_FLAGS = ("-h", "--help")


def run_command(args: Sequence[str]) -> int:
    """Run the command named by the first argument and return its exit code."""
    command = load_command(args[0])
    if command is None:
        matches = difflib.get_close_matches(args[0], COMMANDS, 1)
        hint = f"; did you mean {matches[0]}?" if matches else "; see firladder --help"
        sys.stderr.write(f"firladder: no command {args[0]!r}{hint}\n")
        return EXIT_USAGE
    if any(argument in HELP_FLAGS for argument in args[1:]):
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
