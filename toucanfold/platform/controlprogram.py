"""Composition root of a control instance on the platform."""

from toucanfold import control, httpserver
from toucanfold.platform import manifests


def run(path: str) -> int:
    """Run a control instance from its settings file; return the exit status."""
    return control.run(path, extend=_listeners)


def _listeners(control_instance: control.Control) -> list[httpserver.Listener]:
    return [
        httpserver.Listener(
            "platform_listen", manifests.ManifestHandler(control_instance)
        )
    ]
