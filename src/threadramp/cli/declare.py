"""Commands that change what is declared: ``apply``, ``edit``, ``delete``, ``drain``."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec
from cleo.helpers import argument, option

from threadramp.cli.api import CLIENT_OPTIONS, ClientCommand, ExitCode, command
from threadramp.client.errors import RequestRefusedError
from threadramp.config.documents import check_document
from threadramp.config.findings import Finding, FindingsError
from threadramp.wire.outcomes import Reason

if TYPE_CHECKING:
    from threadramp.client.operator import OperatorClient
    from threadramp.config.resources import Resource

REVISION_OPTION = option("revision", "r", "Revision at which the resource must stand.", flag=False)


@dataclass(frozen=True)
class AskedResource:
    """The resource that a command names.

    :param revision: at which it must stand, none for whatever it stands at
    """

    kind: str
    name: str
    revision: int | None

    @classmethod
    def from_command(cls, asked: ClientCommand) -> AskedResource:
        """Read the arguments and options of a command.

        :raises FindingsError: if the revision is none
        """
        revision = _revision(asked.option("revision"))
        return cls(asked.argument("kind"), asked.argument("name"), revision)

    def revision_of(self, held: dict[str, Any]) -> int:
        """Return the revision at which it is changed, given what is declared now."""
        return held["revision"] if self.revision is None else self.revision


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
            held = _held_or_absent(operator, resource)
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
        asked = AskedResource.from_command(self)
        operator = self.operator()
        held = operator.get(asked.kind, asked.name)
        revision = asked.revision_of(held)
        spec = held["spec"] | dict(_field(text) for text in self.argument("fields"))
        changed = operator.put(asked.kind, asked.name, spec, revision)
        self.line(f"{asked.kind}/{asked.name}: revision {revision} -> {changed}")
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
        asked = AskedResource.from_command(self)
        operator = self.operator()
        revision = asked.revision_of(operator.get(asked.kind, asked.name))
        changed = operator.delete(asked.kind, asked.name, revision)
        self.line(f"{asked.kind}/{asked.name}: revision {revision} -> {changed} (deleted)")
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


def _held_or_absent(operator: OperatorClient, resource: Resource) -> dict[str, Any]:
    """Return what is declared under a resource's name, at revision 0 if nothing is."""
    try:
        return operator.get(resource.kind, resource.name)
    except RequestRefusedError as error:
        if error.refusal.reason is not Reason.NOT_FOUND:
            raise
        return {"revision": 0, "spec": None}


def _revision(text: str | None) -> int | None:
    if text is None:
        return None
    if not text.isdigit():
        raise FindingsError([Finding("--revision", f"{text!r} is not a revision")])
    return int(text)


def _field(text: str) -> tuple[str, object]:
    name, _, value = text.partition("=")
    try:
        return name, msgspec.json.decode(value)
    except msgspec.DecodeError as error:
        problem = f"{value!r} is not JSON: {error}"
        raise FindingsError([Finding(name, problem, "quote texts")]) from error


__all__ = ["ApplyCommand", "DeleteCommand", "DrainCommand", "EditCommand"]
