"""JSON-lines logging to standard error.

The daemon logs only changes of state.
"""

import logging
import sys

import structlog

LEVELS = ("debug", "info", "warning", "error")


def configure_logging(level: str) -> None:
    """Log JSON lines of a level and above to standard error."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=False,
    )


def get_logger(component: str) -> structlog.typing.FilteringBoundLogger:
    """Return a logger that adds `component` to each line."""
    logger: structlog.typing.FilteringBoundLogger = structlog.get_logger()
    return logger.bind(component=component)
