"""Check the specification of the core protocol, and show counterexamples."""

import sys
from collections.abc import Mapping, Sequence

from ..cli.exit_codes import EXIT_OK, EXIT_USAGE
from ..exceptions import CheckerMissing
from ..model import claims, configuration, gangs, leadership, runs  # noqa: F401
from ..model.specification import SPECIFICATIONS, Verdict, check, find_by_guard
from ..utils.settings import ResolvedSetting, Setting, check_optional
from .registry import Command


class ModelCommand(Command):
    """Check the core protocol."""

    name = "model"
    settings = (
        Setting("without", check_optional, "guard to remove, or empty", ""),
        Setting("guards", check_optional, "'yes' lists the guards", ""),
    )

    def run(
        self, settings: Mapping[str, ResolvedSetting], arguments: Sequence[str]
    ) -> int:
        """Print each specification's states and depth, or a counterexample."""
        if settings["guards"].value:
            sys.stdout.write(format_guards())
            return EXIT_OK
        guard = settings["without"].value
        if not guard:
            return _print_all()
        specification = find_by_guard(guard)
        if specification is None:
            sys.stderr.write(f"firladder model: no guard {guard!r}\n{format_guards()}")
            return EXIT_USAGE
        return _print(check(specification, without=guard))


def _print_all() -> int:
    return max(_print(check(s)) for s in SPECIFICATIONS.values())


def _print(verdict: Verdict | CheckerMissing) -> int:
    if isinstance(verdict, CheckerMissing):
        sys.stderr.write(f"firladder model: {verdict.reason}\n")
        return EXIT_USAGE
    sys.stdout.write(format_verdict(verdict))
    passed = verdict.complete and not verdict.broken
    return EXIT_OK if passed or verdict.without else 1


def format_verdict(verdict: Verdict) -> str:
    """Return the verdict, and the counterexample if there is one, as text."""
    removed = f" without {verdict.without}" if verdict.without else ""
    state = (
        "BROKEN" if verdict.broken else "holds" if verdict.complete else "unfinished"
    )
    head = (
        f"{verdict.specification + removed:<40} {state:<10} "
        f"{verdict.states:>7} states, depth {verdict.depth}\n"
    )
    if not verdict.broken:
        return head
    steps = (f"  {n}. {step}\n" for n, step in enumerate(verdict.trace, 1))
    return "".join((head, f"  broken: {verdict.broken}\n", *steps))


def format_guards() -> str:
    """Return all guards with a description of each."""
    return "".join(
        f"{s.name}\n" + "".join(f"  {g:<22} {what}\n" for g, what in s.guards.items())
        for s in SPECIFICATIONS.values()
    )
