"""Decode callers' requests and engines' responses; encode engine calls."""

from collections.abc import Iterable

from bamboodeck.gateway.model import (
    CallerRequest,
    EngineCall,
    EngineHead,
    Generation,
    PromptPart,
)
from bamboodeck.http.messages import Header, HttpCall, ReplyHead
from bamboodeck.http.request_parser import ParsedRequest
from bamboodeck.platform import protocol
from bamboodeck.platform.host_settings import MILLISECONDS_PER_S

MISDIRECTED = 421
UNAVAILABLE = 503
# They tell callers that the request has not run, and never will.
_NOT_RUN_STATUSES = frozenset((408, MISDIRECTED, 429, UNAVAILABLE))
# Far more than any engine's memory; sums of it still fit a message.
MAX_TOKENS = 1_000_000_000
_MAX_CONFIDENCE = 100
_HEX = 16

# Apply to a single connection and are never forwarded.
_HOP_BY_HOP_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'expect',
    ),
)
# Set by the gateway alone; values sent by callers are dropped.
_GATEWAY_HEADERS = frozenset(
    name.lower()
    for name in (
        protocol.DEADLINE_MS,
        protocol.EXPECT_INSTANCE,
        protocol.EXPECT_VERSION,
        protocol.TENANT,
        protocol.API_KEY,
        protocol.PRIORITY,
        protocol.PIN_MS,
        protocol.HOLD,
        protocol.KV_BACKUP,
        protocol.KV_FROM,
        protocol.KV_FETCH,
    )
)
_NOT_FORWARDED_HEADERS = _HOP_BY_HOP_HEADERS | _GATEWAY_HEADERS | {'host'}
_MODEL = protocol.MODEL.lower()
_LAST_EVENT_ID = protocol.LAST_EVENT_ID.lower()


def decode_request(parsed: ParsedRequest, received_s: float) -> CallerRequest:
    """Decode a caller's request; malformed headers count as absent."""
    headers = dict(parsed.headers)
    listed = {
        name.strip().lower()
        for name in headers.get('connection', '').split(',')
    }
    deadline_ms = _parse_number(headers.get(protocol.DEADLINE_MS.lower()))
    host = headers.get('host', '')
    return CallerRequest(
        request_id=headers.get(protocol.REQUEST_ID.lower(), ''),
        method=parsed.method,
        target=parsed.target,
        host=host.partition(':')[0].lower(),
        path=parsed.path,
        body=parsed.body,
        headers=(
            Header('Host', host),
            *(
                Header(name, text)
                for name, text in parsed.headers
                if name not in _NOT_FORWARDED_HEADERS and name not in listed
            ),
        ),
        caller_timeout_s=(
            None if deadline_ms is None else deadline_ms / MILLISECONDS_PER_S
        ),
        api_key=headers.get(protocol.API_KEY.lower()),
        session=headers.get(protocol.SESSION.lower()),
        generation=_decode_generation(headers),
        received_s=received_s,
    )


def build_engine_call(call: EngineCall, connect_timeout_s: float) -> HttpCall:
    """Build the HTTP call that sends a request to an engine."""
    request = call.request
    replaced = set()
    if call.model is not None:
        replaced.add(_MODEL)
    if call.last_event_id is not None:
        replaced.add(_LAST_EVENT_ID)
    headers = [
        header for header in request.headers[1:] if header.name not in replaced
    ]
    left_ms = max(int(call.time_left_s * MILLISECONDS_PER_S), 1)
    headers.append(Header(protocol.DEADLINE_MS, str(left_ms)))
    headers.append(Header(protocol.EXPECT_INSTANCE, call.engine.engine_id))
    if call.customer is not None:
        headers.append(Header(protocol.TENANT, call.customer))
    if call.engine_priority is not None:
        headers.append(Header(protocol.PRIORITY, str(call.engine_priority)))
    if call.model is not None:
        headers.append(Header(protocol.MODEL, call.model))
    if call.last_event_id is not None:
        headers.append(Header(protocol.LAST_EVENT_ID, call.last_event_id))
    return HttpCall(
        address=call.engine.address,
        method=request.method,
        path=request.target,
        body=request.body,
        headers=tuple(headers),
        timeout_s=call.time_left_s,
        connect_timeout_s=connect_timeout_s,
        host=request.headers[0].text,
        echo=Header(protocol.REQUEST_ID, request.request_id),
    )


