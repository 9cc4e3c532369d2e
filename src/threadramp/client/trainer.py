"""Client for trainers: whole lots, resumed after a broken connection, checked on receipt."""

from __future__ import annotations

import threading
import time
import uuid
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
from urllib3.exceptions import HTTPError

from threadramp.client.errors import LotError, RequestRefusedError, UnreachableError
from threadramp.client.http import Api, checked
from threadramp.fleet.clock import steady_s
from threadramp.wire.headers import CHANGE_ID
from threadramp.wire.lines import response_lines
from threadramp.wire.lots import (
    EndLine,
    ErrorLine,
    GroupRequest,
    ProgressLine,
    SampleLine,
    StepRequest,
    WithdrawLine,
)
from threadramp.wire.outcomes import Reason

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

RETRY_PAUSE_S = 0.2
LINE_TIMEOUT_S = 30.0
MAX_SAMPLE_BYTES = 16_777_216  # of a line with the whole text of a sample
FINAL_REASONS = (Reason.ALREADY_DELIVERED, Reason.BAD_REQUEST, Reason.NOT_FOUND)

_line = msgspec.json.Decoder(ProgressLine | SampleLine | WithdrawLine | EndLine | ErrorLine)


@dataclass(frozen=True)
class Lot:
    """A whole lot of one step."""

    lot: str
    step: int
    samples: tuple[SampleLine, ...]


class TrainerClient:
    """Asks for lots and acknowledges them.

    :param trainer: name of the trainer resource
    :param run: names this run; going back to an older checkpoint takes a new name
    :param staleness_bound: checked once more on receipt
    """

    def __init__(
        self, gateways: Sequence[str], token: str, trainer: str, run: str, staleness_bound: int
    ) -> None:
        self.api = Api(gateways, token)
        self.trainer = trainer
        self.run = run
        self.staleness_bound = staleness_bound
        self.calls = 0
        self.lock = threading.Lock()

    def step(
        self,
        step: int,
        version: int,
        groups: Sequence[GroupRequest],
        deadline_s: float = 1200.0,
        on_progress: Callable[[int, int], None] | None = None,
    ) -> Lot:
        """Return the whole lot of a step; goes on after a broken connection.

        :param version: the newest weight version that the trainer has
        :raises LotError: if a whole lot is not what was asked for
        :raises RequestRefusedError: if the step is closed or not valid
        :raises UnreachableError: if the deadline passed
        """
        deadline = steady_s() + deadline_s
        reason = "deadline"
        while (left := deadline - steady_s()) > 0:
            request = StepRequest(self.run, version, tuple(groups), left, self._next_call())
            try:
                return self._receive(step, request, on_progress)
            except RequestRefusedError as error:
                if error.refusal.reason in FINAL_REASONS:
                    raise
                reason = str(error)
            except (HTTPError, msgspec.DecodeError) as error:
                reason = type(error).__name__
            time.sleep(RETRY_PAUSE_S)
        raise UnreachableError(f"step {step} was not delivered: {reason}")

    def acknowledge(self, lot: Lot, attempts: int = 10) -> None:
        """Close the step for ever; say it again until some gateway has done so.

        :raises UnreachableError: if none has
        """
        path = f"/v1/trainers/{self.trainer}/steps/{lot.step}/ack"
        for _ in range(attempts):
            try:
                self.api.ask("POST", path, {"run": self.run, "lot": lot.lot})
                return
            except (RequestRefusedError, UnreachableError):
                time.sleep(RETRY_PAUSE_S)
        raise UnreachableError(f"step {lot.step} could not be acknowledged")

    def publish(self, model: str, version: int, deadline_s: float = 60.0) -> int:
        """Publish new weights of a model; say it again while the platform is out.

        :returns: the revision of the configuration that names them
        :raises RequestRefusedError: if they are not valid, or the deadline passed
        """
        deadline = steady_s() + deadline_s
        path = f"/v1/resources/weights/{model}"
        sent = {CHANGE_ID: uuid.uuid4().hex}  # so that saying it again changes nothing twice
        while True:
            try:
                response = self.api.ask("PUT", path, {"version": version}, headers=sent)
                return msgspec.json.decode(response.data)["revision"]
            except RequestRefusedError as error:
                if not error.refusal.retry_after_s or steady_s() > deadline:
                    raise
            time.sleep(RETRY_PAUSE_S)

    def _next_call(self) -> int:
        with self.lock:
            self.calls += 1
            return self.calls

    def _receive(
        self, step: int, request: StepRequest, on_progress: Callable[[int, int], None] | None
    ) -> Lot:
        path = f"/v1/trainers/{self.trainer}/steps/{step}"
        response = checked(
            self.api.request("POST", path, request, timeout_s=LINE_TIMEOUT_S, stream=True)
        )
        samples: dict[str, SampleLine] = {}
        try:
            for raw in response_lines(response, MAX_SAMPLE_BYTES):
                line = _line.decode(raw)
                if isinstance(line, SampleLine):
                    samples[line.id] = line
                elif isinstance(line, WithdrawLine):
                    samples.pop(line.id, None)
                elif isinstance(line, ErrorLine):
                    raise RequestRefusedError(line.error)
                elif isinstance(line, EndLine):
                    return self._check(step, request, samples, line)
                elif on_progress is not None:
                    on_progress(line.finished, line.wanted)
        finally:
            response.close()
        raise UnreachableLineError("the answer has no end line")

    def _check(
        self, step: int, request: StepRequest, samples: dict[str, SampleLine], end: EndLine
    ) -> Lot:
        wanted = {
            (group.group, index) for group in request.groups for index in range(group.samples)
        }
        got = {(sample.group, sample.index) for sample in samples.values()}
        if got != wanted or end.count != len(samples):
            raise LotError(f"step {step}: {len(got)} samples of {len(wanted)}")
        for sample in samples.values():
            if not sample.versions:
                raise LotError(f"{sample.id} has no label")
            if min(sample.versions) < request.version - self.staleness_bound:
                raise LotError(f"{sample.id} is older than the bound: {sample.versions}")
        return Lot(end.lot, step, tuple(samples.values()))


class UnreachableLineError(HTTPError):
    """The answer ended without its end line."""


__all__ = ["GroupRequest", "Lot", "TrainerClient"]
