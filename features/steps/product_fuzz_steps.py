import json
import sys

import msgspec
from behave import then, when
from hypothesis import HealthCheck, given, seed, settings
from hypothesis import strategies as st

from firladder._internal.cli.daemon_settings import SCHEDULER_SETTINGS
from firladder._internal.exceptions import Failure, SettingError
from firladder._internal.models.api import TicketRequest
from firladder._internal.models.configuration import ChangeSet
from firladder._internal.models.job import JobSpec
from firladder._internal.models.message import Envelope, FetchDomain
from firladder._internal.models.request import ServiceRequest
from firladder._internal.network.fabric import Fabric
from firladder._internal.policies.selectors import Selector, parse_selector
from firladder._internal.utils.clocks import LogicalClock
from firladder._internal.utils.codec import decode_json
from firladder._internal.utils.settings import check_labels, read_settings

VALID = {
    ServiceRequest: {"organisation": "squads", "deadline_ms": 5, "id": "a", "body": 1},
    JobSpec: {"id": "a", "organisation": "squads", "members": 2, "labels": {"a": "b"}},
    ChangeSet: {
        "expected_revision": 0,
        "changes": [{"kind": "rule", "name": "r", "value": {"selects": "a=b"}}],
    },
    TicketRequest: {"count": 3},
}

REFUSED = (Failure, SettingError, type(None))

any_value = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=8,
)


def make_json(type_: type) -> st.SearchStrategy[bytes]:
    """Return arbitrary documents, and valid ones that are altered or cut short."""
    valid = VALID[type_]
    altered = st.builds(
        lambda key, value: json.dumps({**valid, key: value}).encode(),
        st.sampled_from(sorted(valid)) | st.text(max_size=8),
        any_value,
    )
    truncated = st.integers(0, 200).map(lambda n: json.dumps(valid).encode()[:n])
    documents = any_value.map(lambda v: json.dumps(v).encode())
    return altered | truncated | documents | st.binary(max_size=60)


def make_messages() -> st.SearchStrategy[bytes]:
    """Return arbitrary messages, and valid ones with one byte changed."""
    valid = msgspec.msgpack.encode(
        Envelope(sender="a", clock=1, correlation="b", body=FetchDomain())
    )
    altered = st.builds(
        lambda at, byte: valid[:at] + bytes([byte]) + valid[at + 1 :],
        st.integers(0, len(valid)),
        st.integers(0, 255),
    )
    documents = any_value.map(
        lambda v: (
            msgspec.msgpack.encode(json.loads(json.dumps(v, default=str)))
            if _is_small(v)
            else b""
        )
    )
    return altered | documents | st.binary(max_size=80)


def _is_small(value) -> bool:
    try:
        msgspec.msgpack.encode(value)
    except (OverflowError, UnicodeEncodeError):
        return False
    return True


class Fuzz:
    """A parser with its generated inputs and its permitted results."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.inputs = 0
        self.accepted = 0

    def choose(self):
        bodies = {
            "the body of a request": ServiceRequest,
            "the body of a job": JobSpec,
            "the body of a change set": ChangeSet,
            "the body of a ticket request": TicketRequest,
        }
        if self.name in bodies:
            type_ = bodies[self.name]
            return make_json(type_), lambda raw: decode_json(raw, type_), type_
        text = st.text(max_size=40) | st.text(alphabet="ab=!,() innot\t", max_size=30)
        if self.name == "the selector parser":
            return text, parse_selector, Selector
        if self.name == "the message decoder":
            fabric = Fabric(address="127.0.0.1:1", sender="x", logical=LogicalClock())
            return make_messages(), fabric._decode, (Envelope, type(None))
        if self.name == "the settings reader":
            names = st.sampled_from([s.name for s in SCHEDULER_SETTINGS]) | st.text(
                max_size=9
            )
            flag = st.builds("--{}={}".format, names, text) | text
            lists = st.lists(flag, max_size=4)
            return lists, lambda a: read_settings(SCHEDULER_SETTINGS, a, {}), tuple
        return text, _read_labels, (dict, SettingError)

    def run(self, count: int) -> None:
        strategy, parse, expected = self.choose()

        @seed(20)
        @settings(
            max_examples=count,
            database=None,
            deadline=None,
            suppress_health_check=list(HealthCheck),
        )
        @given(strategy)
        def check(value) -> None:
            self.inputs += 1
            result = parse(value)
            assert isinstance(
                result,
                expected | Failure
                if isinstance(expected, type)
                else (*expected, Failure),
            ), (value, result)
            self.accepted += not isinstance(result, REFUSED)

        check()


def _read_labels(raw: str) -> dict | SettingError:
    try:
        return check_labels(raw)
    except ValueError as error:
        return SettingError(setting="labels", reason=str(error))


@when("{parser} reads {count:d} generated and altered inputs")
def run_fuzz(context, parser, count):
    context.fuzz = Fuzz(parser)
    context.fuzz.run(count)


@then("each gave a value or a typed failure")
def report_fuzz(context):
    fuzz = context.fuzz
    line = f"fuzz: {fuzz.name}: {fuzz.inputs} inputs, {fuzz.accepted} accepted\n"
    # Bypasses behave's capture, so that each run shows its counts.
    sys.__stdout__.write(line)
    assert fuzz.inputs > 0
