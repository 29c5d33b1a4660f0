"""Write log lines as JSON."""

import logging
import sys

from pythonjsonlogger import json as json_logger


def configure(level: str, instance_id: str) -> None:
    """Send the package's log lines to standard error as JSON objects."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        json_logger.JsonFormatter(
            '%(asctime)s %(levelname)s %(message)s',
            static_fields={'instance_id': instance_id},
        ),
    )
    logger = logging.getLogger('mustardvale')
    logger.handlers = [handler]
    logger.setLevel(level)
    logger.propagate = False
