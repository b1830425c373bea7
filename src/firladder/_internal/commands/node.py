"""Run the process of an entry VM on the users' platform."""

from collections.abc import Mapping, Sequence

from ..cli.daemon_settings import SHARED_SETTINGS
from ..cli.exit_codes import EXIT_OK
from ..utils.logs import configure_logs
from ..utils.settings import ResolvedSetting, Setting, check_text
from .registry import Command

NODE_SETTINGS = (
    Setting("node_file", check_text, "settings file that the platform lays out (TOML)"),
    *(setting for setting in SHARED_SETTINGS if setting.name == "log_level"),
)


class NodeCommand(Command):
    """Take jobs on an entry VM, and schedule them while this node leads."""

    name = "node"
    settings = NODE_SETTINGS
    examples = ("firladder node --node_file=/etc/firladder/node.toml",)

    def run(
        self, settings: Mapping[str, ResolvedSetting], arguments: Sequence[str]
    ) -> int:
        """Serve until SIGTERM or SIGINT arrives."""
        from ..network import run_reactor
        from ..node.daemon import Node

        configure_logs(
            process="node", level=settings["log_level"].value, to_stdout=True
        )
        path = settings["node_file"].value

        async def serve() -> None:
            await Node(path).run()

        run_reactor(serve())
        return EXIT_OK
