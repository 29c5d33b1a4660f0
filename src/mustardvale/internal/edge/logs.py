"""Write log lines as JSON."""

import logging
import sys
import typing

from pythonjsonlogger import json as json_logger


def configure(level: str, instance_id: str, output: typing.Any = None) -> None:
    """Send the package's log lines to standard error as JSON objects.

    `output` is a text stream to use instead.
    """
    handler = logging.StreamHandler(output or sys.stderr)
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
