"""The registry of commands, whose modules are imported only when needed."""

import dataclasses
import importlib
from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING, ClassVar

if TYPE_CHECKING:
    from ..utils.settings import CrossCheck, ResolvedSetting, Setting


class Command(ABC):
    """One command of the command line."""

    name: ClassVar[str]
    settings: ClassVar["Sequence[Setting]"] = ()
    usage: ClassVar[str] = ""
    examples: ClassVar[Sequence[str]] = ()
    cross_checks: ClassVar["Sequence[CrossCheck]"] = ()
    takes_any_flag: ClassVar[bool] = False
    """Whether the command parses all its arguments itself, including flags."""

    @abstractmethod
    def run(
        self, settings: "Mapping[str, ResolvedSetting]", arguments: Sequence[str]
    ) -> int:
        """Run the command and return its exit code."""


@dataclasses.dataclass(frozen=True, slots=True)
class CommandInfo:
    """A command's module and class, and its summary in the overview."""

    module: str
    class_name: str
    summary: str


COMMANDS: dict[str, CommandInfo] = {
    "gateway": CommandInfo("daemons", "GatewayCommand", "run a gateway"),
    "scheduler": CommandInfo("daemons", "SchedulerCommand", "run a scheduler"),
    "node": CommandInfo("node", "NodeCommand", "run an entry VM of the platform"),
    "settings": CommandInfo("settings", "SettingsCommand", "print a daemon's settings"),
    "request": CommandInfo("request", "RequestCommand", "send a request to a service"),
    "submit": CommandInfo("jobs", "SubmitCommand", "submit a job"),
    "watch": CommandInfo("jobs", "WatchCommand", "follow a job to its end"),
    "jobs": CommandInfo("jobs", "JobsCommand", "list jobs"),
    "cancel": CommandInfo("jobs", "CancelCommand", "cancel a job"),
    "config": CommandInfo("config", "ConfigCommand", "show or change configuration"),
    "check": CommandInfo("check", "CheckCommand", "check a configuration offline"),
    "status": CommandInfo("status", "StatusCommand", "show the fleet"),
    "timeline": CommandInfo("timeline", "TimelineCommand", "merge all events"),
    "delays": CommandInfo(
        "delays", "DelaysCommand", "tell which stage delayed each job of a day"
    ),
    "evaluate": CommandInfo("evaluate", "EvaluateCommand", "compare job policies"),
    "evaluate_requests": CommandInfo(
        "evaluate_requests", "EvaluateRequestsCommand", "compare request policies"
    ),
    "evaluate_days": CommandInfo(
        "evaluate_days", "EvaluateDaysCommand", "compare planners of steps of tasks"
    ),
    "measure": CommandInfo("measure", "MeasureCommand", "measure what decisions cost"),
    "completion": CommandInfo("completion", "CompletionCommand", "complete in a shell"),
    "model": CommandInfo("model", "ModelCommand", "check the core protocol"),
}


def load_command(name: str) -> Command | None:
    """Import a command's module and return the command, or None if unknown."""
    info = COMMANDS.get(name)
    if info is None:
        return None
    module = importlib.import_module(f".{info.module}", __package__)
    command: Command = getattr(module, info.class_name)()
    return command
