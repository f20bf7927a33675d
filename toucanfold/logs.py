"""Logs as JSON lines through absl.logging."""

import contextvars
import json
import logging as standard_logging
import sys
import time
from typing import Any

from absl import flags, logging

request_id: contextvars.ContextVar[str] = contextvars.ContextVar(
    "request_id", default=""
)


class JsonFormatter(standard_logging.Formatter):
    """Formats a record as one JSON object."""

    def __init__(self, process: str):
        super().__init__()
        self._process = process

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return the JSON line of a record, with a request id if one is set."""
        seconds = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        fields = {
            "time": f"{seconds}.{int(record.msecs):03d}Z",
            "level": record.levelname.lower(),
            "process": self._process,
            "module": record.module,
            "message": record.getMessage(),
        }
        current = request_id.get()
        if current:
            fields["request_id"] = current
        if record.exc_info:
            fields["exception"] = self.formatException(record.exc_info)
        return json.dumps(fields)


def configure(process: str, level: str = "info", stream: Any = None) -> None:
    """Send all log records as JSON lines to a stream, or to standard error."""
    # Commands parse their own flags; absl would otherwise print a warning.
    flags.FLAGS.mark_as_parsed()
    handler = logging.get_absl_handler()
    handler.setFormatter(JsonFormatter(process))
    logging.use_absl_handler()
    logging.set_verbosity(level)
    # absl copies lines of this level and above to standard error, where a reader
    # that stops reading would block the process.
    logging.set_stderrthreshold(level if stream is None else "fatal")
    handler.python_handler.stream = stream or sys.stderr
