"""Schedule the completions of an engine, with one timer for all of them."""

import heapq
import itertools
import time
from collections import defaultdict
from collections.abc import Callable

from bamboodeck.fakes.crash import exit_process
from bamboodeck.fakes.engine.faults import (
    BreakStream,
    DelayChunks,
    DieInLastChunk,
    DuplicateChunks,
    ReorderChunks,
    WrongRequestId,
)
from bamboodeck.fakes.engine.generation import DONE, Generation
from bamboodeck.fakes.engine.messages import EngineSettings
from bamboodeck.fakes.faults import FaultRegistry, Freeze
from bamboodeck.fakes.stand_in import MS_PER_S, respond_json
from bamboodeck.http.messages import EVENT_STREAM_TYPE
from bamboodeck.loop.program import Loop

TICK_S = 0.005
MAX_BURST_TOKENS = 16


class Batch:
    """Run up to `capacity` completions and queue the others by priority."""

    def __init__(
        self,
        loop: Loop,
        settings: EngineSettings,
        faults: FaultRegistry,
        crash: Callable[[], None] = exit_process,
    ) -> None:
        """Create an empty batch; `crash` terminates the engine process."""
        self.running: dict[int, Generation] = {}
        self.queued_count = 0
        self.token_count = 0
        self.crash = crash
        self._scheduler = loop.scheduler
        self._settings = settings
        self._faults = faults
        self._queue: list[tuple[int, int, Generation]] = []
        self._sequence = itertools.count()
        self._slots: dict[int, list[Generation]] = defaultdict(list)
        self._served_slot = 0
        self._ticking = False

    @property
    def full(self) -> bool:
        """Return whether both the batch and the queue are full."""
        return (
            len(self.running) >= self._settings.capacity
            and self.queued_count >= self._settings.queue_limit
        )

    def submit(self, generation: Generation, first_token_s: float) -> None:
        """Start a completion, or queue it until the batch has free capacity.

        The queue is served by descending priority, then in order of arrival.
        """
        generation.due_s = first_token_s
        generation.responder.on_aborted = lambda: self.cancel(generation)
        if len(self.running) < self._settings.capacity:
            self._start(generation)
            return
        self.queued_count += 1
        heapq.heappush(
            self._queue,
            (-generation.request.priority, next(self._sequence), generation),
        )

    def cancel(self, generation: Generation) -> None:
        """Cancel a running or queued completion."""
        if generation.attempt.outcome == 'running':
            self._remove(generation, 'cancelled')
        elif generation.attempt.outcome == 'queued':
            generation.attempt.outcome = 'cancelled'
            self.queued_count -= 1

    def find(self, request_id: str) -> list[Generation]:
        """Return the running and queued completions of a request id."""
        waiting = (generation for _, _, generation in self._queue)
        return [
            generation
            for generation in (*self.running.values(), *waiting)
            if generation.request.request_id == request_id
        ]

    def _start(self, generation: Generation) -> None:
        generation.attempt.outcome = 'running'
        self.running[id(generation)] = generation
        now_s = self._scheduler.now_s()
        # `due_s` is relative, the first-token delay, until the start.
        generation.due_s += now_s
        if generation.request.stream:
            generation.responder.start_stream(200, EVENT_STREAM_TYPE)
        if not self._ticking:
            self._ticking = True
            self._served_slot = int(now_s / TICK_S) - 1
            self._scheduler.call_after(TICK_S, self._tick)
        self._schedule(generation)

    def _schedule(self, generation: Generation) -> None:
        slot = int(generation.due_s / TICK_S)
        self._slots[max(slot, self._served_slot + 1)].append(generation)

    def _tick(self) -> None:
        now_s = self._scheduler.now_s()
        if self._faults.current(Freeze) is None:
            self._serve_slots(now_s)
        if not self.running:
            self._ticking = False
            self._slots.clear()
            return
        self._scheduler.call_after(TICK_S, self._tick)

    def _serve_slots(self, now_s: float) -> None:
        last = int(now_s / TICK_S)
        while self._served_slot < last:
            self._served_slot += 1
            for generation in self._slots.pop(self._served_slot, ()):
                if generation.attempt.outcome != 'running':
                    continue
                self._serve(generation, now_s)

    def _serve(self, generation: Generation, now_s: float) -> None:
        if generation.responder.congested:
            generation.due_s = now_s + TICK_S
            self._schedule(generation)
            return
        if self._faults.empty:
            self._emit(generation, now_s)
        else:
            self._emit_with_faults(generation, now_s)
        if generation.attempt.outcome == 'running':
            self._schedule(generation)

    def _emit(self, generation: Generation, now_s: float) -> None:
        chunks = []
        for _ in range(MAX_BURST_TOKENS):
            if generation.complete or generation.due_s > now_s:
                break
            chunks.append(generation.next_chunk())
            generation.due_s += self._settings.token_s
        self.token_count += len(chunks)
        if generation.complete:
            self._finish(generation, chunks)
        else:
            _send_chunks(generation, chunks)

    def _emit_with_faults(self, generation: Generation, now_s: float) -> None:
        chunks: list[bytes] = []
        while not generation.complete and generation.due_s <= now_s:
            if self._should_break(generation):
                _send_chunks(generation, chunks)
                self._abort(generation)
                return
            chunks.extend(self._generate_faulty_chunks(generation))
            self.token_count += 1
            generation.due_s += self._settings.token_s + self._chunk_delay_s(
                generation,
            )
        if not generation.complete:
            _send_chunks(generation, chunks)
            return
        if self._fail_in_last_chunk(generation, chunks):
            return
        self._finish(generation, chunks)

    def _should_break(self, generation: Generation) -> bool:
        fault = self._faults.current(BreakStream)
        if fault is None or generation.attempt.tokens < fault.after_tokens:
            return False
        self._faults.consume(BreakStream)
        return True

    def _generate_faulty_chunks(self, generation: Generation) -> list[bytes]:
        chunks = []
        wrong = self._faults.current(WrongRequestId)
        if wrong is not None and generation.offset == wrong.at_token:
            self._faults.consume(WrongRequestId)
            chunks.append(generation.encode_foreign_chunk())
        chunk = generation.next_chunk()
        reorder = self._faults.current(ReorderChunks)
        if reorder is not None and not generation.held_chunk:
            if (
                generation.offset % reorder.every == 0
                and not generation.complete
            ):
                self._faults.consume(ReorderChunks)
                generation.held_chunk = chunk
                return chunks
        chunks.extend((chunk, generation.held_chunk))
        generation.held_chunk = b''
        duplicate = self._faults.current(DuplicateChunks)
        if duplicate is not None and generation.offset % duplicate.every == 0:
            self._faults.consume(DuplicateChunks)
            chunks.append(chunk)
        return chunks

    def _chunk_delay_s(self, generation: Generation) -> float:
        delay = self._faults.current(DelayChunks)
        if delay is None or generation.offset % delay.every:
            return 0
        self._faults.consume(DelayChunks)
        return delay.delay_ms / MS_PER_S

    def _fail_in_last_chunk(
        self, generation: Generation, chunks: list[bytes]
    ) -> bool:
        fault = self._faults.consume(DieInLastChunk)
        if fault is None:
            return False
        last = generation.encode_final_chunk()
        sent = last if fault.whole_chunk else last[: len(last) // 2]
        _send_chunks(generation, [*chunks, sent])
        if fault.exits:
            self.crash()
        self._abort(generation)
        return True

    def _finish(self, generation: Generation, chunks: list[bytes]) -> None:
        responder = generation.responder
        created_s = int(time.time())
        if generation.request.stream:
            chunks.extend(
                (generation.held_chunk, generation.encode_final_chunk())
            )
            responder.send(b''.join((*chunks, DONE)))
            self._remove(generation, 'finished')
            responder.end()
            return
        self._remove(generation, 'finished')
        respond_json(responder, 200, generation.build_completion(created_s))

    def _abort(self, generation: Generation) -> None:
        self._remove(generation, 'broken')
        generation.responder.abort()

    def _remove(self, generation: Generation, outcome: str) -> None:
        generation.attempt.outcome = outcome
        generation.responder.on_aborted = None
        self.running.pop(id(generation), None)
        while self._queue and len(self.running) < self._settings.capacity:
            _, _, waiting = heapq.heappop(self._queue)
            if waiting.attempt.outcome != 'queued':
                continue
            self.queued_count -= 1
            self._start(waiting)


def _send_chunks(generation: Generation, chunks: list[bytes]) -> None:
    if generation.request.stream:
        generation.responder.send(b''.join(chunks))
