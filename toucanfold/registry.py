"""Registry of plug-ins, which are created by kind and name."""

from collections.abc import Callable
from typing import Any, TypeVar

from returns import result

from toucanfold import exceptions

Factory = TypeVar("Factory", bound=Callable[..., Any])

_factories: dict[tuple[str, str], Callable[..., Any]] = {}


def register(kind: str, name: str) -> Callable[[Factory], Factory]:
    """Return a decorator that registers a factory under a kind and a name."""

    def decorator(factory: Factory) -> Factory:
        _factories[kind, name] = factory
        return factory

    return decorator


def names(kind: str) -> list[str]:
    """Return the registered names of a kind in alphabetical order."""
    return sorted(
        name for registered_kind, name in _factories if registered_kind == kind
    )


def create(
    kind: str, name: str, **options: Any
) -> result.Result[Any, exceptions.UnknownPluginError]:
    """Create the plug-in; the error lists the names that are registered."""
    factory = _factories.get((kind, name))
    if factory is None:
        registered_names = ", ".join(names(kind)) or "none"
        return result.Failure(
            exceptions.UnknownPluginError(
                f"no {kind} plug-in is named {name!r}",
                f"use one of: {registered_names}",
            )
        )
    return result.Success(factory(**options))