def decode_engine_head(head: ReplyHead) -> EngineHead:
    """Decode the head of an engine's response."""
    by_name = {header.name.lower(): header.text for header in head.headers}
    confidence = _parse_number(by_name.get(protocol.CONFIDENCE.lower()))
    if confidence is not None and not 0 <= confidence <= _MAX_CONFIDENCE:
        confidence = None
    limit = by_name.get(protocol.SERVER_LIMIT.lower())
    limit_per_s = _parse_number(limit)
    retry_after = None
    if head.status == UNAVAILABLE:
        retry_after = by_name.get(protocol.RETRY_AFTER.lower())
    retry_after_s = _parse_number(retry_after)
    unreadable = []
    if limit is not None and limit_per_s is None:
        unreadable.append(protocol.SERVER_LIMIT)
    if retry_after is not None and retry_after_s is None:
        unreadable.append(protocol.RETRY_AFTER)
    return EngineHead(
        status=head.status,
        headers=tuple(
            header
            for header in head.headers
            if header.name.lower() not in _HOP_BY_HOP_HEADERS
        ),
        request_id=by_name.get(protocol.REQUEST_ID.lower()),
        not_run=(
            protocol.NOT_EXECUTED.lower() in by_name
            or head.status == MISDIRECTED
        ),
        promises_not_run=head.status in _NOT_RUN_STATUSES,
        misdirected=head.status == MISDIRECTED,
        stamped=bool(by_name.get(protocol.STAMP.lower(), '').strip()),
        confidence=None if confidence is None else int(confidence),
        close_delimited=head.close_delimited,
        limit_per_s=limit_per_s,
        leaving=by_name.get(protocol.SERVER_LEAVING.lower()) == '1',
        limit_unreadable=protocol.SERVER_LIMIT in unreadable,
        retry_after_s=retry_after_s,
        unreadable=tuple(unreadable),
    )


def build_refusal_headers(
    request_id: str,
    retry_after_s: float | None,
) -> tuple[Header, ...]:
    """Build the headers of a response that the gateway itself generates."""
    headers = [Header('Content-Type', 'application/json')]
    if request_id:
        headers.append(Header(protocol.REQUEST_ID, request_id))
    if retry_after_s is not None:
        headers.append(Header(protocol.RETRY_AFTER, f'{retry_after_s:.3f}'))
    return tuple(headers)


def is_ready_check(parsed: ParsedRequest) -> bool:
    """Return whether a request is a readiness check."""
    return parsed.path == protocol.READY_PATH


def _decode_generation(headers: dict[str, str]) -> Generation | None:
    model = headers.get(_MODEL)
    counts = headers.get(protocol.TOKEN_COUNTS.lower(), '').split(',')
    if model is None or len(counts) != 2:
        return None
    prompt = _parse_number(counts[0])
    output = _parse_number(counts[1])
    if prompt is None or output is None:
        return None
    hint = _parse_number(headers.get(protocol.LENGTH_HINT.lower()))
    return Generation(
        model=None if model == protocol.ANY_MODEL else model,
        prompt_tokens=_to_tokens(prompt),
        max_output_tokens=_to_tokens(output),
        parts=tuple(
            _parse_prompt_parts(
                headers.get(protocol.PROMPT_PREFIX.lower(), '')
            ),
        ),
        expected_output_tokens=None if hint is None else _to_tokens(hint),
        last_event_id=headers.get(_LAST_EVENT_ID),
    )


def _parse_prompt_parts(text: str) -> Iterable[PromptPart]:
    for entry in text.split(','):
        part_id, _, tokens = entry.strip().partition(':')
        try:
            # Normalizes the hexadecimal id: callers' formats may differ.
            yield PromptPart(f'{int(part_id, _HEX):x}', int(tokens))
        except ValueError:
            # Later parts can't be shared without this one.
            return


def _to_tokens(count: float) -> int:
    return min(int(count), MAX_TOKENS)


def _parse_number(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        number = float(text)
    except ValueError:
        return None
    return number if 0 <= number < float('inf') else None
