"""The handlers of the model list, the health checks and the status page."""

from wagtailstream_core import errors
from wagtailstream_entry.callers import handler_base, responses
from wagtailstream_entry.filters import authenticate


class ModelsHandler(handler_base.Handler):
    """Lists the models that a customer may use."""

    async def get(self) -> None:
        """Write the list, or refuse an unknown API key."""
        current_bundle = self.context.follower.state.bundle
        header = self.request.headers.get("Authorization", "")
        customer = (
            authenticate.find_customer(header, current_bundle)
            if current_bundle
            else None
        )
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
    """Reports that the process is live."""

    def get(self) -> None:
        """Write a body that reports the process as live."""
        self.write_json(200, {"live": True})


class ReadyHandler(handler_base.Handler):
    """Reports whether the instance accepts work."""

    def get(self) -> None:
        """Respond with status 200 if it accepts work, or else with 503."""
        is_ready = self.context.is_ready()
        self.write_json(200 if is_ready else 503, {"ready": is_ready})


class StatusHandler(handler_base.Handler):
    """Reports the status of this instance and of its agents."""

    def get(self) -> None:
        """Write the status."""
        self.write_json(200, self.context.describe())


class NotFoundHandler(handler_base.Handler):
    """Handles all paths without a route."""

    def prepare(self) -> None:
        """Respond with status 404."""
        self.send_error(404)
