"""Run the gateway or the scheduler until it is told to stop."""

from collections.abc import Mapping, Sequence
from typing import Any

from ..cli.daemon_settings import (
    GATEWAY_CHECKS,
    GATEWAY_SETTINGS,
    SCHEDULER_CHECKS,
    SCHEDULER_SETTINGS,
)
from ..cli.exit_codes import EXIT_OK
from ..utils.logs import configure_logs
from ..utils.settings import ResolvedSetting
from .registry import Command


def run_daemon(role: str, settings: Mapping[str, ResolvedSetting]) -> int:
    """Build the daemon and run it until it stops."""
    from ..network import run_reactor

    configure_logs(
        process=f"{settings['vm'].value}/{role}", level=settings["log_level"].value
    )
    run_reactor(_serve(role, settings))
    return EXIT_OK


async def _serve(role: str, settings: Mapping[str, ResolvedSetting]) -> None:
    process: Any
    if role == "gateway":
        from ..gateway.daemon import Gateway

        process = Gateway(settings)
    else:
        from ..scheduler.daemon import Scheduler

        process = Scheduler(settings)
    await process.run()


class GatewayCommand(Command):
    """Run a gateway."""

    name = "gateway"
    settings = GATEWAY_SETTINGS
    cross_checks = GATEWAY_CHECKS
    examples = (
        "firladder gateway --vm=bern-1 --failure_domain=bern-halle "
        "--address=10.1.0.5:7000 --http_address=10.1.0.5:8080 "
        "--store_url=http://10.1.0.2:2379",
    )

    def run(
        self, settings: Mapping[str, ResolvedSetting], arguments: Sequence[str]
    ) -> int:
        """Serve callers and operators until SIGTERM or SIGINT arrives."""
        return run_daemon("gateway", settings)


class SchedulerCommand(Command):
    """Run a scheduler."""

    name = "scheduler"
    settings = SCHEDULER_SETTINGS
    cross_checks = SCHEDULER_CHECKS
    examples = (
        "firladder scheduler --vm=bern-1 --failure_domain=bern-halle "
        "--address=10.1.0.5:7001 --http_address=10.1.0.5:8081 "
        "--store_url=http://10.1.0.2:2379",
    )

    def run(
        self, settings: Mapping[str, ResolvedSetting], arguments: Sequence[str]
    ) -> int:
        """Campaign for leadership and lead until SIGTERM or SIGINT arrives."""
        return run_daemon("scheduler", settings)
