"""Write logs as one JSON object per line, using structlog."""

import logging
import sys

import structlog

from .streams import BoundedStream

_STANDARD_ATTRIBUTES = frozenset(vars(logging.makeLogRecord({}))) | {
    "message",
    "asctime",
}


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
    stream = BoundedStream(sys.stdout.fileno()) if to_stdout else sys.stderr
    handler: logging.Handler = logging.StreamHandler(stream)
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
