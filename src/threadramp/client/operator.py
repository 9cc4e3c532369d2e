"""Client for operators: declare resources, see what holds."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING, Any

import msgspec
from urllib3.exceptions import HTTPError

from threadramp.client.errors import RequestRefusedError, UnreachableError
from threadramp.client.http import Api, checked
from threadramp.core.burn import ObjectiveRecord
from threadramp.wire.headers import CHANGE_ID
from threadramp.wire.outcomes import Outcome
from threadramp.wire.status import FleetStatus

if TYPE_CHECKING:
    from collections.abc import Sequence


class OperatorClient:
    """Edits the configuration through any gateway."""

    def __init__(self, gateways: Sequence[str], token: str) -> None:
        self.api = Api(gateways, token)

    def get(self, kind: str, name: str) -> dict[str, Any]:
        """Return one resource with its revision."""
        return msgspec.json.decode(self.api.ask("GET", f"/v1/resources/{kind}/{name}").data)

    def list(self, kind: str = "") -> dict[str, Any]:
        """Return the revision and all resources of a kind."""
        return msgspec.json.decode(self.api.ask("GET", f"/v1/resources/{kind}").data)

    def put(self, kind: str, name: str, spec: dict[str, Any], revision: int | None = None) -> int:
        """Declare a resource.

        :param revision: at which it must stand, 0 if it must not be there, none if any will do
        :returns: the revision of the change
        """
        return self._edit("PUT", kind, name, spec, revision)

    def delete(self, kind: str, name: str, revision: int | None = None) -> int:
        """Take a resource back."""
        return self._edit("DELETE", kind, name, None, revision)

    def status(self) -> FleetStatus:
        """Return what holds."""
        return msgspec.json.decode(self.api.ask("GET", "/v1/status").data, type=FleetStatus)

    def burn_records(self) -> list[ObjectiveRecord]:
        """Return each gateway's events; gateways that do not answer are left out.

        :raises UnreachableError: if none answered
        """
        records: list[ObjectiveRecord] = []
        answered = 0
        for gateway in self.api.gateways:
            try:
                response = checked(self.api.request("GET", "/v1/burn", gateway=gateway))
            except HTTPError:
                continue
            answered += 1
            records += msgspec.json.decode(response.data, type=list[ObjectiveRecord])
        if not answered:
            raise UnreachableError("no gateway answered")
        return records

    def _edit(
        self, method: str, kind: str, name: str, spec: dict[str, Any] | None, revision: int | None
    ) -> int:
        change_id = uuid.uuid4().hex
        sent = {CHANGE_ID: change_id}
        if revision == 0:
            sent["If-None-Match"] = "*"
        elif revision is not None:
            sent["If-Match"] = f'"{revision}"'
        try:
            response = self.api.ask(method, f"/v1/resources/{kind}/{name}", spec, headers=sent)
        except (RequestRefusedError, UnreachableError) as error:
            refused = isinstance(error, RequestRefusedError)
            if refused and error.refusal.outcome is not Outcome.UNKNOWN:
                raise
            return self._settle(change_id, error)
        return msgspec.json.decode(response.data)["revision"]

    def _settle(self, change_id: str, cause: Exception) -> int:
        """Look whether a change whose answer was lost was accepted."""
        try:
            response = self.api.ask("GET", f"/v1/changes/{change_id}")
        except (RequestRefusedError, UnreachableError):
            raise cause from None
        return msgspec.json.decode(response.data)["revision"]


__all__ = ["OperatorClient"]
