"""Commands that change what is declared: ``apply``, ``edit``, ``delete``, ``drain``."""

from __future__ import annotations

import msgspec
from cleo.helpers import argument, option

from threadramp.cli.api import CLIENT_OPTIONS, ClientCommand, ExitCode, command
from threadramp.client.errors import RequestRefusedError
from threadramp.config.documents import check_document
from threadramp.config.findings import Finding, FindingsError
from threadramp.wire.outcomes import Reason

REVISION_OPTION = option("revision", "r", "Revision at which the resource must stand.", flag=False)


@command
class ApplyCommand(ClientCommand):
    """Declare all resources of a file."""

    name = "apply"
    description = "Declare all resources of a file; those that stand so already are left."
    arguments = [argument("file", "TOML file of resources.")]
    options = CLIENT_OPTIONS

    def run_client(self) -> int:
        """Check the file as a whole, then declare what differs."""
        result = check_document(self.argument("file"))
        if result.is_error():
            raise FindingsError(result.error)
        operator = self.operator()
        for resource in result.ok:
            try:
                held = operator.get(resource.kind, resource.name)
            except RequestRefusedError as error:
                if error.refusal.reason is not Reason.NOT_FOUND:
                    raise
                held = {"revision": 0, "spec": None}
            if held["spec"] == resource.spec:
                self.line(f"{resource.kind}/{resource.name}: unchanged at {held['revision']}")
                continue
            revision = operator.put(resource.kind, resource.name, resource.spec, held["revision"])
            self.line(f"{resource.kind}/{resource.name}: revision {revision}")
        return ExitCode.OK


@command
class EditCommand(ClientCommand):
    """Change fields of a resource."""

    name = "edit"
    description = "Set fields of a resource, as FIELD=JSON."
    arguments = [
        argument("kind", "Kind of resource."),
        argument("name", "Name of the resource."),
        argument("fields", "FIELD=JSON, one or more.", multiple=True),
    ]
    options = [*CLIENT_OPTIONS, REVISION_OPTION]

    def run_client(self) -> int:
        """Read, change and write back at the revision that was read."""
        kind = self.argument("kind")
        name = self.argument("name")
        operator = self.operator()
        held = operator.get(kind, name)
        revision = int(self.option("revision") or held["revision"])
        spec = held["spec"] | dict(_field(text) for text in self.argument("fields"))
        changed = operator.put(kind, name, spec, revision)
        self.line(f"{kind}/{name}: revision {revision} -> {changed}")
        return ExitCode.OK


@command
class DeleteCommand(ClientCommand):
    """Take a resource back."""

    name = "delete"
    description = "Take a resource back."
    arguments = [argument("kind", "Kind of resource."), argument("name", "Name of the resource.")]
    options = [*CLIENT_OPTIONS, REVISION_OPTION]

    def run_client(self) -> int:
        """Delete at the revision that is named or read."""
        kind = self.argument("kind")
        name = self.argument("name")
        operator = self.operator()
        revision = int(self.option("revision") or operator.get(kind, name)["revision"])
        changed = operator.delete(kind, name, revision)
        self.line(f"{kind}/{name}: revision {revision} -> {changed} (deleted)")
        return ExitCode.OK


@command
class DrainCommand(ClientCommand):
    """Have an endpoint leave."""

    name = "drain"
    description = "Have an endpoint take no new work; --undo takes that back."
    arguments = [argument("endpoint", "Name of the endpoint.")]
    options = [*CLIENT_OPTIONS, option("undo", None, "Take the drain back.")]

    def run_client(self) -> int:
        """Declare the drain."""
        name = self.argument("endpoint")
        operator = self.operator()
        held = operator.get("endpoint", name)
        spec = held["spec"] | {"drain": not self.option("undo")}
        changed = operator.put("endpoint", name, spec, held["revision"])
        word = "in service" if self.option("undo") else "draining"
        self.line(f"endpoint/{name}: {word} from revision {changed}")
        return ExitCode.OK


def _field(text: str) -> tuple[str, object]:
    name, _, value = text.partition("=")
    try:
        return name, msgspec.json.decode(value)
    except msgspec.DecodeError as error:
        problem = f"{value!r} is not JSON: {error}"
        raise FindingsError([Finding(name, problem, "quote texts")]) from error


__all__ = ["ApplyCommand", "DeleteCommand", "DrainCommand", "EditCommand"]
