"""The settings of the daemons, and the checks between them."""

import difflib
import os
from collections.abc import Mapping

from ..exceptions import SettingError
from ..utils.settings import (
    ENVIRONMENT_PREFIX,
    CrossCheck,
    ResolvedSetting,
    Setting,
    check_address,
    check_addresses,
    check_choice,
    check_integer,
    check_number,
    check_optional,
    check_optional_address,
    check_secret,
    check_text,
    check_url,
)
from .client_settings import (
    CONFIG_SETTINGS,
    JOBS_SETTINGS,
    REQUEST_SETTINGS,
    SUBMIT_SETTINGS,
)

MIN_SECRET_LENGTH = 32
"""Characters of the fleet's secret. It is hashed without key stretching, so a short
secret could be guessed."""

SHARED_SETTINGS = (
    Setting("vm", check_text, "name of the entry VM this process runs on"),
    Setting("failure_domain", check_text, "failure domain of the VM"),
    Setting("address", check_address, "ip:port for messages between processes"),
    Setting(
        "advertise",
        check_optional_address,
        "ip:port under which peers reach --address, if it differs",
        "",
    ),
    Setting("http_address", check_address, "ip:port for HTTP"),
    Setting("store_url", check_url, "http://ip:port of the platform's store"),
    Setting(
        "seeds",
        check_addresses,
        "ip:port,... of peers to join through while the store is down",
        "",
    ),
    Setting("heartbeat_s", check_number(0.05, 10), "seconds between heartbeats", "1"),
    Setting("drain_s", check_number(0, 600), "longest graceful shutdown, s", "30"),
    Setting(
        "unready_s",
        check_number(0, 60),
        "seconds between saying 'not ready' and closing the listener at a stop, "
        "so that the balancer sends nobody any more",
        "2",
    ),
    Setting("log_level", check_choice("DEBUG", "INFO", "WARNING"), "log level", "INFO"),
    Setting(
        "operator_token", check_optional, "token of operators' calls", "", secret=True
    ),
    Setting(
        "fleet_secret",
        check_secret(MIN_SECRET_LENGTH),
        "random text, the same on all VMs, that daemons prove to each other",
        "",
        secret=True,
    ),
)

GATEWAY_SETTINGS = (
    *SHARED_SETTINGS,
    Setting(
        "queue_limit", check_integer(1, 100_000), "requests queued at most", "2000"
    ),
)

SCHEDULER_SETTINGS = (
    *SHARED_SETTINGS,
    Setting("leader_ttl_s", check_integer(1, 60), "leadership lease, s", "5"),
    Setting("task_ttl_s", check_number(0.5, 600), "lease of confirmed tasks, s", "30"),
    Setting(
        "start_ttl_s",
        check_number(0.2, 60),
        "lease of tasks until their whole gang has started, s",
        "3",
    ),
    Setting(
        "stop_grace_s", check_number(0, 600), "between polite and forced stop", "5"
    ),
    Setting("placement", check_text, "placement policy", "cells"),
)


def require_below(smaller: str, larger: str, why: str) -> CrossCheck:
    """Return a check that one setting is less than another."""

    def check(settings: Mapping[str, ResolvedSetting]) -> SettingError | None:
        low, high = settings[smaller].value, settings[larger].value
        if low < high:
            return None
        return SettingError(
            setting=f"--{smaller} (FIRLADDER_{smaller.upper()})",
            reason=f"must be below --{larger} ({low:g} is not below {high:g}): {why}",
        )

    return check


def require_distinct_addresses(
    settings: Mapping[str, ResolvedSetting],
) -> SettingError | None:
    """Reject the same address for both listeners, as the second could not bind."""
    if settings["address"].value != settings["http_address"].value:
        return None
    return SettingError(
        setting="--http_address (FIRLADDER_HTTP_ADDRESS)",
        reason="must differ from --address; each listener needs its own port",
    )


def reject_unknown_variables(
    settings: Mapping[str, ResolvedSetting], environment: Mapping[str, str] = os.environ
) -> SettingError | None:
    """Reject variables with the settings' prefix that are not settings.

    Otherwise a mistyped variable would be ignored silently and the daemon would
    run with a default that nobody chose. Daemons and commands may share one
    environment, so the settings of all of them are accepted.
    """
    known = {
        setting.variable
        for setting in (
            *GATEWAY_SETTINGS,
            *SCHEDULER_SETTINGS,
            *REQUEST_SETTINGS,
            *SUBMIT_SETTINGS,
            *JOBS_SETTINGS,
            *CONFIG_SETTINGS,
        )
    }
    mistyped = sorted(
        name
        for name in environment
        if name.startswith(ENVIRONMENT_PREFIX) and name not in known
    )
    if not mistyped:
        return None
    matches = difflib.get_close_matches(mistyped[0], known, 1)
    hint = f"; did you mean {matches[0]}?" if matches else ""
    return SettingError(setting=mistyped[0], reason=f"is no setting{hint}")


GATEWAY_CHECKS = (require_distinct_addresses, reject_unknown_variables)
SCHEDULER_CHECKS = (
    require_distinct_addresses,
    reject_unknown_variables,
    require_below(
        "start_ttl_s",
        "task_ttl_s",
        "leases of a partly started gang must expire before those of a running one",
    ),
    require_below(
        "heartbeat_s",
        "leader_ttl_s",
        "peers must hear of a leader before its lease is over",
    ),
)
