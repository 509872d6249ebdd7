"""Tests of the waiting queue.

The queue keeps its order in heaps with stale and removed entries.  The
first test compares it with sorting all queued requests; the others
guard against entries that were removed or pushed again.
"""

from hypothesis import given
from hypothesis import strategies as st

from plantainsail.policy.queue import DELAY_S_PER_TOKEN, WaitingQueue
from plantainsail.policy.work import Work

PLAN_BY_ORGANISATION = {"a": "large", "b": "large", "c": "small", "d": "small"}
STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.just("push"),
            st.sampled_from(sorted(PLAN_BY_ORGANISATION)),
            st.integers(1, 3_000),
        ),
        st.tuples(st.just("pop"), st.just(""), st.just(0)),
        st.tuples(st.just("leave"), st.just(""), st.integers(0, 99)),
        st.tuples(
            st.just("charge"),
            st.sampled_from(sorted(PLAN_BY_ORGANISATION)),
            st.integers(1, 500),
        ),
    ),
    max_size=60,
)


def make_work(number: int, organisation: str, **changes: object) -> Work:
    work = Work(
        request=f"req-{number}",
        organisation=organisation,
        plan=PLAN_BY_ORGANISATION.get(organisation, "small"),
        model="model",
        prompt_tokens=10,
        prompt_bytes=40,
        max_tokens=4_096,
        arrived_s=float(number),
        deadline_s=float(number) + 100.0,
    )
    return work._replace(**changes)  # type: ignore[arg-type]


@given(STEPS)
def test_queue_order_equals_sorting_all_requests(
    steps: list[tuple[str, str, int]],
) -> None:
    queue = WaitingQueue()
    served = dict.fromkeys(PLAN_BY_ORGANISATION, 0)
    queued: dict[str, tuple[Work, int]] = {}

    def plan_tokens(plan: str) -> float:
        return float(
            sum(
                served[o]
                for o in PLAN_BY_ORGANISATION
                if PLAN_BY_ORGANISATION[o] == plan
            )
        )

    def sort_key(
        item: tuple[Work, int],
    ) -> tuple[float, str, float, str, float]:
        work, expected = item
        return (
            plan_tokens(work.plan),
            work.plan,
            served[work.organisation],
            work.organisation,
            work.arrived_s + expected * DELAY_S_PER_TOKEN,
        )

    for number, (action, organisation, amount) in enumerate(steps):
        if action == "push":
            work = make_work(number, organisation)
            queue.push(work, amount)
            queued[work.request] = (work, amount)
        elif action == "charge":
            served[organisation] += amount
        elif action == "leave" and queued:
            request = sorted(queued)[amount % len(queued)]
            del queued[request]
            assert queue.remove(request) is not None
        elif action == "pop" and queued:
            expected_first = min(queued.values(), key=sort_key)[0].request
            heads = queue.heads(plan_tokens, lambda o: float(served[o]))
            assert next(heads).work.request == expected_first
            queue.remove(expected_first)
            del queued[expected_first]
        assert queue.bytes == 40 * len(queued)
        assert set(queue.entries) == set(queued)
    assert queue.remove("req-unknown") is None


def test_newly_expired_returns_only_queued_requests() -> None:
    queue = WaitingQueue()
    for number in range(4):
        queue.push(make_work(number, "a"), 10)
    queue.remove("req-1")
    expired = queue.newly_expired(102.0)
    assert [e.work.request for e in expired] == ["req-0", "req-2"]


def test_request_pushed_again_is_queued_once() -> None:
    queue = WaitingQueue()
    queue.push(make_work(0, "a"), 10)
    queue.push(make_work(1, "a"), 5_000)
    queue.remove("req-1")
    queue.push(make_work(1, "a"), 2_000)
    queue.remove("req-0")
    assert queue.waiting_count("a") == 1
    assert next(queue.heads(lambda _: 0, lambda _: 0)).expected_tokens == 2_000


def test_tokens_ahead_counts_only_entries_not_longer() -> None:
    queue = WaitingQueue()
    queue.push(make_work(0, "c"), 10)
    queue.push(make_work(1, "d"), 1_000)
    queue.push(make_work(2, "a"), 10)
    assert queue.tokens_ahead("small", 12) == 10
    assert queue.tokens_ahead("small", 1_023) == 1_010
    assert queue.tokens_ahead("absent", 1) == 0
