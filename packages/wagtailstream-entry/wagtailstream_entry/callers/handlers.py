"""The routes of the entry's HTTP application."""

from tornado import web

from wagtailstream_entry.callers import (
    chat_handler,
    handler_base,
    service_handler,
    status_handlers,
)


def make_application(context: handler_base.Context) -> web.Application:
    """Return the entry's HTTP application.

    :param context: the context that all handlers share.
    """
    arguments = {"context": context}
    return web.Application(
        [
            (r"/v1/chat/completions", chat_handler.ChatHandler, arguments),
            (r"/v1/models", status_handlers.ModelsHandler, arguments),
            (
                r"/v1/services/([A-Za-z0-9._-]+)/([A-Za-z0-9._/-]+)",
                service_handler.ServiceHandler,
                arguments,
            ),
            (r"/healthz", status_handlers.HealthHandler, arguments),
            (r"/readyz", status_handlers.ReadyHandler, arguments),
            (r"/status", status_handlers.StatusHandler, arguments),
        ],
        default_handler_class=status_handlers.NotFoundHandler,
        default_handler_args=arguments,
        log_function=lambda _: None,
    )
