"""How many requests a version on trial may get, and from when it gets all."""

import dataclasses

# The part of the bound that is used. The rest covers what peers have sent
# since their last reports, and traffic that rises after the handover.
USABLE_PART = 0.9
# The part of the bound that may be used once the version is handed over, if
# more requests come than were expected.
FINAL_PART = 0.97
# The part of what may be used that requests get before the handover; the rest
# is kept for the handover, in which the version bears its full load.
TRIAL_PART = 0.5
# Fraction of the order's duration before which no handover begins: until then
# answers to few requests may still show that the version is bad.
HANDOVER_FROM = 0.75
# Fraction of the order's duration, before the completion, in which all
# requests go to the new version: short requests at the old endpoints end then.
FULL_PART = 0.02
# How far the rate of requests may rise after a handover was decided.
SURGE_FACTOR = 1.3
# Seconds from the decision on a handover to its start: time for three reports
# to each peer, so that all instances start in the same moment.
HANDOVER_LEAD_SECONDS = 0.6
# A good version is completed as late as its time allows, as the old endpoints
# stop then: at this fraction of the order's duration, but at least
# COMPLETION_SECONDS before its end: the interval of the attempts to write the
# status, the time that one takes, and the operator's interval of reading it.
COMPLETE_AT = 0.96
COMPLETION_SECONDS = 0.7
# The least part of the order's duration that a trial takes.
MIN_TRIAL_PART = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class ExposureBounds:
    """The most requests that a bad version may get in its order's time.

    :param share: their share of all requests of the service, 0 to 1.
    :param slack: further requests.
    """

    share: float
    slack: float

    def limit(self, requests: float) -> float:
        """Return how many requests may be sent to a version on trial.

        :param requests: the requests of the service since the order.
        """
        return USABLE_PART * (self.share * requests + self.slack)

    def final_limit(self, requests: float) -> float:
        """Return how many may be sent to it after the handover."""
        return FINAL_PART * (self.share * requests + self.slack)

    def trial_limit(self, requests: float) -> float:
        """Return how many may be sent to it before the handover."""
        return TRIAL_PART * self.limit(requests)


def completion_seconds(duration_seconds: float) -> float:
    """Return the time from an order to the completion of a good version."""
    latest = min(
        COMPLETE_AT * duration_seconds, duration_seconds - COMPLETION_SECONDS
    )
    return max(latest, MIN_TRIAL_PART * duration_seconds)


def handover_share(
    age_seconds: float,
    begins_at: float,
    duration_seconds: float,
    trial_share: float,
) -> float:
    """Return the share of requests, 0 to 1, in a handover.

    It rises with the time, so that the new endpoints' caches warm up.

    :param age_seconds: the time since the order.
    :param begins_at: that time at the begin of the handover.
    :param trial_share: the share before it.
    """
    ends_at = _full_seconds(duration_seconds)
    if age_seconds >= ends_at:
        return 1.0
    passed = (age_seconds - begins_at) / (ends_at - begins_at)
    return trial_share + max(0.0, passed) * (1.0 - trial_share)


def _full_seconds(duration_seconds: float) -> float:
    """Return the time from an order to the end of the rise of the share."""
    return completion_seconds(duration_seconds) - FULL_PART * duration_seconds


def may_hand_over(
    bounds: ExposureBounds,
    requests: float,
    sent: float,
    per_second: float,
    age_seconds: float,
    duration_seconds: float,
) -> bool:
    """Return whether the bound holds if a handover is decided now.

    :param requests: the requests of the service since the order.
    :param sent: the attempts of those that were sent to the new version.
    :param per_second: the rate of the service's requests.
    :param age_seconds: the time since the order.
    """
    seconds_left = max(0.0, duration_seconds - age_seconds)
    begins_at = age_seconds + HANDOVER_LEAD_SECONDS
    rise_seconds = max(0.0, _full_seconds(duration_seconds) - begins_at)
    full_seconds = max(0.0, duration_seconds - begins_at - rise_seconds)
    exposed_seconds = full_seconds + rise_seconds * (1.0 + bounds.share) / 2.0
    return sent + SURGE_FACTOR * per_second * exposed_seconds <= bounds.limit(
        requests + per_second * seconds_left
    )
