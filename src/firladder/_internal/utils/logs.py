"""Write logs as one JSON object a line, through structlog."""

import logging
import sys

import structlog

from .streams import BoundedStream

_STANDARD = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}


def _copy_extra(
    _logger: object, _name: str, event: structlog.typing.EventDict
) -> structlog.typing.EventDict:
    record = event.get("_record")
    if isinstance(record, logging.LogRecord):
        event.update({k: v for k, v in vars(record).items() if k not in _STANDARD})
    return event


def configure_logs(*, process: str, level: str, to_stdout: bool = False) -> None:
    """Send the records of all module loggers to standard error as JSON.

    With ``to_stdout`` they go to standard output, bounded and never blocking.
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
