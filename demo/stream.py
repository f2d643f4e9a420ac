"""Send requests of four customers through the balancer, all at once."""

import json
import sys
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from urllib import error
from urllib import request as http

URL = 'http://127.0.0.1:7000/v1/chat/completions'
REQUESTS_PER_CUSTOMER = 20
WORKERS = 12


@dataclass(frozen=True)
class Caller:
    """Name a customer's key and the class of its requests."""

    key: str
    request_class: str


@dataclass(frozen=True)
class Answer:
    """Tell which version answered, and whether the answer was whole."""

    version: str
    whole: bool
    total_s: float


CALLERS = (
    Caller('school-key-1', 'plan'),
    Caller('school-key-2', 'chat'),
    Caller('medena-key-1', 'wording'),
    Caller('medena-key-2', 'chat'),
)


def stream(caller: Caller, number: int) -> Answer:
    """Read one streamed answer to its end."""
    body = {
        'messages': [{'role': 'user', 'content': f'Request {number}'}],
        'stream': True,
        'max_tokens': 40,
    }
    call = http.Request(
        URL,
        json.dumps(body).encode(),
        {
            'Authorization': f'Bearer {caller.key}',
            'Content-Type': 'application/json',
            'X-Bamboodeck-Class': caller.request_class,
        },
    )
    started_s = time.monotonic()
    try:
        with http.urlopen(call, timeout=60) as answer:
            version = answer.headers['X-Bamboodeck-Version']
            text = answer.read()
    except error.HTTPError as refusal:
        code = json.load(refusal)['error']['code']
        return Answer(f'refused: {code}', whole=False, total_s=0)
    whole = text.endswith(b'data: [DONE]\n\n')
    return Answer(version, whole, time.monotonic() - started_s)


def run() -> None:
    """Send all requests and print who answered how often."""
    jobs = [
        (caller, number)
        for number in range(REQUESTS_PER_CUSTOMER)
        for caller in CALLERS
    ]
    with ThreadPoolExecutor(WORKERS) as pool:
        answers = list(pool.map(lambda job: stream(*job), jobs))
    counts = Counter(answer.version for answer in answers)
    for version, count in sorted(counts.items()):
        sys.stdout.write(f'{count:4} answers by {version}\n')
    whole = sum(answer.whole for answer in answers)
    slowest_s = max(answer.total_s for answer in answers)
    sys.stdout.write(
        f'{whole} of {len(answers)} answers are whole, '
        f'the slowest took {slowest_s:.1f} s\n',
    )


if __name__ == '__main__':
    run()
