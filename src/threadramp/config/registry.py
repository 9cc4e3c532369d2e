"""Registries that decorators fill: behaviour that varies, chosen by name."""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar("T", bound=type)


class Registry(dict[str, T], Generic[T]):
    """Classes by name."""

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers a class under ``name``."""

        def decorate(cls: T) -> T:
            self[name] = cls
            return cls

        return decorate


__all__ = ["Registry"]
