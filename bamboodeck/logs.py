"""Log each event as a line of key=value pairs or JSON."""

import dataclasses
import logging
import re
from typing import Any, TextIO

from pythonjsonlogger.json import JsonFormatter

LOGGER_NAME = 'bamboodeck'
_WORD_BOUNDARY = re.compile('(?<!^)(?=[A-Z])')
_UNQUOTED = re.compile(r'^[\w.:/@+,\-]+$')


class KeyValueFormatter(logging.Formatter):
    """Format a record as key=value pairs."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the pairs of the record, joined by spaces."""
        pairs = [
            f'time_s={record.created:.3f}',
            f'level={record.levelname.lower()}',
            f'event={record.getMessage()}',
        ]
        for name, field_value in getattr(record, 'fields', {}).items():
            pairs.append(f'{name}={_quote(field_value)}')
        return ' '.join(pairs)


class JsonLineFormatter(JsonFormatter):
    """Format a record as one JSON object."""

    def add_fields(
        self,
        log_data: dict[str, Any],
        record: logging.LogRecord,
        message_dict: dict[str, Any],
    ) -> None:
        """Add the fields of the event at the top level."""
        log_data['time_s'] = round(record.created, 3)
        log_data['level'] = record.levelname.lower()
        log_data['event'] = record.getMessage()
        log_data.update(getattr(record, 'fields', {}))


class EventLog:
    """Log events, which are frozen data classes or structs."""

    def __init__(self, logger: logging.Logger) -> None:
        """Wrap a logger."""
        self._logger = logger

    def emit(self, event: Any, level: int = logging.INFO) -> None:
        """Log one event, named after its class."""
        if not self._logger.isEnabledFor(level):
            return
        fields = {name: getattr(event, name) for name in _field_names(event)}
        self._logger.log(
            level,
            event_name(type(event)),
            extra={'fields': fields},
        )

    def warn(self, event: Any) -> None:
        """Log an event that an operator should see."""
        self.emit(event, logging.WARNING)


def build_event_log(
    stream: TextIO,
    *,
    as_json: bool = False,
    level: int = logging.INFO,
) -> EventLog:
    """Build the event log of a program on a text stream."""
    logger = logging.getLogger(f'{LOGGER_NAME}.{id(stream)}')
    logger.setLevel(level)
    logger.propagate = False
    handler = logging.StreamHandler(stream)
    handler.setFormatter(
        JsonLineFormatter() if as_json else KeyValueFormatter(),
    )
    logger.handlers.clear()
    logger.addHandler(handler)
    return EventLog(logger)


def event_name(event_type: type) -> str:
    """Return the snake-case event name of a class."""
    return _WORD_BOUNDARY.sub('_', event_type.__name__).lower()


def _field_names(event: Any) -> tuple[str, ...]:
    # msgspec structs and data classes list their fields differently.
    names = getattr(event, '__struct_fields__', None)
    if names is None:
        return tuple(spec.name for spec in dataclasses.fields(event))
    return names


def _quote(field_value: Any) -> str:
    if isinstance(field_value, float):
        return f'{field_value:.6g}'
    text = str(field_value)
    if _UNQUOTED.match(text):
        return text
    escaped = text.replace('\\', '\\\\').replace('"', '\\"')
    return '"{0}"'.format(escaped.replace('\n', '\\n').replace('\r', '\\r'))
