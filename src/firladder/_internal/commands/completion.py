"""Print a shell script that completes commands and flags."""

import sys
from collections.abc import Mapping, Sequence

from ..cli.exit_codes import EXIT_OK, EXIT_USAGE
from ..cli.output import write_failure
from ..utils.settings import ResolvedSetting
from .registry import COMMANDS, Command, load_command

TEMPLATE = """\
_firladder() {{
    local word="${{COMP_WORDS[COMP_CWORD]}}" words=""
    if [ "$COMP_CWORD" -eq 1 ]; then
        words="{commands}"
    else
        case "${{COMP_WORDS[1]}}" in
{cases}
        esac
    fi
    COMPREPLY=($(compgen -W "$words" -- "$word"))
    [ "${{#COMPREPLY[@]}}" -gt 0 ] || COMPREPLY=($(compgen -f -- "$word"))
}}
complete -o nospace -F _firladder firladder
"""


class CompletionCommand(Command):
    """Print a completion script."""

    name = "completion"
    usage = "bash"
    examples = ('eval "$(firladder completion bash)"',)

    def run(
        self, settings: Mapping[str, ResolvedSetting], arguments: Sequence[str]
    ) -> int:
        """Print the script for the shell named."""
        if list(arguments) != ["bash"]:
            return write_failure(self.name, "only bash is known", EXIT_USAGE)
        cases = "\n".join(map(_format_case, COMMANDS))
        text = TEMPLATE.format(commands=" ".join(COMMANDS), cases=cases)
        sys.stdout.write(text)
        return EXIT_OK


def _format_case(name: str) -> str:
    command = load_command(name)
    flags = [f"--{s.name}" for s in command.settings] if command else []
    return f'            {name}) words="{" ".join(["--help", *flags])}" ;;'
