"""Write replies and failures as text or JSON."""

import json
import sys
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

from ..exceptions import NotSent, SentUnanswered
from ..utils.settings import ResolvedSetting
from .calls import Reply
from .exit_codes import EXIT_OK, EXIT_REFUSED, EXIT_UNKNOWN, EXIT_UNREACHABLE

WRITES = ("POST", "DELETE")


def write_answer(
    command: str,
    settings: Mapping[str, ResolvedSetting],
    reply: Reply | NotSent | SentUnanswered,
    format_body: Callable[[Any], str],
    *,
    read_only: bool = False,
) -> int:
    """Print a reply and return its exit code; failures go to standard error."""
    if isinstance(reply, NotSent):
        return write_failure(command, reply.reason, EXIT_UNREACHABLE)
    if isinstance(reply, SentUnanswered):
        code = EXIT_UNREACHABLE if read_only else EXIT_UNKNOWN
        return write_failure(command, f"no answer: {reply.reason}", code)
    if reply.status >= 400:
        return write_refusal(command, reply.body)
    if settings["format"].value == "json":
        sys.stdout.write(json.dumps(reply.body) + "\n")
    else:
        sys.stdout.write(format_body(reply.body))
    return EXIT_OK


def write_failure(command: str, reason: str, code: int) -> int:
    """Print why a command failed, and return ``code``."""
    sys.stderr.write(f"firladder {command}: {reason}\n")
    return code


def write_refusal(command: str, body: Any) -> int:
    """Print a typed rejection and return its exit code."""
    if not isinstance(body, dict):
        return write_failure(command, f"unreadable refusal: {body!r}", EXIT_REFUSED)
    field = f" ({body['field']})" if body.get("field") else ""
    text = f"{body.get('type', 'refused')}{field}: {body.get('reason', '')}"
    if body.get("retry_after_s"):
        text += f"; try again in {body['retry_after_s']:g} s"
    uncertain = body.get("type") in ("store_uncertain", "sent_unanswered")
    return write_failure(command, text, EXIT_UNKNOWN if uncertain else EXIT_REFUSED)


def format_rows(header: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Return the rows in aligned columns, for people and for tools like ``awk``."""
    table = [list(map(str, row)) for row in (header, *rows)]
    widths = [max(map(len, column)) for column in zip(*table, strict=True)]
    lines = (
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in table
    )
    return "".join(line.rstrip() + "\n" for line in lines)
