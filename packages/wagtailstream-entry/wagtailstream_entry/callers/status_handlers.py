"""Models, probes and status."""

from wagtailstream_core import errors
from wagtailstream_entry.callers import handler_base, responses
from wagtailstream_entry.filters import authenticate


class ModelsHandler(handler_base.Handler):
    """The models that a customer may use."""

    async def get(self) -> None:
        """Answer the list."""
        known = self.context.follower.state.bundle
        header = self.request.headers.get("Authorization", "")
        customer = authenticate.find_customer(header, known) if known else None
        if customer is None:
            self.write_refusal(
                errors.not_run(
                    errors.Reason.UNAUTHENTICATED,
                    "the API key is missing or unknown",
                    authenticate.STEP,
                    self.context.peer,
                )
            )
            return
        names = [allowance.model for allowance in customer.allow]
        self.write_json(
            200, responses.make_models(names + list(customer.ladders))
        )


class HealthHandler(handler_base.Handler):
    """Whether the process is live."""

    def get(self) -> None:
        """Answer that it is."""
        self.write_json(200, {"live": True})


class ReadyHandler(handler_base.Handler):
    """Whether the instance may be given work."""

    def get(self) -> None:
        """Answer with 200 or 503."""
        is_ready = self.context.is_ready()
        self.write_json(200 if is_ready else 503, {"ready": is_ready})


class StatusHandler(handler_base.Handler):
    """What this instance and the agents it knows have in force."""

    def get(self) -> None:
        """Answer with the status."""
        self.write_json(200, self.context.describe())


class NotFoundHandler(handler_base.Handler):
    """Every other path."""

    def prepare(self) -> None:
        """Refuse the request."""
        self.send_error(404)
