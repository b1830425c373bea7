"""Encode JSON, and validate input from outside the process."""

import re
from typing import Any, TypeVar

import msgspec

from ..exceptions import MalformedBody

T = TypeVar("T")

_ERROR_PATH = re.compile(r" - at `(?P<path>[^`]+)`$")
_NAMED_FIELD = re.compile(
    r"unknown field `(?P<name>[^`]+)`|required field `(?P<other>[^`]+)`"
)

_json_encoder = msgspec.json.Encoder(order="deterministic")


def encode_json(value: Any) -> bytes:
    """Return compact JSON with keys in a deterministic order."""
    return _json_encoder.encode(value)


def decode_json(data: bytes, type_: type[T]) -> T | MalformedBody:
    """Return the validated value, or a failure that names the invalid field."""
    try:
        return msgspec.json.decode(data, type=type_)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        return describe_error(error)


def describe_error(error: Exception) -> MalformedBody:
    """Return the failure for a decoding error, with the field that it concerns."""
    text = str(error) or type(error).__name__
    path = _ERROR_PATH.search(text)
    named = _NAMED_FIELD.search(text)
    field = path.group("path").removeprefix("$").lstrip(".") if path else None
    if named:
        name = named.group("name") or named.group("other")
        field = f"{field}.{name}" if field else name
    return MalformedBody(reason=_ERROR_PATH.sub("", text), field=field or None)
