"""Derive from the code what the reference tables of the pages must list."""

from firladder._internal import network  # noqa: F401
from firladder._internal.cli.daemon_settings import GATEWAY_SETTINGS, SCHEDULER_SETTINGS
from firladder._internal.commands.node import NODE_SETTINGS
from firladder._internal.gateway.daemon import GatewayMetrics
from firladder._internal.node.metrics import NodeMetrics
from firladder._internal.scheduler.daemon import SchedulerMetrics
from firladder._internal.utils.events import Event
from firladder._internal.utils.settings import Setting
from standins.site import ROOT

DAEMONS = {"G": GATEWAY_SETTINGS, "S": SCHEDULER_SETTINGS, "N": NODE_SETTINGS}


def read_rows(page: str) -> list[list[str]]:
    """Return the cells of all table rows of a page, without header rows."""
    lines = (ROOT / "docs" / page).read_text().splitlines()
    rows = [[c.strip() for c in x.strip("|").split(" | ")] for x in lines if "| " in x]
    return [[c.strip("` ") for c in row] for row in rows]


def list_events() -> set[tuple[str, str]]:
    """Return the number and message of every event."""
    return {(str(event.number), event.message) for event in Event}


def list_metrics() -> set[tuple[str, str]]:
    """Return each metric name with the letters of the daemons that export it."""
    exported = {
        "G": set(GatewayMetrics().registry.collectors),
        "S": set(SchedulerMetrics().registry.collectors),
        "N": set(NodeMetrics().registry.collectors),
    }
    return {
        (name, " ".join(r for r in "GSN" if name in exported[r]))
        for name in set().union(*exported.values())
    }


def describe_setting(setting: Setting) -> tuple[str, str, str, str]:
    """Return the cells of the table row of a setting."""
    daemons = " ".join(d for d, known in DAEMONS.items() if setting in known)
    default = {None: "required", "": "none"}.get(setting.default, setting.default)
    return f"--{setting.name}", daemons, str(default), setting.help


def list_settings() -> set[tuple[str, str, str, str]]:
    """Return the table rows of the settings of all daemons."""
    return {describe_setting(s) for known in DAEMONS.values() for s in known}
