"""Judges from single answers whether a ramping upstream keeps up.

The measurements of `routing.reading` and `routing.pace` say what is
usual for an engine and its service.  Only the usual time of plain
answers is measured here, as nothing else needs it: by a moving mean and
mean deviation, as TCP estimates its retransmission time.
"""

from enum import StrEnum
from statistics import median

# A first event is expected no sooner than this, however short its
# prompt is.
FIRST_EVENT_BASE_S = 0.1
# An answer that takes this many times as long as expected shows that
# the upstream has as much as it bears, and from the second factor on
# that it has more.  Engines are 2.5 times slower at times without being
# overloaded.
FULL_FACTOR = 1.7
OVERLOAD_FACTOR = 3.5
# An engine that reads slower than its service's usual engine is judged
# by its own rate, but by no lower one than this share of the usual.
# Otherwise an overload that grows slowly would pass as its usual rate.
MIN_USUAL_SHARE = 0.25
# A pause between two events of this many times the engine's usual one,
# and of at least this length, shows an overload.
OVERLOAD_PAUSE_FACTOR = 6.0
MIN_OVERLOAD_PAUSE_S = 0.2
# The weights of a new time in the moving mean and mean deviation.
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
# An answer is late beyond the mean by this many mean deviations.
LATE_DEVIATIONS = 4.0
MIN_ANSWER_S = 0.005
MIN_ANSWERS = 4
# No more than this many services are measured.
MAX_SERVICES = 1_024


class Verdict(StrEnum):
    """What one answer says of its upstream's load."""

    KEEPS_UP = "keeps up"
    FULL = "full"
    OVERLOADED = "overloaded"


def judge_first_event(
    tokens: int,
    elapsed_s: float,
    own_rate: float,
    settled_rates: list[float],
) -> Verdict:
    """Judge an engine by the time to the first event of a request.

    `tokens` were unread when the request was sent.  `own_rate` is the
    engine's usual reading rate, and `settled_rates` are those of the
    engines of its service that have no ramp, in tokens a second.
    """
    rate = own_rate
    if settled_rates:
        usual = median(settled_rates)
        rate = max(usual * MIN_USUAL_SHARE, min(usual, own_rate))
    return _judge_time(elapsed_s, FIRST_EVENT_BASE_S + tokens / rate)


def is_overload_pause(pause_s: float, usual_s: float | None) -> bool:
    """Return whether a pause between events shows an overload."""
    if usual_s is None or pause_s < MIN_OVERLOAD_PAUSE_S:
        return False
    return pause_s >= usual_s * OVERLOAD_PAUSE_FACTOR


def _judge_time(elapsed_s: float, expected_s: float) -> Verdict:
    if elapsed_s >= expected_s * OVERLOAD_FACTOR:
        return Verdict.OVERLOADED
    if elapsed_s >= expected_s * FULL_FACTOR:
        return Verdict.FULL
    return Verdict.KEEPS_UP


class UsualTime:
    """The moving mean and mean deviation of answer times."""

    def __init__(self) -> None:
        self.mean_s = 0.0
        self.deviation_s = 0.0
        self.count = 0

    def add(self, elapsed_s: float) -> None:
        """Add the time that one answer took."""
        self.count += 1
        if self.count == 1:
            self.mean_s = elapsed_s
            self.deviation_s = elapsed_s / 2
            return
        error_s = elapsed_s - self.mean_s
        self.deviation_s += DEVIATION_WEIGHT * (
            abs(error_s) - self.deviation_s
        )
        self.mean_s += MEAN_WEIGHT * error_s

    @property
    def late_s(self) -> float | None:
        """Return from when on an answer is late, or None if unknown."""
        if self.count < MIN_ANSWERS:
            return None
        return self.mean_s + LATE_DEVIATIONS * self.deviation_s


class AnswerTimes:
    """How long answers of plain services usually take.

    `services` is measured at upstreams without a ramp, by the service's
    name, and `ramping` at upstreams with one, by their identifier.
    """

    def __init__(self) -> None:
        self.services: dict[str, UsualTime] = {}
        self.ramping: dict[str, UsualTime] = {}

    def add_settled(self, service: str, elapsed_s: float) -> None:
        """Add the time of an answer of an upstream without a ramp."""
        usual = self.services.get(service)
        if usual is None:
            if len(self.services) >= MAX_SERVICES:
                return
            usual = self.services[service] = UsualTime()
        usual.add(elapsed_s)

    def judge(
        self, service: str, identifier: str, elapsed_s: float
    ) -> Verdict:
        """Judge a ramping upstream by the time of an answer.

        The answer is late only if it is so for the service and for the
        upstream itself, which may always be slower than others.
        """
        elapsed_s = max(MIN_ANSWER_S, elapsed_s)
        own = self.ramping.setdefault(identifier, UsualTime())
        limits_s = [own.late_s]
        if service in self.services:
            limits_s.append(self.services[service].late_s)
        known_s = [limit_s for limit_s in limits_s if limit_s is not None]
        late_s = max(known_s, default=None)
        if late_s is None or elapsed_s < late_s:
            own.add(elapsed_s)
            return Verdict.KEEPS_UP
        if elapsed_s >= late_s * OVERLOAD_FACTOR / FULL_FACTOR:
            return Verdict.OVERLOADED
        own.add(elapsed_s)
        return Verdict.FULL

    def forget_except(self, identifiers: set[str]) -> None:
        """Remove the upstreams whose ramps have ended."""
        for identifier in self.ramping.keys() - identifiers:
            del self.ramping[identifier]
