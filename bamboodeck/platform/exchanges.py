"""Decode callers' requests and engines' answers; encode calls to engines."""

from collections.abc import Iterable

from bamboodeck.gateway.model import (
    CallerRequest,
    EngineCall,
    EngineHead,
    Generation,
    PromptPart,
)
from bamboodeck.http.intake import ParsedRequest
from bamboodeck.http.messages import Header, HttpCall, ReplyHead
from bamboodeck.platform import words
from bamboodeck.platform.host_settings import MILLISECONDS_PER_S

MISDIRECTED = 421
_MAX_CONFIDENCE = 100
_HEX = 16

# Concern one connection only.
_HOP_HEADERS = frozenset(
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
# Only the gateway sets these; a caller's own are dropped.
_SYSTEM_HEADERS = frozenset(
    name.lower()
    for name in (
        words.DEADLINE_MS,
        words.EXPECT_INSTANCE,
        words.EXPECT_VERSION,
        words.TENANT,
        words.API_KEY,
        words.PRIORITY,
        words.PIN_MS,
        words.HOLD,
        words.KV_BACKUP,
        words.KV_FROM,
        words.KV_FETCH,
    )
)
_UNFORWARDED = _HOP_HEADERS | _SYSTEM_HEADERS | {'host'}
_MODEL = words.MODEL.lower()
_LAST_EVENT_ID = words.LAST_EVENT_ID.lower()


def decode_request(parsed: ParsedRequest, received_s: float) -> CallerRequest:
    """Read a caller's request; what is malformed counts as absent."""
    headers = dict(parsed.headers)
    listed = {
        name.strip().lower()
        for name in headers.get('connection', '').split(',')
    }
    deadline_ms = _read_number(headers.get(words.DEADLINE_MS.lower()))
    host = headers.get('host', '')
    return CallerRequest(
        request_id=headers.get(words.REQUEST_ID.lower(), ''),
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
                if name not in _UNFORWARDED and name not in listed
            ),
        ),
        caller_timeout_s=(
            None if deadline_ms is None else deadline_ms / MILLISECONDS_PER_S
        ),
        api_key=headers.get(words.API_KEY.lower()),
        session=headers.get(words.SESSION.lower()),
        generation=_decode_generation(headers),
        received_s=received_s,
    )


def build_engine_call(call: EngineCall, connect_timeout_s: float) -> HttpCall:
    """Write a request as a call to one engine."""
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
    headers.append(Header(words.DEADLINE_MS, str(left_ms)))
    headers.append(Header(words.EXPECT_INSTANCE, call.engine.engine_id))
    if call.customer is not None:
        headers.append(Header(words.TENANT, call.customer))
    if call.engine_priority is not None:
        headers.append(Header(words.PRIORITY, str(call.engine_priority)))
    if call.model is not None:
        headers.append(Header(words.MODEL, call.model))
    if call.last_event_id is not None:
        headers.append(Header(words.LAST_EVENT_ID, call.last_event_id))
    return HttpCall(
        address=call.engine.address,
        method=request.method,
        path=request.target,
        body=request.body,
        headers=tuple(headers),
        timeout_s=call.time_left_s,
        connect_timeout_s=connect_timeout_s,
        host=request.headers[0].text,
    )


def decode_engine_head(head: ReplyHead) -> EngineHead:
    """Read the head of an engine's answer."""
    by_name = {header.name.lower(): header.text for header in head.headers}
    confidence = _read_number(by_name.get(words.CONFIDENCE.lower()))
    if confidence is not None and not 0 <= confidence <= _MAX_CONFIDENCE:
        confidence = None
    return EngineHead(
        status=head.status,
        headers=tuple(
            header
            for header in head.headers
            if header.name.lower() not in _HOP_HEADERS
        ),
        request_id=by_name.get(words.REQUEST_ID.lower()),
        not_run=(
            words.NOT_EXECUTED.lower() in by_name or head.status == MISDIRECTED
        ),
        misdirected=head.status == MISDIRECTED,
        stamped=words.STAMP.lower() in by_name,
        confidence=None if confidence is None else int(confidence),
    )


def build_refusal_headers(
    request_id: str,
    retry_after_s: float | None,
) -> tuple[Header, ...]:
    """Write the headers of an answer that the gateway gives itself."""
    headers = [Header('Content-Type', 'application/json')]
    if request_id:
        headers.append(Header(words.REQUEST_ID, request_id))
    if retry_after_s is not None:
        headers.append(Header(words.RETRY_AFTER, f'{retry_after_s:.3f}'))
    return tuple(headers)


def is_ready_check(parsed: ParsedRequest) -> bool:
    """Tell whether a request asks if the host takes callers."""
    return parsed.path == words.READY_PATH


def _decode_generation(headers: dict[str, str]) -> Generation | None:
    model = headers.get(_MODEL)
    counts = headers.get(words.TOKEN_COUNTS.lower(), '').split(',')
    if model is None or len(counts) != 2:
        return None
    prompt = _read_number(counts[0])
    output = _read_number(counts[1])
    if prompt is None or output is None:
        return None
    hint = _read_number(headers.get(words.LENGTH_HINT.lower()))
    return Generation(
        model=None if model == words.ANY_MODEL else model,
        prompt_tokens=int(prompt),
        max_output_tokens=int(output),
        parts=tuple(
            _decode_parts(headers.get(words.PROMPT_PREFIX.lower(), '')),
        ),
        expected_output_tokens=None if hint is None else int(hint),
        last_event_id=headers.get(_LAST_EVENT_ID),
    )


def _decode_parts(text: str) -> Iterable[PromptPart]:
    for entry in text.split(','):
        part_id, _, tokens = entry.strip().partition(':')
        try:
            # The number's text may differ between callers.
            yield PromptPart(f'{int(part_id, _HEX):x}', int(tokens))
        except ValueError:
            # What follows can't be shared without this part.
            return


def _read_number(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        number = float(text)
    except ValueError:
        return None
    return number if 0 <= number < float('inf') else None
