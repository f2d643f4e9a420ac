"""Build sample values for the tests of the gateway's decisions."""

from bamboodeck.gateway.engines import Engine, EngineTable
from bamboodeck.gateway.model import (
    CallerRequest,
    EngineEntry,
    EngineState,
    Generation,
    PromptPart,
)
from bamboodeck.http.messages import Address

MODELS = ('small', 'middle', 'large')


def build_entry(engine_id: str = 'engine-1', **fields: object) -> EngineEntry:
    """Build a registry entry."""
    described = {
        'service': 'models',
        'address': Address('10.0.0.1', 8000),
        'zone': 'gent',
        'version': 'v1',
        'slots': 4,
        'state': EngineState.READY,
        'sequence': 1,
        'started_unix_ms': 1000,
        **fields,
    }
    return EngineEntry(engine_id=engine_id, **described)


def build_generation(**fields: object) -> Generation:
    """Build the generation parameters of a request."""
    described = {
        'model': None,
        'prompt_tokens': 1000,
        'max_output_tokens': 100,
        'parts': (PromptPart('a', 600), PromptPart('b', 300)),
        **fields,
    }
    return Generation(**described)


def build_request(**fields: object) -> CallerRequest:
    """Build a caller's request."""
    described = {
        'request_id': 'request-1',
        'method': 'POST',
        'target': '/chat/1',
        'host': 'desk.example',
        'path': '/chat/1',
        'body': b'',
        'headers': (),
        'caller_timeout_s': 8.0,
        'api_key': None,
        'session': None,
        'generation': build_generation(),
        'received_s': 0.0,
        **fields,
    }
    return CallerRequest(**described)


def list_engines(table: EngineTable, *entries: EngineEntry) -> list[Engine]:
    """Add engines to a table and return them."""
    for entry in entries:
        table.upsert(entry)
    return [table.find(entry.engine_id) for entry in entries]
