"""TLS contexts for callers, operators and links, loaded from the settings."""

import ssl

from returns import result

from toucanfold import config, exceptions


class Contexts:
    """The TLS contexts of one process; None where TLS is disabled."""

    __slots__ = ("admin", "callers", "link_client", "link_server")

    def __init__(self) -> None:
        self.callers: ssl.SSLContext | None = None
        self.admin: ssl.SSLContext | None = None
        self.link_server: ssl.SSLContext | None = None
        self.link_client: ssl.SSLContext | None = None


def load(
    settings: config.Settings,
) -> result.Result[Contexts, exceptions.SettingsError]:
    """Load the certificates named in the [tls] section; Failure if one is invalid."""
    contexts = Contexts()
    option = ""
    try:
        for option in ("callers", "admin"):
            if settings.get("tls", option):
                setattr(contexts, option, _server_context(settings))
        option = "links"
        if settings.get("tls", "links"):
            contexts.link_server = _server_context(settings)
            contexts.link_client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
            # Links authenticate daemons by name and fleet secret; addresses may change.
            contexts.link_client.check_hostname = False
            for context in (contexts.link_server, contexts.link_client):
                context.minimum_version = ssl.TLSVersion.TLSv1_2
                context.load_verify_locations(settings.get("tls", "authority"))
                context.verify_mode = ssl.CERT_REQUIRED
            _load_certificate(contexts.link_client, settings)
    except (OSError, ValueError) as error:
        return result.Failure(
            exceptions.SettingsError(
                settings.file,
                "tls",
                option,
                f"the certificates cannot be loaded: {error}",
                "set certificate, private_key and authority to readable PEM files",
            )
        )
    return result.Success(contexts)


def _server_context(settings: config.Settings) -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    _load_certificate(context, settings)
    return context


def _load_certificate(context: ssl.SSLContext, settings: config.Settings) -> None:
    context.load_cert_chain(
        settings.get("tls", "certificate"), settings.get("tls", "private_key")
    )
