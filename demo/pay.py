"""Send one payment twice with one key, and ask what the service took."""

import json
import sys
import time
from urllib import error
from urllib import request as http
from uuid import UUID

ENTRY_URL = 'http://127.0.0.1:7000/v1/services/orders/take-payment'
RECORD_URL = 'http://127.0.0.1:7501/record'
VERSION_BITS = 0x7 << 76
VARIANT_BITS = 0x2 << 62
TIME_SHIFT = 80
OUTCOME_DELAY_S = 1


def build_key(now_ms: int) -> str:
    """Build a UUIDv7 whose random part is fixed, as a caller keeps it."""
    return str(UUID(int=now_ms << TIME_SHIFT | VERSION_BITS | VARIANT_BITS))


def pay(key: str, idempotency_key: str) -> None:
    """Send the payment and print what became of it."""
    request = http.Request(
        ENTRY_URL,
        json.dumps({'pupil': 17, 'amount_cents': 4990}).encode(),
        {
            'Authorization': f'Bearer {key}',
            'Content-Type': 'application/json',
            'Idempotency-Key': idempotency_key,
        },
    )
    try:
        with http.urlopen(request, timeout=30) as answer:
            state = answer.headers['X-Bamboodeck-Run']
            sys.stdout.write(f'run={state} {answer.read().decode()}\n')
    except error.HTTPError as refusal:
        reason = json.load(refusal)['error']
        sys.stdout.write(f'run={reason["run"]} {reason["message"]}\n')


def count_runs() -> int:
    """Return how often the order service ran a payment."""
    with http.urlopen(RECORD_URL, timeout=30) as answer:
        return sum(run['count'] for run in json.load(answer)['runs'])


if __name__ == '__main__':
    chosen = build_key(int(time.time() * 1000))
    pay(sys.argv[1], chosen)
    # Another entry host knows the outcome once it is in the store.
    time.sleep(OUTCOME_DELAY_S)
    pay(sys.argv[1], chosen)
    sys.stdout.write(f'the order service ran it {count_runs()} time(s)\n')
