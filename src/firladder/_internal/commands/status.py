"""Show the fleet as a gateway sees it."""

from collections.abc import Mapping, Sequence
from typing import Any

from ..cli.calls import call_gateway
from ..cli.client_settings import CLIENT_SETTINGS
from ..cli.output import write_answer
from ..utils.settings import ResolvedSetting
from .registry import Command


class StatusCommand(Command):
    """Show the fleet."""

    name = "status"
    settings = CLIENT_SETTINGS
    examples = ("firladder status", "firladder status --format=json")

    def run(
        self, settings: Mapping[str, ResolvedSetting], arguments: Sequence[str]
    ) -> int:
        """Print the state of every failure domain."""
        reply = call_gateway(settings, "GET", "/v1/status")
        return write_answer(self.name, settings, reply, format_status, read_only=True)


def format_status(status: dict[str, Any]) -> str:
    """Return the fleet's state as a table."""
    force = "yes" if status["in_force_everywhere"] else "no"
    store = "reachable" if status["store_reachable"] else "unreachable"
    head = f"revision {status['revision']}, in force everywhere: {force}; store {store}"
    return "\n".join([head, *map(_format_domain, status["failure_domains"])]) + "\n"


def _format_domain(domain: dict[str, Any]) -> str:
    if domain["cut_off"]:
        return f"{domain['failure_domain']}: CUT OFF, last at {domain['in_force']}"
    leader = domain["leader"] or "none"
    mode = " (isolated)" if domain["isolated"] else ""
    alive = sum(p["alive"] for p in domain["processes"])
    return (
        f"{domain['failure_domain']}: revision {domain['in_force']}, "
        f"leader {leader}{mode} epoch {domain['epoch']}, "
        f"{alive} of {len(domain['processes'])} processes alive, "
        f"jobs {domain['queued']} queued {domain['running']} running, "
        f"accelerators {domain['accelerators_busy']} of {domain['accelerators']} busy"
    )
