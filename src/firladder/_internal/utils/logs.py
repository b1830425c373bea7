"""Write logs as one JSON object per line, using structlog."""

import logging
import sys

import structlog

from .streams import BoundedStream

PRIORITY_ATTRIBUTE = "priority_line"
"""Attribute of the records that are written although routine lines are dropped."""

_STANDARD_ATTRIBUTES = frozenset(vars(logging.makeLogRecord({}))) | {
    "message",
    "asctime",
    PRIORITY_ATTRIBUTE,
}


class BoundedHandler(logging.Handler):
    """Write records to a bounded stream, warnings and marked records with priority."""

    def __init__(self, stream: BoundedStream) -> None:
        """Write to ``stream``."""
        super().__init__()
        self._stream = stream

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record."""
        priority = record.levelno >= logging.WARNING or bool(
            getattr(record, PRIORITY_ATTRIBUTE, False)
        )
        try:
            self._stream.write(self.format(record) + "\n", priority=priority)
        except Exception:
            self.handleError(record)


def _copy_extra(
    _logger: object, _name: str, event: structlog.typing.EventDict
) -> structlog.typing.EventDict:
    record = event.get("_record")
    if isinstance(record, logging.LogRecord):
        event.update(
            {k: v for k, v in vars(record).items() if k not in _STANDARD_ATTRIBUTES}
        )
    return event


def configure_logs(*, process: str, level: str, to_stdout: bool = False) -> None:
    """Write the records of all loggers to standard error as JSON.

    With ``to_stdout``, write them to standard output instead, at a bounded rate
    and without ever blocking.
    """
    structlog.contextvars.bind_contextvars(process=process)
    shared: list[structlog.typing.Processor] = [
        structlog.contextvars.merge_contextvars,
        _copy_extra,
        structlog.stdlib.add_log_level,
        structlog.stdlib.add_logger_name,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        structlog.processors.format_exc_info,
    ]
    handler: logging.Handler = (
        BoundedHandler(BoundedStream(sys.stdout.fileno()))
        if to_stdout
        else logging.StreamHandler(sys.stderr)
    )
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            foreign_pre_chain=shared,
            processors=[
                structlog.stdlib.ProcessorFormatter.remove_processors_meta,
                structlog.processors.JSONRenderer(default=str),
            ],
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
