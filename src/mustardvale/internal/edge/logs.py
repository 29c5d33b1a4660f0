"""Write log lines as JSON."""

import logging
import sys
import typing

from pythonjsonlogger import json as json_logger


def configure(level: str, instance_id: str, output: typing.Any = None) -> None:
    """Write the log lines of the package to standard error as JSON objects.

    `output` is a text stream to use in place of standard error.
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
