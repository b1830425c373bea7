"""Settings from flags and environment variables, all validated at start."""

import dataclasses
import difflib
import ipaddress
import math
import os
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Literal, TypeVar

from absl import flags

from ..exceptions import SettingError

N = TypeVar("N", int, float)

ENVIRONMENT_PREFIX = "FIRLADDER_"

Origin = Literal["default", "environment", "flag"]
Check = Callable[[str], Any]
CrossCheck = Callable[[Mapping[str, "ResolvedSetting"]], SettingError | None]


@dataclasses.dataclass(frozen=True)
class Setting:
    """One setting: a flag ``--name`` and a variable ``FIRLADDER_NAME``."""

    name: str
    check: Check
    help: str
    default: str | None = None
    secret: bool = False
    switch: bool = False
    """A flag without a value: ``--name`` means "true", ``--noname`` "false"."""

    @property
    def label(self) -> str:
        """Return the flag and the variable, as error messages name the setting."""
        return f"--{self.name} ({self.variable})"

    @property
    def variable(self) -> str:
        """Return the environment variable's name."""
        return ENVIRONMENT_PREFIX + self.name.upper()


@dataclasses.dataclass(frozen=True)
class ResolvedSetting:
    """A checked value and where it came from."""

    value: Any
    origin: Origin
    secret: bool

    def describe(self) -> str:
        """Return the value as text for display, with a secret hidden."""
        return "(hidden)" if self.secret and self.value else str(self.value)


def check_text(raw: str) -> str:
    """Accept non-empty text."""
    if not raw:
        raise ValueError("must not be empty")
    return raw


def check_optional(raw: str) -> str:
    """Accept any text, including none."""
    return raw


def check_address(raw: str) -> str:
    """Accept ``ip:port``; reject host names, as VMs are reached by IP address."""
    host, separator, port = raw.rpartition(":")
    if not separator or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError("must be ip:port")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ValueError("must begin with an IP number, not a name") from None
    return raw


def check_optional_address(raw: str) -> str:
    """Accept ``ip:port`` or empty text."""
    return check_address(raw) if raw else raw


def check_addresses(raw: str) -> tuple[str, ...]:
    """Accept a comma-separated list of ``ip:port``."""
    return tuple(check_address(part.strip()) for part in raw.split(",") if part.strip())


def check_url(raw: str) -> str:
    """Accept ``http://ip:port``."""
    if not raw.startswith("http://"):
        raise ValueError("must be http://ip:port")
    check_address(raw.removeprefix("http://").rstrip("/"))
    return raw.rstrip("/")


def _read_number(type_: type[N], raw: str) -> N:
    try:
        return type_(raw)
    except ValueError:
        kind = "a whole number" if type_ is int else "a number"
        raise ValueError(f"must be {kind}") from None


def check_labels(raw: str) -> dict[str, str]:
    """Accept a comma-separated list of ``name=value``."""
    pairs = [part.partition("=") for part in raw.split(",") if part.strip()]
    if not all(name.strip() and middle for name, middle, _ in pairs):
        raise ValueError("must be name=value,...")
    return {name.strip(): value.strip() for name, _, value in pairs}


def check_secret(min_length: int) -> Check:
    """Return a check that accepts empty text or at least ``min_length`` characters."""

    def check(raw: str) -> str:
        if raw and len(raw) < min_length:
            raise ValueError(f"must have at least {min_length} characters")
        return raw

    return check


def check_number(low: float, high: float) -> Check:
    """Return a check that accepts a number from ``low`` to ``high``."""

    def check(raw: str) -> float:
        value = _read_number(float, raw)
        if not math.isfinite(value) or not low <= value <= high:
            raise ValueError(f"must be from {low:g} to {high:g}")
        return value

    return check


def check_integer(low: int, high: int) -> Check:
    """Return a check that accepts an integer from ``low`` to ``high``."""

    def check(raw: str) -> int:
        value = _read_number(int, raw)
        if not low <= value <= high:
            raise ValueError(f"must be a whole number from {low} to {high}")
        return value

    return check


def check_choice(*choices: str) -> Check:
    """Return a check that accepts one of ``choices``."""

    def check(raw: str) -> str:
        if raw not in choices:
            raise ValueError(f"must be one of {', '.join(choices)}")
        return raw

    return check


def resolve_settings(
    settings: Sequence[Setting],
    arguments: Sequence[str],
    environment: Mapping[str, str] = os.environ,
    cross_checks: Sequence[CrossCheck] = (),
) -> tuple[dict[str, ResolvedSetting], list[str]]:
    """Return all settings and the remaining arguments, or raise ``SettingError``.

    A flag takes precedence over its variable, and the variable over the default.
    The error lists every invalid setting, so that an operator can correct them
    all before the next start.
    """
    found, problems, rest = read_settings(settings, arguments, environment)
    if not problems:
        wrong = (check(found) for check in cross_checks)
        problems = [problem for problem in wrong if problem is not None]
    if len(problems) == 1:
        raise problems[0]
    if problems:
        raise SettingError(
            setting=f"{len(problems)} settings are wrong",
            reason="".join(f"\n  {problem}" for problem in problems),
        )
    return found, rest


def read_settings(
    settings: Sequence[Setting],
    arguments: Sequence[str],
    environment: Mapping[str, str] = os.environ,
) -> tuple[dict[str, ResolvedSetting], list[SettingError], list[str]]:
    """Return the valid settings, the errors and the remaining arguments."""
    table = flags.FlagValues()
    table.set_gnu_getopt(True)
    for setting in settings:
        define = flags.DEFINE_boolean if setting.switch else flags.DEFINE_string
        define(setting.name, None, setting.help, flag_values=table)
    try:
        rest = table(["firladder", *arguments], known_only=True)[1:]
    except flags.Error as error:
        return {}, [SettingError(setting="command line", reason=str(error))], []
    found: dict[str, ResolvedSetting] = {}
    unknown = [a for a in rest if len(a) > 1 and a[0] == "-"]
    problems = [_describe_unknown_flag(a, settings) for a in unknown]
    for setting in settings:
        try:
            found[setting.name] = _resolve(
                setting, table[setting.name].value, environment
            )
        except SettingError as error:
            problems.append(error)
    return found, problems, [a for a in rest if a not in unknown]


def _describe_unknown_flag(argument: str, settings: Sequence[Setting]) -> SettingError:
    flag = argument.split("=")[0]
    matches = difflib.get_close_matches(flag, [f"--{s.name}" for s in settings], 1)
    hint = f"; did you mean {matches[0]}?" if matches else ""
    return SettingError(setting=flag, reason=f"is no flag of this command{hint}")


def _resolve(
    setting: Setting, given: str | bool | None, environment: Mapping[str, str]
) -> ResolvedSetting:
    origin: Origin = "flag"
    raw = str(given).lower() if isinstance(given, bool) else given
    if raw is None and setting.variable in environment:
        raw, origin = environment[setting.variable], "environment"
    if raw is None:
        raw, origin = setting.default, "default"
    if raw is None:
        raise SettingError(setting=setting.label, reason=f"is required: {setting.help}")
    try:
        return ResolvedSetting(setting.check(raw), origin, setting.secret)
    except ValueError as error:
        shown = "" if setting.secret else f"; got {raw!r}"
        raise SettingError(setting=setting.label, reason=f"{error}{shown}") from None
