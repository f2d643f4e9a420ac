"""Show that hosts with a waiting request leave idle model engines unused.

Usage: python -m review.waiting burst|pause|none SEED

Three hosts with two engines, which answer at once, get 20 requests a second
each for 15 s. After a second, the first host gets 20 more at a time, or the
whole process pauses for 0.8 s while a request runs. It prints what each host
answered, and exits with 1 if any request was refused.
"""

import random
import sys
import time
from collections import Counter

from bamboodeck.fakes.platform.documents import CHAT
from bamboodeck.fakes.platform.engine import EngineBehaviour
from tests.gateway.harness import CallerAnswer, GatewayHarness

HOSTS = 3
ROUNDS = 300
ROUND_S = 0.05
TROUBLE_ROUND = 20
BURST = 20
PAUSE_S = 0.8
PAUSE_CHANCE = 0.3
LIMIT_PER_S = 2.0


class PausingHarness(GatewayHarness):
    """Pause once while a request runs, as a process does on a busy machine."""

    def __init__(self, seed: int) -> None:
        """Pause at no time at first."""
        super().__init__(HOSTS)
        self.pause_due = False
        self._random = random.Random(seed)

    def run_once(self) -> None:
        """Run one iteration of every loop, and the pause between two."""
        self.loop.tick(0.001)
        for app in self.apps:
            app.loop.tick(0)
            runs = any(engine.requests for engine in app.context.engines)
            if self.pause_due and runs and self._random.random() < PAUSE_CHANCE:
                self.pause_due = False
                time.sleep(PAUSE_S)


def main(trouble: str, seed: int) -> int:
    """Send the requests, print the answers, and return the exit status."""
    harness = PausingHarness(seed)
    limited = EngineBehaviour(limit_per_s=LIMIT_PER_S)
    harness.add_engine('model-1', behaviour=limited)
    harness.add_engine('model-2')
    harness.until_engines(2)
    answers: list[list[CallerAnswer]] = [[] for _ in range(HOSTS)]
    for number in range(ROUNDS):
        for host in range(HOSTS):
            answers[host].append(harness.send(CHAT, model='*', app=host))
        if number == TROUBLE_ROUND and trouble == 'burst':
            answers[0].extend(
                harness.send(CHAT, model='*') for _ in range(BURST)
            )
        if number == TROUBLE_ROUND and trouble == 'pause':
            harness.pause_due = True
        harness.wait(ROUND_S)
    harness.until(lambda: all(each.ended for own in answers for each in own))
    counts = [Counter(each.status for each in own) for own in answers]
    sys.stdout.write(f'{[dict(count) for count in counts]}\n')
    harness.close()
    return int(any(set(count) != {200} for count in counts))


if __name__ == '__main__':
    sys.exit(main(sys.argv[1], int(sys.argv[2])))
